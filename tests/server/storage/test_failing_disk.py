"""The write-ahead log on a disk whose calls fail for a while, starting at each call in turn, before a kill.

These faults occurred: a torn record that could not be truncated stayed in the log and made all records after
it unreadable; records of outcomes whose write had failed were never written later; a start failed if the log
could not be rewritten; an orphan whose adoption had failed stayed locked.
"""

from __future__ import annotations

import errno
from contextlib import suppress
from pathlib import Path
from unittest.mock import Mock

import pytest
from support.failing_disk import FOR_GOOD, SHORT, FailingDisk, failing_calls

from ashpath.server.log_repair import LogRepairer
from ashpath.server.storage.errors import ForeignRecordError
from ashpath.server.storage.file_lock import try_acquire
from ashpath.server.storage.live_messages import LiveMessages
from ashpath.server.storage.log_directory import LogDirectory
from ashpath.server.storage.record_codec import RecordReader, encode_fields
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog

MAX_LOG_BYTES = 1 << 20
CALLS = 12  # calls of one kind; each in turn is the first to fail


def message(number: int) -> StoredMessage:
    return StoredMessage(number, f"t{number}", 0, 1, None, None, 2**60, b"body \x00 %d" % number)


def process_messages(log: WriteAheadLog) -> tuple[set[str], set[str]]:
    """Submits messages, records attempts and finishes some; returns accepted and finished trace ids."""
    accepted: set[str] = set()
    finished: set[str] = set()
    for number in range(1, 9):
        submitted = message(number)
        if not log.record_submitted(submitted):
            continue
        accepted.add(submitted.trace_id)
        with suppress(OSError):
            log.record_attempt(submitted, 77, "e1")
            log.record_outcome(submitted, may_have_run=number % 2 == 0)
        if number % 3 == 0:
            log.record_finished(submitted)
            finished.add(submitted.trace_id)
    return accepted, finished


def messages_after_kill(log: WriteAheadLog, folder: Path) -> dict[str, tuple[int, bool]]:
    """Returns the messages that the next incarnation would find after a kill now, by trace id: the number of
    attempts, and whether an attempt may have run."""
    copy = folder / "copy"
    copy.write_bytes(log.file.path.read_bytes())
    recovered = LiveMessages()
    with copy.open("rb") as file:
        recovered.read(RecordReader(file))
    return {one.trace_id: (one.attempts, one.first_run_at is not None) for one in recovered.live.values()}


FAULTS: dict[str, list[tuple[str, str]]] = {
    "write": [("write", "ENOSPC")],
    "write, input or output": [("write", "EIO")],
    "short write": [("write", SHORT)],
    "short write, not cut off": [("write", SHORT), ("ftruncate", "EIO")],
    "short write, nothing else either": [("write", SHORT), ("ftruncate", "EIO"), ("replace", "EIO")],
}


def violation(name: str, first: int, count: int, folder: Path) -> str:
    """Returns the violation found with one sequence of failing calls, or an empty string."""
    folder.mkdir()
    disks = [FailingDisk(call, error, first if call == "write" else 0, count) for call, error in FAULTS[name]]
    log = WriteAheadLog(folder, MAX_LOG_BYTES)
    with failing_calls(*disks):
        accepted, finished = process_messages(log)
        lost = accepted - finished - set(messages_after_kill(log, folder))
    log.repair()  # the disk takes writes again
    after = set(messages_after_kill(log, folder))
    log.close()
    if lost:
        return f"lost: {sorted(lost)}"
    return "" if after == accepted - finished else f"after repair: {sorted(after)}"


def test_accepted_messages_survive_any_write_failure(tmp_path: Path) -> None:
    """Each kind of fault starts at each call in turn and lasts for one call, for three, or until repair."""
    faults = {}
    for name in FAULTS:
        for first in range(CALLS):
            for count in (1, 3, 1000):
                fault = violation(name, first, count, tmp_path / f"{name}-{first}-{count}")
                if fault:
                    faults[name, first, count] = fault
    assert faults == {}


def test_start_on_full_disk_keeps_live_messages(tmp_path: Path) -> None:
    """The log accepts no message while neither a rewrite nor an append succeeds, and is complete after
    `repair` succeeds."""
    log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    accepted, finished = process_messages(log)
    log.close()
    with failing_calls(
        FailingDisk("replace", "ENOSPC", 0, FOR_GOOD), FailingDisk("write", "ENOSPC", 0, FOR_GOOD)
    ):
        log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
        assert set(log.messages.by_trace_id) == accepted - finished
        assert log.needs_repair
        assert not log.record_submitted(message(20))
        with pytest.raises(OSError, match="not written yet"):
            log.record_attempt(log.messages.live[1], 77, "e1")
    assert log.repair()
    assert not log.needs_repair
    assert log.record_submitted(message(20))
    log.close()


def test_orphan_log_is_adopted_after_failed_adoption(tmp_path: Path) -> None:
    """The orphan's lock is free after the failure, none of its messages is lost, and it is adopted once."""
    old = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    new = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    accepted, finished = process_messages(old)
    old.close()
    with failing_calls(FailingDisk("replace", "EIO", 0, 1)):
        assert new.adopt() == []
    assert not new.messages.live
    assert {one.trace_id for one in new.adopt()} == accepted - finished
    assert new.adopt() == []
    new.close()


