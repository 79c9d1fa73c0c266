"""Writes outcomes to the write-ahead log, and says who learns of a message's final state.

| final state | the client still waits (within `submission`) | it does not |
| --- | --- | --- |
| rejected, failed | the result of the submission | the outcome store and the notifier |
| delivered, cancelled | cannot be: the batch of a submission sends only after it | the outcome store |
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from msgspec import Struct

from ashpath.core.interface import NEVER_RAN, AttemptOutcome
from ashpath.server.delivery.attempts import AttemptResult
from ashpath.server.delivery.notifier import Notifier, encode_notification
from ashpath.server.storage.final_state import FinalState
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog

MILLISECOND = 1000  # microseconds


class SubmitDecision(Enum):
    """What became of a message in the batch of its submission."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    FAILED = "failed"


class SubmitResult(Struct, frozen=True):
    """The policy's decision on a submitted message, for the client that waits for it."""

    decision: SubmitDecision
    retry_after: int = 0
    """REJECTED: microseconds until it is harmless to submit it again."""


ACCEPTED = SubmitResult(SubmitDecision.ACCEPTED)


class Submission:
    """A message whose client waits for the result, within `with`: it is final once the batch is over."""

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
    """Who keeps final states for clients that ask."""

    def add(self, trace_id: str, state: FinalState, retry_after: int = 0) -> None:
        """Keeps one, with microseconds of a Retry-After."""


class DeliveryMetrics(Protocol):
    """Who counts what happens, where somebody reads it."""

    def message_accepted(self, traffic_class: int) -> None:
        """A message of that traffic class was accepted."""

    def message_finished(self, traffic_class: int, state: FinalState) -> None:
        """A message of that traffic class has its final state."""

    def attempt_finished(self, outcome: AttemptOutcome, took_us: int) -> None:
        """An attempt ended after so many microseconds."""


class OutcomeRecorder:
    """Records outcomes of attempts and final states of messages, in the order they come about."""

    def __init__(
        self,
        write_ahead_log: WriteAheadLog,
        notifier: Notifier,
        outcome_store: FinalStateStore | None = None,
    ) -> None:
        self.write_ahead_log = write_ahead_log
        self.notifier = notifier
        self.outcome_store = outcome_store
        self.metrics: DeliveryMetrics | None = None
        self.current_submission: Submission | None = None
        """Whose client waits for its result at this moment."""

    def use_metrics(self, metrics: DeliveryMetrics | None) -> None:
        """Counts there from now on; None: nobody reads counts."""
        self.metrics = metrics

    def submission(self, message: StoredMessage) -> Submission:
        """Opened around the batch of a submission: a final state within it is the submission's result."""
        if self.metrics is not None:
            self.metrics.message_accepted(message.traffic_class)
        return Submission(self, message)

    def record_attempt(self, message: StoredMessage, result: AttemptResult) -> None:
        """An attempt ended: its outcome, and the end of the message where it is final."""
        if result.final:
            delivered = result.outcome is AttemptOutcome.DELIVERED
            state = FinalState.DELIVERED if delivered else FinalState.CANCELLED
            self._store_final_state(message, state)
            self.write_ahead_log.record_finished(message)
        else:
            self.write_ahead_log.record_outcome(message, may_have_run=result.outcome not in NEVER_RAN)

    def count_attempt(self, outcome: AttemptOutcome, duration: int) -> None:
        """An attempt ended after so many microseconds, for the metrics alone."""
        if self.metrics is not None:
            self.metrics.attempt_finished(outcome, duration)

    def record_rejected(self, message: StoredMessage, retry_after: int) -> None:
        """Final: harmless to submit again after `retry_after` microseconds."""
        result = SubmitResult(SubmitDecision.REJECTED, retry_after)
        line = encode_notification(message, FinalState.REJECTED, retry_after // MILLISECOND)
        self._finish(message, result, FinalState.REJECTED, line)

    def record_failed(self, message: StoredMessage) -> None:
        """Final: not delivered, as far as is known."""
        line = encode_notification(message, FinalState.FAILED)
        self._finish(message, SubmitResult(SubmitDecision.FAILED), FinalState.FAILED, line)

    def record_cancelled(self, message: StoredMessage) -> None:
        """Its client has left before it was told that the message was accepted."""
        self._store_final_state(message, FinalState.CANCELLED)

    def _finish(self, message: StoredMessage, result: SubmitResult, state: FinalState, line: str) -> None:
        """Reported to the client that still waits, else by a notification."""
        submission = self.current_submission
        if submission is not None and message is submission.message:
            submission.result = result
            if self.metrics is not None:
                self.metrics.message_finished(message.traffic_class, state)
            self.write_ahead_log.record_finished(message)
        else:
            self._store_final_state(message, state, result.retry_after)
            self.write_ahead_log.record_finished(message, line)
            self.notifier.add(message)

    def _store_final_state(self, message: StoredMessage, state: FinalState, retry_after: int = 0) -> None:
        """Before the write-ahead log forgets the message: a kill in between leaves both."""
        if self.outcome_store is not None:
            self.outcome_store.add(message.trace_id, state, retry_after)
        if self.metrics is not None:
            self.metrics.message_finished(message.traffic_class, state)
