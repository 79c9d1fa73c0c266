"""Restoration of messages of a previous incarnation: which of them the policy has to finish, and the
attempts reported with them."""

from __future__ import annotations

from pathlib import Path

import pytest
from support.sender_harness import LIMITS
from support.sender_parts import unreachable_notifier

from ashpath.core.interface import PreviousAttempts
from ashpath.core.time_units import SECOND
from ashpath.server.message_restoration import MessageRestorer
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.timers import now, stored_time


@pytest.fixture
def write_ahead_log(tmp_path: Path) -> WriteAheadLog:
    return WriteAheadLog(tmp_path, LIMITS.storage.disk_bytes)


def store_message(write_ahead_log: WriteAheadLog, message_id: int, time_left: int = SECOND) -> StoredMessage:
    """Stores a message as the previous incarnation accepted it; `time_left` is in microseconds."""
    deadline = stored_time() + time_left
    message = StoredMessage(message_id, f"t{message_id}", 0, 1, None, None, deadline, b"")
    assert write_ahead_log.record_submitted(message)
    return message


def test_messages_are_restored_in_order_of_acceptance(write_ahead_log: WriteAheadLog) -> None:
    notifier = unreachable_notifier(write_ahead_log)
    messages: dict[int, StoredMessage] = {}
    accepted = [store_message(write_ahead_log, 1), store_message(write_ahead_log, 2, time_left=-SECOND)]
    restored = MessageRestorer(write_ahead_log, notifier).restore(accepted, messages)
    assert [entry.message for entry in restored] == accepted
    assert list(messages) == [1, 2]
    assert 0 < restored[0].time_left <= SECOND
    assert restored[1].time_left <= -SECOND
    assert restored[0].previous == PreviousAttempts(0, None, "", unresolved=False)


def test_finished_message_only_resumes_its_notification(write_ahead_log: WriteAheadLog) -> None:
    notifier = unreachable_notifier(write_ahead_log)
    messages: dict[int, StoredMessage] = {}
    message = store_message(write_ahead_log, 1)
    write_ahead_log.record_finished(message, "{}")
    assert MessageRestorer(write_ahead_log, notifier).restore([message], messages) == []
    assert not messages
    assert list(notifier.pending) == [message]


def test_interrupted_attempt_counts_as_possibly_run(write_ahead_log: WriteAheadLog) -> None:
    """The attempt is recorded as possibly run; its time and endpoint restrict the retries that follow."""
    message = store_message(write_ahead_log, 1)
    write_ahead_log.record_attempt(message, stored_time() - 2 * SECOND, "e1")
    restorer = MessageRestorer(write_ahead_log, unreachable_notifier(write_ahead_log))
    previous = restorer.restore([message], {})[0].previous
    assert previous.unresolved
    assert previous.attempts == 1
    assert previous.first_run_endpoint == "e1"
    assert previous.first_run_at is not None
    assert 2 * SECOND <= now() - previous.first_run_at < 3 * SECOND
    assert message.in_flight_since is None


@pytest.mark.parametrize(
    ("own_id", "predecessors", "in_flight_since", "follows"),
    [
        (9, (), None, True),
        (4, (), None, False),
        (9, ("t5",), 1, True),  # its attempt waits for the adopted message
        (9, (), 1, False),  # its attempt is out
        (4, ("t5",), None, True),  # an earlier release accepted the adopted message, and its id is too high
    ],
)
def test_adopted_message_goes_ahead_of_later_ones_that_wait(
    write_ahead_log: WriteAheadLog,
    own_id: int,
    predecessors: tuple[str, ...],
    in_flight_since: int | None,
    *,
    follows: bool,
) -> None:
    deadline = stored_time() + SECOND
    own, other_key, adopted = (
        StoredMessage(message_id, f"t{message_id}", 0, 1, key, None, deadline, b"")
        for message_id, key in ((own_id, 7), (10, 8), (5, 7))
    )
    own.predecessors = predecessors
    own.in_flight_since = in_flight_since
    restorer = MessageRestorer(write_ahead_log, unreachable_notifier(write_ahead_log))
    restored = restorer.restore([adopted], {own_id: own, 10: other_key})
    assert restored[0].followers == ({own_id} if follows else set())