def test_orphan_log_that_cannot_be_emptied_is_adopted_once(tmp_path: Path) -> None:
    """The message is finished before the orphan can be emptied, and is not adopted a second time."""
    old = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    new = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    assert old.record_submitted(message(1))
    old.close()
    with failing_calls(FailingDisk("replace", "EIO", 1, 1)):  # the second rename empties the orphan
        (adopted,) = new.adopt()
        new.record_finished(adopted)
    assert new.adopt() == []
    assert (tmp_path / "journal").read_bytes() == b""
    new.close()


def orphaned_logs(folder: Path, *names: str) -> None:
    """Creates one orphaned log per name, each with one message whose trace id is the name."""
    for name in names:
        origin = folder / f"origin-{name}"
        log = WriteAheadLog(origin, MAX_LOG_BYTES)
        stored = message(1)
        stored.trace_id = name
        assert log.record_submitted(stored)
        log.close()
        (origin / "journal").rename(folder / name)


def test_unopenable_lock_file_keeps_no_other_orphan_from_adoption(tmp_path: Path) -> None:
    """The second orphan's lock file cannot be opened. The messages of the others are returned, so that they
    are delivered by this incarnation, and its own message follows once the lock file can be opened."""
    log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    orphaned_logs(tmp_path, "journal-1", "journal-2", "journal-3")
    # Each adoption opens a lock file and the rewritten log: the third call opens the second lock file.
    with failing_calls(FailingDisk("open", "ENOSPC", 2, 1)):
        adopted = log.adopt()
    assert [one.trace_id for one in adopted] == ["journal-1", "journal-3"]
    assert [one.trace_id for one in log.adopt()] == ["journal-2"]
    assert log.adopt() == []
    log.close()


def test_adopted_messages_are_returned_although_directory_cannot_be_listed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The listing after the adoption fails; the messages are in this log, and the caller has to know them."""
    log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    orphaned_logs(tmp_path, "journal-1")

    def fail(*_: object) -> int:
        raise OSError(errno.EIO, "injected")

    with monkeypatch.context() as patch:
        patch.setattr(LogDirectory, "other_logs_bytes", fail)
        assert [one.trace_id for one in log.adopt()] == ["journal-1"]
    log.close()


def test_orphan_is_unlocked_after_each_failed_call_of_its_adoption(tmp_path: Path) -> None:
    """Each call of an adoption fails for good in turn. The orphan's lock is free afterwards, and another
    process adopts each message that the first one did not adopt."""
    for call in ("open", "write", "replace", "ftruncate"):
        for first in range(4):
            folder = tmp_path / f"{call}-{first}"
            log = WriteAheadLog(folder, MAX_LOG_BYTES)
            orphaned_logs(folder, "journal-1", "journal-2")
            with failing_calls(FailingDisk(call, "EIO", first, 1000)):
                adopted = {one.trace_id for one in log.adopt()}
            for name in ("journal-1", "journal-2"):
                lock = try_acquire(folder / f"{name}.lock")
                assert lock is not None, (call, first, name)
                lock.release()
            other = WriteAheadLog(folder, MAX_LOG_BYTES)
            assert adopted | set(other.messages.by_trace_id) == {"journal-1", "journal-2"}, (call, first)
            other.close()
            log.close()


def test_orphans_left_by_a_failed_adoption_are_known(tmp_path: Path) -> None:
    orphaned_logs(tmp_path, "journal-1")
    with failing_calls(FailingDisk("replace", "EIO", 0, FOR_GOOD)):
        log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    assert log.may_have_orphans
    assert [one.trace_id for one in log.adopt()] == ["journal-1"]
    assert not log.may_have_orphans
    log.close()


def test_orphan_of_another_version_is_read_once_and_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "journal-1").write_bytes(encode_fields(["foreign", 1]))
    log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    with monkeypatch.context() as patch:
        patch.setattr(RecordReader, "__iter__", Mock(side_effect=AssertionError("read again")))
        assert log.adopt() == []
    assert log.may_have_orphans
    assert (tmp_path / "journal-1").read_bytes() == encode_fields(["foreign", 1])
    orphaned_logs(tmp_path, "journal-2")  # another file of the same name is read
    (tmp_path / "journal-2").rename(tmp_path / "journal-1")
    assert [one.trace_id for one in log.adopt()] == ["journal-2"]
    log.close()


def test_start_that_cannot_read_its_log_releases_the_lock(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    WriteAheadLog(tmp_path, MAX_LOG_BYTES).close()

    def fail(*_: object) -> None:
        raise OSError(errno.EIO, "injected")

    with monkeypatch.context() as patch:
        patch.setattr(RecordReader, "__iter__", fail)
        with pytest.raises(OSError, match="injected"):
            WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    assert log.file.path.name == "journal"
    log.close()


def test_start_on_log_of_another_version_releases_the_lock(tmp_path: Path) -> None:
    path = tmp_path / "journal"
    path.write_bytes(encode_fields(["foreign", 1]))
    with pytest.raises(ForeignRecordError):
        WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    lock = try_acquire(tmp_path / "journal.lock")
    assert lock is not None
    lock.release()


def test_repairer_logs_incomplete_log_once(tmp_path: Path) -> None:
    log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    assert log.record_submitted(message(1))
    assert log.record_submitted(message(2))
    logger = Mock()
    repairer = LogRepairer(log, 0.25, logger)
    with failing_calls(FailingDisk("write", "EIO", 0, 1000)):
        log.record_finished(log.messages.live[1])
        repairer.repair_if_behind()
        repairer.repair_if_behind()
    repairer.repair_if_behind()
    repairer.repair_if_behind()
    assert [call.args[0] for call in logger.method_calls] == [
        "write-ahead log behind",
        "write-ahead log whole again",
    ]
    assert set(messages_after_kill(log, tmp_path)) == {"t2"}
    log.close()
