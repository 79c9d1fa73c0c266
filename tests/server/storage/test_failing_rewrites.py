"""A write-ahead log whose rewrites fail for good: delivery goes on within the limit of the disk, in the room
that a rewrite would need, and what has no room is neither accepted nor attempted."""

from __future__ import annotations

import shutil
from contextlib import closing
from pathlib import Path
from unittest.mock import Mock

import pytest
from support.failing_disk import FOR_GOOD, FailingDisk, failing_calls

from ashpath.server.log_repair import LogRepairer
from ashpath.server.storage.disk_account import RESERVE_BYTES
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog

MAX_LOG_BYTES = 64 << 10
BODY = b"x" * 1000
ATTEMPTS = 1000  # their records take more than MAX_LOG_BYTES
FEW_ATTEMPTS = 300  # a rewrite is due within them, and they take less than half of its room
CALLS = ("open", "replace")  # of a rewrite; an append needs neither


def submit(log: WriteAheadLog, trace_id: str) -> bool:
    message_id = log.messages.last_id + 1
    return log.record_submitted(StoredMessage(message_id, trace_id, 0, 1, None, None, 2**60, BODY))


def submit_until_refused(log: WriteAheadLog) -> int:
    """Returns the number of accepted messages."""
    count = 0
    while submit(log, f"t{count}"):
        count += 1
    return count


def make_attempts(log: WriteAheadLog, count: int) -> int:
    """Makes attempts for the first live message, none of which has run, up to the first that the log does not
    record. Returns the number of recorded attempts."""
    message = next(iter(log.messages.live.values()))
    for number in range(count):
        try:
            log.record_attempt(message, number, "e1")
        except OSError:
            return number
        log.record_outcome(message, may_have_run=False)
        assert log.file.path.stat().st_size <= MAX_LOG_BYTES
    return count


def finish(log: WriteAheadLog, messages: list[StoredMessage]) -> None:
    """Finishes messages without an attempt."""
    for message in messages:
        log.record_finished(message)


@pytest.mark.parametrize("call", CALLS)
def test_accepted_messages_are_delivered_while_rewrites_fail(tmp_path: Path, call: str) -> None:
    """The records of accepted messages take the room of a copy, and a rewrite makes the file small again."""
    log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    accepted = submit_until_refused(log)
    with failing_calls(FailingDisk(call, "EIO", 0, FOR_GOOD)):
        assert make_attempts(log, FEW_ATTEMPTS) == FEW_ATTEMPTS
        assert log.rewrite_failing
        assert not log.needs_repair
        assert log.file.written + log.messages.reserved_bytes > MAX_LOG_BYTES - RESERVE_BYTES
        assert not submit(log, "refused")
        for message in list(log.messages.live.values())[1:]:
            log.record_attempt(message, 77, "e1")
            log.record_finished(message)
        assert len(log.messages.live) == 1 < accepted
        assert log.file.path.stat().st_size <= MAX_LOG_BYTES
    assert log.repair()
    assert not log.rewrite_failing
    assert log.file.written < MAX_LOG_BYTES // 2
    assert submit(log, "taken")
    log.close()


@pytest.mark.parametrize("call", CALLS)
def test_log_without_room_stays_within_limit_and_owes_what_it_owed(tmp_path: Path, call: str) -> None:
    """Guards against records of accepted messages that take the log over the limit of the disk. No attempt is
    recorded, so none is sent, until messages have ended or a rewrite succeeds."""
    log = WriteAheadLog(tmp_path / "state", MAX_LOG_BYTES)
    submit_until_refused(log)
    with failing_calls(FailingDisk(call, "EIO", 0, FOR_GOOD)):
        assert make_attempts(log, ATTEMPTS) < ATTEMPTS
        messages = list(log.messages.live.values())
        with pytest.raises(OSError, match=r"not written yet|no room"):
            log.record_attempt(messages[0], 77, "e1")
        assert not submit(log, "refused")
        finish(log, messages[1:])
        assert log.file.path.stat().st_size <= MAX_LOG_BYTES
        assert log.messages.live == {messages[0].message_id: messages[0]}
        shutil.copytree(tmp_path / "state", tmp_path / "after")
    with closing(WriteAheadLog(tmp_path / "after", MAX_LOG_BYTES)) as after:
        assert messages[0].trace_id in after.messages.by_trace_id
    assert log.repair()
    assert not log.needs_repair
    assert not log.rewrite_failing
    log.record_attempt(messages[0], 78, "e1")
    assert submit(log, "taken")
    log.close()


@pytest.mark.parametrize("call", CALLS)
def test_records_missing_in_the_file_are_written_while_rewrites_fail(tmp_path: Path, call: str) -> None:
    """One append fails in between; the record is appended before the next one, and the start finds both."""
    log = WriteAheadLog(tmp_path / "state", MAX_LOG_BYTES)
    assert submit(log, "a")
    assert submit(log, "b")
    first, second = log.messages.live.values()
    with failing_calls(FailingDisk(call, "EIO", 0, FOR_GOOD), FailingDisk("write", "ENOSPC", 0, 1)):
        log.record_finished(first)
        assert log.needs_repair
        log.record_attempt(second, 77, "e1")
        assert not log.needs_repair
    shutil.copytree(tmp_path / "state", tmp_path / "after")
    after = WriteAheadLog(tmp_path / "after", MAX_LOG_BYTES)
    assert [(one.trace_id, one.in_flight_since) for one in after.messages.live.values()] == [("b", 77)]
    after.close()
    log.close()


