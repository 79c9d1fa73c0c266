"""Writes outcomes to the write-ahead log, and reports the final states of messages.

| final state | reported while the client waits (within `submission`) | reported later |
| --- | --- | --- |
| rejected, failed | by the result of the submission | to the outcome store and the notifier |
| delivered, cancelled | impossible: attempts start after the batch of the submission | to the outcome store |
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from msgspec import Struct

from ashpath.core.interface import NEVER_RAN, AttemptOutcome
from ashpath.core.time_units import MILLISECOND
from ashpath.server.delivery.attempts import AttemptResult
from ashpath.server.delivery.notifier import Notifier, encode_notification
from ashpath.server.self_checks import Check, SelfChecks
from ashpath.server.storage.final_state import FinalState
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog


class SubmitDecision(Enum):
    """The policy's decision on a message in the batch of its submission."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    FAILED = "failed"


class SubmitResult(Struct, frozen=True):
    """The result of a submission, for the client that waits for it."""

    decision: SubmitDecision
    retry_after: int = 0
    """For REJECTED: microseconds after which the client may submit the message again."""


ACCEPTED = SubmitResult(SubmitDecision.ACCEPTED)


class Submission:
    """A message whose client waits for `result`, which is final at the end of the `with` block."""

    __slots__ = ("message", "recorder", "result")

    def __init__(self, recorder: OutcomeRecorder, message: StoredMessage) -> None:
        self.recorder = recorder
        self.message = message
        self.result = ACCEPTED

    def __enter__(self) -> Submission:
        self.recorder.current_submission = self
        return self

    def __exit__(self, *error: object) -> None:
        self.recorder.current_submission = None


class FinalStateStore(Protocol):
    """A store of final states, for clients that ask the status API."""

    def add(self, trace_id: str, state: FinalState, retry_after: int = 0) -> None:
        """Stores the final state of a message; `retry_after` in microseconds."""


class DeliveryMetrics(Protocol):
    """Counters of messages and attempts."""

    def message_accepted(self, traffic_class: int) -> None:
        """Counts an accepted message of the traffic class."""

    def message_finished(self, traffic_class: int, state: FinalState) -> None:
        """Counts a message of the traffic class by its final state."""

    def attempt_finished(self, outcome: AttemptOutcome, took_us: int) -> None:
        """Counts an attempt that took `took_us` microseconds."""


class UncertainMessages(Protocol):
    """The messages whose last response may be another request's."""

    def take_uncertain(self, message: StoredMessage) -> bool:
        """Returns whether the message is one of them, and forgets it."""


class OutcomeRecorder:
    """Records outcomes of attempts and final states of messages, in the order in which they occur."""

    def __init__(
        self,
        write_ahead_log: WriteAheadLog,
        notifier: Notifier,
        outcome_store: FinalStateStore | None = None,
        uncertain_messages: UncertainMessages | None = None,
        checks: SelfChecks | None = None,
    ) -> None:
        self.write_ahead_log = write_ahead_log
        self.notifier = notifier
        self.outcome_store = outcome_store
        self.uncertain_messages = uncertain_messages
        self.checks = checks
        self.metrics: DeliveryMetrics | None = None
        self.current_submission: Submission | None = None
        """The submission whose client waits for its result now."""

    def use_metrics(self, metrics: DeliveryMetrics | None) -> None:
        """Replaces the metrics; None stops counting."""
        self.metrics = metrics

    def submission(self, message: StoredMessage) -> Submission:
        """Counts the message, and returns the context in which the batch of its submission runs.

        A final state of the message within the context is the result of the submission."""
        if self.metrics is not None:
            self.metrics.message_accepted(message.traffic_class)
        return Submission(self, message)

    def record_attempt(self, message: StoredMessage, result: AttemptResult) -> None:
        """Records the outcome of an attempt, and the final state of the message if the result is final.

        A provisional refusal is not recorded in the write-ahead log yet, where the attempt stays in flight:
        after a kill it may have run."""
        if result.final:
            delivered = result.outcome is AttemptOutcome.DELIVERED
            state = FinalState.DELIVERED if delivered else FinalState.CANCELLED
            self._store_final_state(message, state)
            self.write_ahead_log.record_finished(message)
        elif not result.provisional:
            self.write_ahead_log.record_outcome(message, may_have_run=result.outcome not in NEVER_RAN)

    def count_attempt(self, outcome: AttemptOutcome, duration: int) -> None:
        """Counts an attempt in the metrics; `duration` in microseconds."""
        if self.metrics is not None:
            self.metrics.attempt_finished(outcome, duration)

    def record_rejected(self, message: StoredMessage, retry_after: int) -> None:
        """Records the final state REJECTED; clients may submit again after `retry_after` microseconds.

        A message whose last refusal may be another request's has FAILED: it may have run."""
        if self.uncertain_messages is not None and self.uncertain_messages.take_uncertain(message):
            self.record_failed(message)
            return
        if message.in_flight_since is not None:  # its provisional refusal is certain by now
            self.write_ahead_log.record_outcome(message, may_have_run=False)
        result = SubmitResult(SubmitDecision.REJECTED, retry_after)
        line = encode_notification(message, FinalState.REJECTED, retry_after // MILLISECOND)
        self._finish(message, result, FinalState.REJECTED, line)

    def record_failed(self, message: StoredMessage) -> None:
        """Records the final state FAILED: the message was not delivered as far as the sender knows."""
        line = encode_notification(message, FinalState.FAILED)
        self._finish(message, SubmitResult(SubmitDecision.FAILED), FinalState.FAILED, line)

    def record_cancelled(self, message: StoredMessage) -> None:
        """Stores the final state CANCELLED: the client disconnected before the 202 was sent."""
        self._store_final_state(message, FinalState.CANCELLED)

    def _finish(self, message: StoredMessage, result: SubmitResult, state: FinalState, line: str) -> None:
        """Reports a final state to the waiting client, else to the outcome store and by a notification."""
        if self.checks is not None:
            self.checks.expect(Check.ONE_END, holds=not message.finished, subject=message.trace_id)
        submission = self.current_submission
        if submission is not None and message is submission.message:
            submission.result = result
            if self.metrics is not None:
                self.metrics.message_finished(message.traffic_class, state)
            self.write_ahead_log.record_finished(message)
        else:
            self._store_final_state(message, state, result.retry_after)
            self.write_ahead_log.record_finished(message, line)
            message.notice = line  # the log sets it only for messages that it has
            self.notifier.add(message)

    def _store_final_state(self, message: StoredMessage, state: FinalState, retry_after: int = 0) -> None:
        """Stores a final state for clients that ask.

        Called before the write-ahead log records the end of the message: a kill between the two leaves the
        state in both and does not lose it."""
        if self.outcome_store is not None:
            self.outcome_store.add(message.trace_id, state, retry_after)
        if self.metrics is not None:
            self.metrics.message_finished(message.traffic_class, state)
