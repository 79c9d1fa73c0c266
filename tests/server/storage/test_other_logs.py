"""The logs of two processes of one sender: each knows what the other one has accepted and ended."""

from __future__ import annotations

from pathlib import Path
from unittest.mock import Mock

import pytest

from ashpath.core.messages import OrderedQueue
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.timers import stored_time

MAX_BYTES = 1 << 20
TIME_LEFT = 60_000_000  # microseconds


def message_of_key(log: WriteAheadLog, trace_id: str, key: int) -> StoredMessage:
    """Returns a message that the log's process has accepted."""
    deadline = stored_time() + TIME_LEFT
    message = StoredMessage(log.messages.last_id + 1, trace_id, 0, 1, key, None, deadline, b"")
    assert log.record_submitted(message)
    return message


@pytest.fixture
def logs(tmp_path: Path) -> tuple[WriteAheadLog, WriteAheadLog]:
    """The logs of the old and of the new process of a hot upgrade."""
    old = WriteAheadLog(tmp_path, MAX_BYTES)
    return old, WriteAheadLog(tmp_path, MAX_BYTES)


def test_messages_of_other_process_are_known_from_accept_to_end(
    logs: tuple[WriteAheadLog, WriteAheadLog],
) -> None:
    old, new = logs
    message = message_of_key(old, "a", 7)
    assert new.other_logs.live_of_key(7) == ("a",)
    assert new.other_logs.live_of_key(8) == ()
    assert new.other_logs.is_live("a")
    assert not new.other_logs.has_ended("a")
    later = message_of_key(new, "b", 7)
    later.predecessors = new.other_logs.live_of_key(7)
    assert new.has_unfinished_predecessor(later)
    old.record_attempt(message, 1, "e1")
    old.record_finished(message)
    assert not new.has_unfinished_predecessor(later)
    assert not new.other_logs.is_live("a")
    assert new.other_logs.has_ended("a")


def test_process_that_has_just_started_is_known_to_the_other_one(tmp_path: Path) -> None:
    """Guards against an id that runs twice: at the new process of an upgrade, and again at the old one, which
    had not looked for other logs since."""
    old = WriteAheadLog(tmp_path, MAX_BYTES)
    assert not old.other_logs.is_live("a")
    new = WriteAheadLog(tmp_path, MAX_BYTES)
    message = message_of_key(new, "a", 7)
    assert old.other_logs.is_live("a")
    assert old.other_logs.live_of_key(7) == ("a",)
    new.record_attempt(message, 1, "e1")
    new.record_finished(message)
    assert old.other_logs.has_ended("a")


def test_other_log_is_read_from_its_begin_after_it_was_rewritten(
    logs: tuple[WriteAheadLog, WriteAheadLog],
) -> None:
    old, new = logs
    for trace_id in "abc":
        message_of_key(old, trace_id, 7)
    assert len(new.other_logs.live_of_key(7)) == 3
    old.record_finished(old.messages.by_trace_id["b"])
    assert old.repair()
    assert new.other_logs.live_of_key(7) == ("a", "c")
    message_of_key(old, "d", 7)
    assert new.other_logs.live_of_key(7) == ("a", "c", "d")


def test_predecessor_stays_unfinished_while_it_is_adopted(logs: tuple[WriteAheadLog, WriteAheadLog]) -> None:
    old, new = logs
    message_of_key(old, "a", 7)
    later = message_of_key(new, "b", 7)
    later.predecessors = new.other_logs.live_of_key(7)
    old.close()
    assert [message.trace_id for message in new.adopt()] == ["a"]
    assert new.other_logs.live_of_key(7) == ()
    assert new.has_unfinished_predecessor(later)
    new.record_finished(new.messages.by_trace_id["a"])
    assert not new.has_unfinished_predecessor(later)


def test_adopted_messages_go_ahead_of_those_they_precede() -> None:
    queue = OrderedQueue(7)
    for name, precedes in (("own 1", False), ("adopted 1", True), ("own 2", False), ("adopted 2", True)):
        message = Mock(precedes_queued=precedes)
        message.name = name
        queue.add(message)
    names = [getattr(message, "name", "") for message in queue.messages]
    assert names == ["adopted 1", "adopted 2", "own 1", "own 2"]