@pytest.mark.parametrize("torn_bytes", [0, 5])
def test_start_delivers_what_was_accepted_while_rewrites_fail(tmp_path: Path, torn_bytes: int) -> None:
    """The records are appended to the file that the last incarnation left, whose torn end is cut off first.
    The next start, whose rewrites fail too, finds both."""
    log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    assert submit(log, "a")
    assert submit(log, "b")
    log.close()
    with (tmp_path / "journal").open("ab") as file:
        file.write(b"\0" * torn_bytes)
    with failing_calls(FailingDisk("replace", "EIO", 0, FOR_GOOD)):
        log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
        assert not log.needs_repair
        assert log.rewrite_failing
        first, second = log.messages.live.values()
        log.record_attempt(first, 77, "e1")
        log.record_finished(first)
        log.record_attempt(second, 78, "e1")
        assert submit(log, "c")
        log.close()
        log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
        live = [(one.trace_id, one.in_flight_since) for one in log.messages.live.values()]
        assert live == [("b", 78), ("c", None)]
        assert log.skipped_bytes == 0
    assert log.repair()
    assert not log.rewrite_failing
    log.close()


def test_start_in_new_directory_accepts_messages_while_rewrites_fail(tmp_path: Path) -> None:
    with failing_calls(FailingDisk("replace", "EIO", 0, FOR_GOOD)):
        log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
        assert submit(log, "a")
        log.close()
        log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
        assert list(log.messages.by_trace_id) == ["a"]
        log.close()


def test_kill_while_file_takes_room_of_copy_loses_nothing(tmp_path: Path) -> None:
    log = WriteAheadLog(tmp_path / "state", MAX_LOG_BYTES)
    submit_until_refused(log)
    with failing_calls(FailingDisk("replace", "EIO", 0, FOR_GOOD)):
        attempts = make_attempts(log, ATTEMPTS)
        assert attempts > FEW_ATTEMPTS
    shutil.copytree(tmp_path / "state", tmp_path / "after")
    after = WriteAheadLog(tmp_path / "after", MAX_LOG_BYTES)
    assert list(after.messages.by_trace_id) == list(log.messages.by_trace_id)
    assert next(iter(after.messages.live.values())).attempts == attempts
    after.close()
    log.close()


def test_failed_rewrite_leaves_no_copy_that_takes_disk_space(tmp_path: Path) -> None:
    log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    submit_until_refused(log)
    with failing_calls(FailingDisk("replace", "ENOSPC", 0, FOR_GOOD)):
        assert log.repair()  # the log lacks no record
        assert log.rewrite_failing
    assert not log.file.temporary.exists()
    log.close()


def test_rewrite_that_failed_is_repeated_by_the_repairer_alone(tmp_path: Path) -> None:
    """A rewrite for each record would hold up the sender."""
    log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    submit_until_refused(log)
    disk = FailingDisk("replace", "EIO", 0, FOR_GOOD)
    with failing_calls(disk):
        assert make_attempts(log, FEW_ATTEMPTS) == FEW_ATTEMPTS
        assert disk.injected == 1
        LogRepairer(log, 0.25, Mock()).repair_if_behind()
        assert disk.injected == 2
    log.close()


def test_repairer_logs_one_line_per_transition(tmp_path: Path) -> None:
    log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    submit_until_refused(log)
    logger = Mock()
    repairer = LogRepairer(log, 0.25, logger)
    with failing_calls(FailingDisk("replace", "EIO", 0, FOR_GOOD)):
        for _ in range(4):
            assert make_attempts(log, FEW_ATTEMPTS // 4)
            repairer.repair_if_behind()
            repairer.repair_if_behind()
    for _ in range(2):
        repairer.repair_if_behind()
    assert [call.args[0] for call in logger.method_calls] == [
        "write-ahead log not rewritten",
        "write-ahead log rewritten again",
    ]
    log.close()


def test_appends_that_fail_too_are_logged_as_such(tmp_path: Path) -> None:
    """The disk takes nothing, then appends only, then rewrites too."""
    log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    assert submit(log, "a")
    logger = Mock()
    repairer = LogRepairer(log, 0.25, logger)
    with failing_calls(FailingDisk("replace", "EIO", 0, FOR_GOOD)):
        with failing_calls(FailingDisk("write", "EIO", 0, FOR_GOOD)):
            log.record_finished(log.messages.by_trace_id["a"], "notice")
            repairer.repair_if_behind()
        repairer.repair_if_behind()
    repairer.repair_if_behind()
    assert [call.args[0] for call in logger.method_calls] == [
        "write-ahead log behind",
        "write-ahead log whole again",
        "write-ahead log not rewritten",
        "write-ahead log rewritten again",
    ]
    log.close()
