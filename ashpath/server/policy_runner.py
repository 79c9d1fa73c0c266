"""Runs the policy on sockets: reports each event to the policy in a batch of its own, and owns the attempts
that the policy starts.

The path of a message, step by step, with the calls that make it up:

| step | call |
| --- | --- |
| a request has been read and stored | `Admission.admit` -> `PolicyRunner.submit` |
| the policy decides | `PolicyBatch` -> `DeliveryPolicy.submit`, `end_batch` |
| the policy starts an attempt | `QueuedActions.start_attempt` -> `PolicyRunner.begin_attempt` |
| the attempt runs | `AttemptRunner.start`, which asks `PolicyRunner.still_valid` before the first byte |
| the attempt ends | `ResponseClassifier.classify` -> `PolicyRunner.attempt_finished` -> `OutcomeRecorder` |
| the policy decides again | `QueuedActions.start_attempt`, or `reject`, `fail` -> `OutcomeRecorder` |

The policy's actions are performed after the batch that queued them, see `policy_actions`.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from msgspec import Struct

from ashpath.core.interface import EndpointRecord, PolicySettings
from ashpath.policy.delivery_policy import DeliveryPolicy
from ashpath.server.delivery.attempt_runner import AttemptRunner
from ashpath.server.delivery.attempts import Attempt, AttemptResult
from ashpath.server.delivery.outcome_recorder import OutcomeRecorder, SubmitResult
from ashpath.server.delivery.response_notices import RetryAfterNotice
from ashpath.server.gossip_link import GossipPublisher
from ashpath.server.limits.services import ServiceLimits
from ashpath.server.logs import Logger
from ashpath.server.message_restoration import MessageRestorer
from ashpath.server.policy_actions import QueuedActions
from ashpath.server.policy_batch import PolicyBatch, SharedUpdateReader
from ashpath.server.self_checks import Check
from ashpath.server.storage.detached_endpoints import DetachedEndpoints
from ashpath.server.storage.outage_store import OutageStore
from ashpath.server.storage.shared_memory import SharedMemory
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.timers import Timers, now, stored_time


class StateFiles(Struct, frozen=True):
    """The files of the state directory that the policy runner reads and writes."""

    write_ahead_log: WriteAheadLog
    shared_memory: SharedMemory
    detached_endpoints: DetachedEndpoints
    outage_store: OutageStore


class PolicyRunner:
    """Owns the policy, the unfinished messages and the attempts in flight."""

    messages: dict[int, StoredMessage]
    """Accepted, unfinished messages by message id. A message is removed with its final outcome."""
    attempts: dict[int, Attempt]
    """Attempts in flight by message id. An attempt is removed with its outcome."""
    abandoned: set[int]
    """Ids of messages whose client disconnected while an attempt was in flight. An id is removed with the
    outcome of that attempt."""
    stopped: bool
    """If True, no attempt is started: the next incarnation restores what is queued."""
    recording_failed: bool
    """Whether the last attempt could not be recorded. Only the first failure in a row is logged."""

    def __init__(
        self,
        settings: PolicySettings,
        files: StateFiles,
        recorder: OutcomeRecorder,
        attempt_runner: AttemptRunner,
        gossip: GossipPublisher,
        limits: ServiceLimits,
        logger: Logger,
    ) -> None:
        self.write_ahead_log = files.write_ahead_log
        self.recorder = recorder
        self.attempt_runner = attempt_runner
        self.checks = attempt_runner.pool.checks
        self.shared_memory = files.shared_memory
        self.outage_store = files.outage_store
        self.limits = limits
        self.logger = logger
        self.messages = {}
        self.attempts = {}
        self.abandoned = set()
        self.stopped = False
        self.recording_failed = False
        self.timers = Timers(self)
        self.actions = self._create_actions(settings, gossip)
        self.policy = DeliveryPolicy(settings, self.actions)
        self._shared = SharedUpdateReader(
            files.shared_memory, files.detached_endpoints, attempt_runner.registry
        )
        self._batch = PolicyBatch(self.policy, self.actions, self._shared)
        self._restorer = MessageRestorer(files.write_ahead_log, recorder.notifier)
        attempt_runner.pool.notices.subscribe(self)

    def _create_actions(self, settings: PolicySettings, gossip: GossipPublisher) -> QueuedActions:
        return QueuedActions(
            settings,
            self.messages,
            self.attempts,
            self,
            self.recorder,
            self.attempt_runner.pool,
            self.outage_store,
            gossip,
            self.timers,
            self.logger,
        )

    # Events. Each is reported in one batch.

    def restore(self, records: list[EndpointRecord], detached: Iterable[str] = ()) -> None:
        """Restores the state at a start, in this order: the endpoints that operators detached, the last known
        endpoint list, the outages of the previous incarnation, and its unfinished messages in the order of
        acceptance."""
        outages = self.outage_store.active()
        restored = self._restorer.restore(self.write_ahead_log.messages.in_order(), self.messages)
        with self._batch as policy:
            for endpoint_id in detached:
                policy.set_detached(endpoint_id, detached=True)
            policy.update_endpoints(records, complete=True)
            for outage in outages:
                policy.restore_outage(outage.destination, outage.endpoint, outage.rate)
            for message in restored:
                message.report(policy)

    def adopt(self, messages: Sequence[StoredMessage]) -> None:
        """Restores the messages of a process that ended after a hot upgrade, in the order of acceptance."""
        restored = self._restorer.restore(messages, self.messages)
        with self._batch as policy:
            for message in restored:
                message.report(policy)

    def set_detached(self, endpoint_id: str, *, detached: bool, record: EndpointRecord | None) -> None:
        """Reports that an operator detached the endpoint, or attached it again with the properties in
        `record`."""
        with self._batch as policy:
            policy.set_detached(endpoint_id, detached=detached, row=record)

    def update_endpoints(self, records: list[EndpointRecord], *, complete: bool) -> None:
        """Reports a change of the endpoint list. If `complete` is set, the records replace all others."""
        with self._batch as policy:
            policy.update_endpoints(records, complete=complete)

    def apply_settings(self, settings: PolicySettings, records: list[EndpointRecord]) -> None:
        """Applies new settings, and reports the endpoint list again, as the routes of a kind may have
        changed."""
        with self._batch as policy:
            self.actions.apply_settings(settings)
            policy.apply_settings(settings)
            policy.update_endpoints(records, complete=True)

    def receive_gossip(self, message: bytes) -> None:
        """Reports a gossip message that another sender published."""
        with self._batch as policy:
            policy.receive_gossip(message)

    def submit(self, message: StoredMessage) -> SubmitResult:
        """Reports a client's message, which is already in the write-ahead log; returns the result for the
        client."""
        self.messages[message.message_id] = message
        time_left = message.deadline - stored_time()
        with self.recorder.submission(message) as submission, self._batch as policy:
            policy.submit(
                message.message_id,
                message.destination,
                message.traffic_class,
                message.ordering_key,
                time_left,
            )
        return submission.result

    def client_disconnected(self, message: StoredMessage) -> None:
        """Cancels a message whose client disconnected before the response that confirms the acceptance was
        sent."""
        message_id = message.message_id
        if self.messages.pop(message_id, None) is None:
            return
        self.recorder.record_cancelled(message)
        if message_id in self.attempts:
            # The endpoint may still run the attempt. The message stays in the write-ahead log while the
            # attempt is in flight: a second submission of the message is not accepted, and the next
            # incarnation keeps the order of its ordering key.
            self.abandoned.add(message_id)
        else:
            self.write_ahead_log.record_finished(message)
        with self._batch as policy:
            policy.client_disconnected(message_id)

    def timers_fired(self, tokens: list[str]) -> None:
        """Reports due timers that the policy scheduled."""
        with self._batch as policy:
            for token in tokens:
                policy.timer_fired(token)

    def retry_after_noticed(self, notice: RetryAfterNotice) -> int:
        """See `NoticeReceiver`. In force at once, also for the other process of a hot upgrade."""
        self.policy.begin_batch(now())
        binds = self.policy.retry_after_noticed(
            notice.destination,
            notice.endpoint_id,
            notice.retry_after,
            outcome_follows=notice.outcome_follows,
        )
        until = stored_time() + binds
        self.shared_memory.publish_retry_after(notice.destination, notice.endpoint_id, until)
        return binds

    # Attempts.

    def hand_over(self) -> None:
        """Leaves destinations in an outage or in slow start to the other process of a hot upgrade."""
        with self._batch as policy:
            policy.hand_over()

    def stop_attempts(self) -> None:
        """Starts no further attempt; attempts in flight continue."""
        self.stopped = True

    def give_up_attempts(self) -> None:
        """Ends the sending side of the connections of all attempts in flight, as the process is about to end:
        an endpoint must not run an attempt while another process adopts its message. Does not switch."""
        for attempt in self.attempts.values():
            if attempt.connection is not None:
                attempt.connection.half_close()

    def begin_attempt(self, message: StoredMessage, endpoint_id: str, timeout: int) -> None:
        """Starts an attempt, which is recorded just before its first byte."""
        if self.stopped:
            return
        traffic_class = self.policy.traffic_classes[message.traffic_class]
        ordered = message.ordering_key is not None and traffic_class.settings.ordered
        attempt = Attempt(message, endpoint_id, now() + timeout, timeout, ordered=ordered)
        attempt.settle_time = self.policy.settings.settle_time
        attempt.needs_certainty = ordered and self.policy.has_followers(message.message_id)
        is_only_attempt = message.message_id not in self.attempts
        self.checks.expect(Check.ONE_ATTEMPT, holds=is_only_attempt, subject=message.trace_id)
        self.attempts[message.message_id] = attempt
        self.attempt_runner.start(attempt, self)

    def record_attempt(self, attempt: Attempt) -> bool:
        """See `AttemptOwner`. An unrecorded attempt could run twice after a restart."""
        try:
            self.write_ahead_log.record_attempt(attempt.message, stored_time(), attempt.endpoint_id)
        except OSError as error:
            if not self.recording_failed:
                self.logger.error("attempt not recorded", error=str(error))  # noqa: TRY400 - one line is enough
            self.recording_failed = True
            return False
        self.recording_failed = False
        return True

    def still_valid(self, message: StoredMessage) -> bool:
        """See `AttemptOwner`. Takes into account a Retry-After or a detached endpoint that the other process
        published since the last batch."""
        if self._shared.pending():
            with self._batch:
                pass  # every batch applies what the other process published
        return self.policy.still_valid(message.message_id, now())

    def before_first_byte(self, attempt: Attempt) -> None:
        """See `AttemptOwner`. Compares the policy's gates with the waits that were heard."""
        message = attempt.message
        destination = self.policy.destinations.get(message.destination)
        is_route = destination is not None and destination.limit_per_endpoint
        route = attempt.endpoint_id if is_route else None
        waits = self.attempt_runner.pool.notices.waits
        holds = not waits.is_in_force(message.destination, route)
        self.checks.expect(Check.NO_RETRY_AFTER, holds=holds, subject=message.trace_id)

    def attempt_finished(self, attempt: Attempt, result: AttemptResult) -> None:
        """See `AttemptOwner`."""
        self.recorder.record_attempt(attempt.message, result)
        self._report_result(attempt, result)

    def delivery_in_doubt(self, message: StoredMessage) -> None:
        """See `ResultOwner`. The message is owed again until its notice is acknowledged."""
        message.finished = False
        self.write_ahead_log.record_submitted(message)
        self.recorder.record_failed(message)

    def refusal_confirmed(self, message: StoredMessage) -> None:
        """See `ResultOwner`."""
        if message.message_id in self.messages and message.message_id not in self.attempts:
            self.write_ahead_log.record_outcome(message, may_have_run=False)

    def _report_result(self, attempt: Attempt, result: AttemptResult) -> None:
        message_id = attempt.message.message_id
        is_out = self.attempts.pop(message_id, None) is attempt
        self.checks.expect(Check.ATTEMPT_IS_OUT, holds=is_out, subject=attempt.message.trace_id)
        started_at = attempt.deadline - attempt.timeout
        self.recorder.count_attempt(result.outcome, now() - started_at)
        if result.retry_after:
            until = stored_time() + result.retry_after
            self.shared_memory.publish_retry_after(attempt.message.destination, attempt.endpoint_id, until)
        if result.final:
            self.messages.pop(message_id, None)
        elif message_id in self.abandoned:
            self.write_ahead_log.record_finished(attempt.message)
        self.abandoned.discard(message_id)
        with self._batch as policy:
            policy.attempt_finished(
                message_id, result.outcome, result.retry_after, result.final, result.load_report
            )
