"""Outcome recorder: records of outcomes and final states, their order, and their recipients."""

from __future__ import annotations

from pathlib import Path

import pytest
from support.sender_harness import LIMITS
from support.sender_parts import unreachable_notifier

from ashpath.core.interface import AttemptOutcome
from ashpath.server.delivery.attempts import AttemptResult
from ashpath.server.delivery.outcome_recorder import (
    ACCEPTED,
    OutcomeRecorder,
    SubmitDecision,
    SubmitResult,
)
from ashpath.server.storage.final_state import FinalState
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog


class RecorderHarness:
    """A recorder with one message whose attempt is in flight; serves as outcome store and metrics itself."""

    def __init__(self, directory: Path) -> None:
        self.write_ahead_log = WriteAheadLog(directory, LIMITS.storage.disk_bytes)
        self.notifier = unreachable_notifier(self.write_ahead_log)
        self.recorder = OutcomeRecorder(self.write_ahead_log, self.notifier, self)
        self.recorder.use_metrics(self)
        self.message = StoredMessage(1, "t1", 0, 1, None, None, 0, b"")
        assert self.write_ahead_log.record_submitted(self.message)
        self.write_ahead_log.record_attempt(self.message, 77, "e1")
        self.stored_states: list[tuple[str, FinalState, int]] = []
        self.metric_calls: list[FinalState | AttemptOutcome | str] = []

    def add(self, trace_id: str, state: FinalState, retry_after: int = 0) -> None:
        assert (
            trace_id in self.write_ahead_log.messages.by_trace_id
        )  # the log removes the message only after this call
        self.stored_states.append((trace_id, state, retry_after))

    def message_accepted(self, traffic_class: int) -> None:
        self.metric_calls.append(f"accepted {traffic_class}")

    def message_finished(self, traffic_class: int, state: FinalState) -> None:
        self.metric_calls.append(state)

    def attempt_finished(self, outcome: AttemptOutcome, took_us: int) -> None:
        self.metric_calls.append(outcome)


@pytest.fixture
def harness(tmp_path: Path) -> RecorderHarness:
    return RecorderHarness(tmp_path)


@pytest.mark.parametrize(
    ("outcome", "may_have_run"),
    [
        (AttemptOutcome.TIMED_OUT, True),
        (AttemptOutcome.CONNECTION_RESET, True),
        (AttemptOutcome.ERROR, True),
        (AttemptOutcome.CANCELLED, True),
        (AttemptOutcome.OVERLOADED, False),
        (AttemptOutcome.CONNECT_FAILED, False),
        (AttemptOutcome.CONNECTION_TABLE_FULL, False),
        (AttemptOutcome.NOT_SENT, False),
    ],
)
def test_message_stays_live_after_non_final_attempt(
    harness: RecorderHarness, outcome: AttemptOutcome, may_have_run: bool
) -> None:
    """The message stays in the write-ahead log, with the time of its first attempt that may have run."""
    harness.recorder.record_attempt(harness.message, AttemptResult(outcome))
    assert harness.message.in_flight_since is None
    assert harness.message.first_run_at == (77 if may_have_run else None)
    assert list(harness.write_ahead_log.messages.live) == [1]
    assert not harness.stored_states


@pytest.mark.parametrize(
    ("outcome", "state"),
    [(AttemptOutcome.DELIVERED, FinalState.DELIVERED), (AttemptOutcome.NOT_SENT, FinalState.CANCELLED)],
)
def test_final_attempt_stores_state_without_notification(
    harness: RecorderHarness, outcome: AttemptOutcome, state: FinalState
) -> None:
    """The final state is stored for clients that ask; no notification is sent."""
    harness.recorder.record_attempt(harness.message, AttemptResult(outcome, final=True))
    assert harness.stored_states == [("t1", state, 0)]
    assert harness.metric_calls == [state]
    assert not harness.write_ahead_log.messages.live
    assert not harness.notifier.has_pending


@pytest.mark.parametrize("retry_after", [None, 2_500])
def test_final_state_is_submission_result_while_client_waits(
    harness: RecorderHarness, retry_after: int | None
) -> None:
    """The final state is the result of the submission; it is neither stored nor notified."""
    with harness.recorder.submission(harness.message) as submission:
        if retry_after is None:
            harness.recorder.record_failed(harness.message)
        else:
            harness.recorder.record_rejected(harness.message, retry_after)
    if retry_after is None:
        assert submission.result == SubmitResult(SubmitDecision.FAILED)
    else:
        assert submission.result == SubmitResult(SubmitDecision.REJECTED, retry_after)
    state = FinalState.FAILED if retry_after is None else FinalState.REJECTED
    assert harness.metric_calls == ["accepted 0", state]
    assert not harness.stored_states
    assert not harness.write_ahead_log.messages.live
    assert not harness.notifier.has_pending


def test_final_state_after_acceptance_is_stored_and_notified(harness: RecorderHarness) -> None:
    """The final state is stored for clients that ask and a notification is pending; the write-ahead log keeps
    the message until the notification is acknowledged."""
    with harness.recorder.submission(harness.message) as submission:
        pass
    harness.recorder.record_rejected(harness.message, 2_500_000)
    assert submission.result == ACCEPTED
    assert harness.stored_states == [("t1", FinalState.REJECTED, 2_500_000)]
    assert harness.message.notice == '{"id":"t1","status":"deferred","again_ms":2500}'
    assert harness.message.finished
    assert list(harness.notifier.pending) == [harness.message]
    assert list(harness.write_ahead_log.messages.live) == [1]


def test_final_state_of_other_message_does_not_change_submission(harness: RecorderHarness) -> None:
    """A final state of another message within the submission is stored and notified as usual."""
    other = StoredMessage(2, "t2", 0, 1, None, None, 0, b"")
    with harness.recorder.submission(other) as submission:
        harness.recorder.record_failed(harness.message)
    assert submission.result == ACCEPTED
    assert harness.stored_states == [("t1", FinalState.FAILED, 0)]
    assert list(harness.notifier.pending) == [harness.message]
