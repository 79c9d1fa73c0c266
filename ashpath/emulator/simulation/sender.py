"""A simulated sender: a policy, and the functions of `ashpath.server` around it, without sockets.

Events reach the policy in batches. The policy's actions are queued, and run in order after the batch. A kill
keeps the messages, as the write-ahead log does, and the outages that the next incarnation restores; all other
state is lost.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

from ashpath.core.interface import (
    AttemptOutcome,
    EndpointRecord,
    EndpointStatus,
    LoadReport,
    PreviousAttempts,
)
from ashpath.emulator.client_request import ClientRequest
from ashpath.emulator.final_outcomes import FinalOutcome
from ashpath.emulator.policy_under_test import NOT_RUN_OUTCOMES, PolicyUnderTest
from ashpath.emulator.scenario.settings import sender_settings
from ashpath.emulator.simulation.calls import InFlightCall, StoredMessage
from ashpath.emulator.simulation.idle_connections import IdleConnections
from ashpath.emulator.simulation.sender_context import Rejection, SenderContext


class SimulatedSender:
    """One sender. `messages` has the messages that have not ended."""

    def __init__(self, context: SenderContext, number: int) -> None:
        self.number = number
        self.alive = True
        self.incarnation = 0
        self.clock_error = 0  # microseconds by which its wall clock is ahead
        self.messages: dict[int, StoredMessage] = {}
        self._context = context
        self._events = context.events
        self._network = context.network
        self._checker = context.checker
        self.idle_connections = IdleConnections(context.events, context.network, context.idle_timeout)
        self._seeds = Random(f"{context.seed} sender {number}")
        self._last_number = 0
        # By destination and endpoint: the rate before the outage, and the end of slow start, which is None
        # while the outage lasts.
        self._outages: dict[tuple[int, str], tuple[float, int | None]] = {}
        self._endpoints: dict[str, EndpointRecord] = {}  # as service discovery last reported
        self._actions: list[Callable[[], None]] = []
        self._submitting: StoredMessage | None = None
        self._rejection: Rejection | None = None
        self._start_policy()

    def _start_policy(self) -> None:
        context = self._context
        self._settings = sender_settings(context.scenario, self._seeds.getrandbits(48), self.number)
        self._policy: PolicyUnderTest = context.policy_factory(self._settings, self, context.network)
        self._run_batch(self._policy.update_endpoints, list(self._endpoints.values()), True)

    def _run_batch(self, report: Callable[..., None], *arguments: object) -> None:
        policy = self._policy
        policy.begin_batch(self._events.now)
        report(*arguments)
        policy.end_batch()
        while self._actions:
            actions = self._actions
            self._actions = []
            for action in actions:
                action()

    # Actions of the policy: `ashpath.core.interface.PolicyActions`.

    def start_attempt(self, message_id: int, endpoint_id: str, timeout: int) -> None:
        """Queues an attempt."""
        self._actions.append(partial(self._begin_attempt, self.messages[message_id], endpoint_id, timeout))

    def reject(self, message_id: int, retry_after: int) -> None:
        """Queues the rejection of a message, which its client may submit again."""
        message = self.messages[message_id]
        self._actions.append(partial(self._end_message, message, FinalOutcome.REJECTED, retry_after))

    def fail(self, message_id: int) -> None:
        """Queues the failure of a message that may have run."""
        self._actions.append(partial(self._end_message, self.messages[message_id], FinalOutcome.FAILED, 0))

    def cancel_attempt(self, message_id: int, attempt: int) -> None:
        """Queues the cancellation of a message's attempt in flight."""
        message = self.messages.get(message_id)
        if message is not None and message.in_flight is not None:
            self._actions.append(partial(self._network.cancel, message.in_flight))

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Queues the closing of all idle connections to an endpoint."""
        self._actions.append(partial(self.idle_connections.close, endpoint_id))

    def schedule_timer(self, at: int, token: str) -> None:
        """Schedules a timer of the policy, which does not fire if the sender is killed before."""
        self._events.schedule(at, self._timer_fired, token, self.incarnation)

    def poll_endpoints(self) -> None:
        """Does nothing, as simulated service discovery pushes changes."""

    def publish(self, message: bytes) -> None:
        """Does nothing, as simulated senders exchange no gossip messages."""

    def mode_changed(self, text: str, destination: int, endpoint_id: str, down: bool, rate: float) -> None:
        """Records the mode change, and the outage that the next incarnation restores."""
        key = (destination, endpoint_id)
        if down or self._outages.get(key, (0.0, 0))[1] is None:
            slow_start_ends = None if down else self._events.now + self._settings.warm_up_time
            self._outages[key] = (rate, slow_start_ends)
        self._context.scoreboard.mode_changed(self._events.now, self.number, text)

    # Messages.

    def accept(self, request: ClientRequest) -> Rejection | None:
        """Submits a client's request to the policy, and returns its rejection, or None if it was accepted."""
        if 0 < self._settings.queue_capacity <= len(self.messages):
            return Rejection(FinalOutcome.REJECTED, 0)
        self._last_number += 1
        message = StoredMessage(self._last_number, request)
        self.messages[message.number] = message
        self._checker.accepted(
            self._events.now,
            self.number,
            message.number,
            request.id,
            request.destination,
            self._settings.traffic_classes[request.traffic_class],
            request.ordering_key,
            request.deadline_at,
        )
        self._submitting = message
        self._rejection = None
        self._run_batch(
            self._policy.submit,
            message.number,
            request.destination,
            request.traffic_class,
            request.ordering_key,
            request.deadline_at - self._events.now,
        )
        self._submitting = None
        return self._rejection

    def _end_message(self, message: StoredMessage, outcome: FinalOutcome, retry_after: int) -> None:
        if message.in_flight is None:
            del self.messages[message.number]
        self._checker.final_answer(self._events.now, self.number, message.number, outcome)
        if message is self._submitting:
            self._rejection = Rejection(outcome, retry_after)
        else:
            self._context.clients.message_ended(message.request, outcome, retry_after)

    # Attempts.

    def _begin_attempt(self, message: StoredMessage, endpoint: str, timeout: int) -> None:
        message.attempts += 1
        call = message.in_flight = InFlightCall(self, message, endpoint, self._events.now, timeout)
        self._network.start_call(call)

    def still_valid(self, message_id: int) -> bool:
        """Returns whether an attempt may still be sent once its connection is established."""
        return self._policy.still_valid(message_id, self._events.now)

    def attempt_finished(
        self,
        call: InFlightCall,
        outcome: AttemptOutcome,
        retry_after: int = 0,
        report: LoadReport | None = None,
    ) -> None:
        """Records the outcome of a call, and reports it to the policy; a second outcome is ignored."""
        if call.finished:
            return
        message = call.message
        call.finished = True
        message.in_flight = None
        self._network.release(call)
        self._observe_outcome(call, outcome, retry_after)
        if outcome not in NOT_RUN_OUTCOMES:
            self._record_possible_run(call)
        delivered = outcome is AttemptOutcome.DELIVERED
        if delivered:
            self.messages.pop(message.number, None)
            self._context.clients.delivered(message.request)
        self._run_batch(
            self._policy.attempt_finished, message.number, outcome, retry_after, delivered, report
        )

    def _observe_outcome(self, call: InFlightCall, outcome: AttemptOutcome, retry_after: int) -> None:
        # Reports an outcome to the scoreboard and the checker, before the policy acts on it.
        now = self._events.now
        message = call.message
        message.request.last_outcome = outcome.value
        self._context.scoreboard.attempt_finished(now, outcome)
        if call.sent:
            self._checker.attempt_finished(now, self.number, message.number, outcome.value, call.began)
        if retry_after:
            route = self._network.route(call.endpoint)
            self._checker.retry_after_received(now, self.number, route, retry_after)

    @staticmethod
    def _record_possible_run(call: InFlightCall) -> None:
        message = call.message
        if message.first_run_at < 0:
            message.first_run_at = call.began
            message.first_run_endpoint = call.endpoint

    def _timer_fired(self, token: str, incarnation: int) -> None:
        if self.alive and incarnation == self.incarnation:
            self._run_batch(self._policy.timer_fired, token)

    # Endpoints.

    def start_with_endpoints(self, records: list[EndpointRecord]) -> None:
        """Sets the complete list of endpoints before the run."""
        self._endpoints = {record.endpoint_id: record for record in records}
        self._run_batch(self._policy.update_endpoints, records, True)

    def endpoints_changed(self, records: list[EndpointRecord]) -> None:
        """Applies reported changes of endpoints; a dead sender keeps them for its next incarnation."""
        for record in records:
            listed = record.status is EndpointStatus.ACTIVE
            if record.status is EndpointStatus.REMOVED:
                self._endpoints.pop(record.endpoint_id, None)
            else:
                self._endpoints[record.endpoint_id] = record
            if self.alive:
                self._checker.endpoint_listed(self._events.now, self.number, record.endpoint_id, listed)
        if self.alive:
            self._run_batch(self._policy.update_endpoints, records, False)

    # Incarnations.

    def kill(self) -> None:
        """Ends the incarnation: its connections are reset, and its messages stay in the write-ahead log."""
        self.alive = False
        self.incarnation += 1
        for message in self.messages.values():
            if message.in_flight is not None:
                self._abandon(message.in_flight)
        self.idle_connections.close_all()

    def _abandon(self, call: InFlightCall) -> None:
        """Drops a call of the killed incarnation; the outcome of its attempt stays unresolved."""
        message = call.message
        call.finished = True
        message.in_flight = None
        self._network.release(call)
        if call.sent:
            self._network.connections_closed(call.endpoint, 1)
            outcome = AttemptOutcome.CONNECTION_RESET.value
            self._checker.attempt_finished(self._events.now, self.number, message.number, outcome, call.began)
        self._record_possible_run(call)
        message.unresolved = True

    def start(self) -> None:
        """Starts the next incarnation with the messages of the write-ahead log and the known outages.

        A Retry-After does not outlast the incarnation that received it.
        """
        self.alive = True
        self._checker.forget_retry_after(self.number)
        self._start_policy()
        for (destination, endpoint), (rate, slow_start_ends) in self._outages.items():
            if slow_start_ends is None or slow_start_ends > self._events.now:
                self._run_batch(self._policy.restore_outage, destination, endpoint, rate)
        for message in list(self.messages.values()):
            self._checker.restored(self._events.now, self.number, message.number)
            self._restore(message)

    def _restore(self, message: StoredMessage) -> None:
        request = message.request
        first_run_at = message.first_run_at if message.first_run_at >= 0 else None
        previous = PreviousAttempts(
            message.attempts, first_run_at, message.first_run_endpoint, message.unresolved
        )
        message.unresolved = False
        self._run_batch(
            self._policy.restore,
            message.number,
            request.destination,
            request.traffic_class,
            request.ordering_key,
            request.deadline_at - self._events.now - self.clock_error,
            previous,
        )
