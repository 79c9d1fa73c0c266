"""Outcomes and final states: what is written, in which order, and who learns of it."""

from __future__ import annotations

from pathlib import Path

import pytest
from support.stages import unreachable_notifier
from support.world import LIMITS

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


class Stages:
    """A recorder, with one message whose attempt is in flight; it keeps final states and counts itself."""

    def __init__(self, directory: Path) -> None:
        self.write_ahead_log = WriteAheadLog(directory, LIMITS.disk_bytes)
        self.notifier = unreachable_notifier(self.write_ahead_log)
        self.recorder = OutcomeRecorder(self.write_ahead_log, self.notifier, self)
        self.recorder.use_metrics(self)
        self.message = StoredMessage(1, "t1", 0, 1, None, None, 0, b"")
        assert self.write_ahead_log.record_submitted(self.message)
        self.write_ahead_log.record_attempt(self.message, 77, "e1")
        self.kept: list[tuple[str, FinalState, int]] = []
        self.counted: list[FinalState | AttemptOutcome | str] = []

    def add(self, trace_id: str, state: FinalState, retry_after: int = 0) -> None:
        assert trace_id in self.write_ahead_log.messages.by_trace_id  # it forgets the message after this
        self.kept.append((trace_id, state, retry_after))

    def message_accepted(self, traffic_class: int) -> None:
        self.counted.append(f"accepted {traffic_class}")

    def message_finished(self, traffic_class: int, state: FinalState) -> None:
        self.counted.append(state)

    def attempt_finished(self, outcome: AttemptOutcome, took_us: int) -> None:
        self.counted.append(outcome)


@pytest.fixture
def stages(tmp_path: Path) -> Stages:
    return Stages(tmp_path)


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
def test_an_attempt_that_is_not_final(stages: Stages, outcome: AttemptOutcome, may_have_run: bool) -> None:
    """The message stays, with what is known of the attempt."""
    stages.recorder.record_attempt(stages.message, AttemptResult(outcome))
    assert stages.message.in_flight_since is None
    assert stages.message.first_run_at == (77 if may_have_run else None)
    assert list(stages.write_ahead_log.messages.live) == [1]
    assert not stages.kept


@pytest.mark.parametrize(
    ("outcome", "state"),
    [(AttemptOutcome.DELIVERED, FinalState.DELIVERED), (AttemptOutcome.NOT_SENT, FinalState.CANCELLED)],
)
def test_an_attempt_that_is_final(stages: Stages, outcome: AttemptOutcome, state: FinalState) -> None:
    """Its state is kept for clients that ask; nobody is notified."""
    stages.recorder.record_attempt(stages.message, AttemptResult(outcome, final=True))
    assert stages.kept == [("t1", state, 0)]
    assert stages.counted == [state]
    assert not stages.write_ahead_log.messages.live
    assert not stages.notifier.has_pending


@pytest.mark.parametrize("retry_after", [None, 2_500])
def test_a_final_state_while_the_client_waits(stages: Stages, retry_after: int | None) -> None:
    """It is the result of the submission, and nothing is left."""
    with stages.recorder.submission(stages.message) as submission:
        if retry_after is None:
            stages.recorder.record_failed(stages.message)
        else:
            stages.recorder.record_rejected(stages.message, retry_after)
    if retry_after is None:
        assert submission.result == SubmitResult(SubmitDecision.FAILED)
    else:
        assert submission.result == SubmitResult(SubmitDecision.REJECTED, retry_after)
    state = FinalState.FAILED if retry_after is None else FinalState.REJECTED
    assert stages.counted == ["accepted 0", state]
    assert not stages.kept
    assert not stages.write_ahead_log.messages.live
    assert not stages.notifier.has_pending


def test_a_final_state_after_the_client_was_told(stages: Stages) -> None:
    """It is kept for clients that ask, and notified of; the log has the message until that is done."""
    with stages.recorder.submission(stages.message) as submission:
        pass
    stages.recorder.record_rejected(stages.message, 2_500_000)
    assert submission.result == ACCEPTED
    assert stages.kept == [("t1", FinalState.REJECTED, 2_500_000)]
    assert stages.message.notice == '{"id":"t1","status":"deferred","again_ms":2500}'
    assert stages.message.finished
    assert list(stages.notifier.pending) == [stages.message]
    assert list(stages.write_ahead_log.messages.live) == [1]


def test_the_client_of_another_message_waits(stages: Stages) -> None:
    """A final state within its submission is not its own."""
    other = StoredMessage(2, "t2", 0, 1, None, None, 0, b"")
    with stages.recorder.submission(other) as submission:
        stages.recorder.record_failed(stages.message)
    assert submission.result == ACCEPTED
    assert stages.kept == [("t1", FinalState.FAILED, 0)]
    assert list(stages.notifier.pending) == [stages.message]
