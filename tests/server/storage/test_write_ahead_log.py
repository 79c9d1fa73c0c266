"""The write-ahead log: torn records, adoption of orphaned logs, and the limit of the shared disk."""

from __future__ import annotations

import os
from contextlib import closing
from pathlib import Path

import pytest

from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog

MAX_LOG_BYTES = 1 << 20
BODY = b"a\nb\x00"


@pytest.fixture(scope="module")
def written(tmp_path_factory: pytest.TempPathFactory) -> tuple[bytes, int]:
    """Returns a log of two messages, the second with an attempt that may have run, and the offset of the
    attempt's records."""
    directory = tmp_path_factory.mktemp("written")
    log = WriteAheadLog(directory, MAX_LOG_BYTES)
    messages = [StoredMessage(n, f"t{n}", 0, 1, 5, "tag", 7, BODY) for n in (1, 2)]
    for message in messages:
        assert log.record_submitted(message)
    before = log.file.written
    log.record_attempt(messages[1], 77, "e1")
    log.record_outcome(messages[1], may_have_run=True)
    log.close()
    return (directory / "journal").read_bytes(), before


def trace_ids(log: WriteAheadLog) -> list[str]:
    return [message.trace_id for message in log.messages.live.values()]


def test_torn_log_is_read_up_to_last_whole_record(tmp_path: Path, written: tuple[bytes, int]) -> None:
    """The log is cut at each byte of the attempt's records in turn, and up to two zero bytes follow the cut;
    the records before the cut are read."""
    whole, before = written
    for end in range(before, len(whole)):
        (tmp_path / "journal").write_bytes(whole[:end] + b"\x00" * (end % 3))
        (tmp_path / "journal.new").write_bytes(b"left by a kill")
        with closing(WriteAheadLog(tmp_path, MAX_LOG_BYTES)) as log:
            assert trace_ids(log) == ["t1", "t2"]
            assert log.messages.live[1].body == BODY
            assert log.messages.live[2].first_run_at is None
            assert not (tmp_path / "journal.new").exists()


def test_records_appended_after_torn_record_are_read(tmp_path: Path, written: tuple[bytes, int]) -> None:
    whole, before = written
    for end in range(before, len(whole)):
        (tmp_path / "journal").write_bytes(whole[:end] + b"\x00" * (end % 3))
        with closing(WriteAheadLog(tmp_path, MAX_LOG_BYTES)) as log:
            log.record_finished(log.messages.live[1])
        with closing(WriteAheadLog(tmp_path, MAX_LOG_BYTES)) as log:
            assert list(log.messages.live) == [2]
            assert log.messages.last_id == 2


def test_the_attempt_that_may_have_run_is_known_after_a_restart(
    tmp_path: Path, written: tuple[bytes, int]
) -> None:
    (tmp_path / "journal").write_bytes(written[0])
    with closing(WriteAheadLog(tmp_path, MAX_LOG_BYTES)) as log:
        message = log.messages.live[2]
        assert message.first_run_at == 77
        assert message.first_run_endpoint == "e1"
        assert message.in_flight_since is None
        assert message.attempts == 1


def submit_until_full(log: WriteAheadLog, prefix: str, count: int = 10**6) -> None:
    """Submits `count` messages, or as many as the log has room for."""
    for number in range(count):
        message_id = log.messages.last_id + 1
        message = StoredMessage(message_id, f"{prefix}{number}", 0, 3, None, None, 2**40, b"x" * 2000)
        if not log.record_submitted(message):
            return


def test_a_log_is_adopted_once_its_process_is_gone(tmp_path: Path) -> None:
    old = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    submit_until_full(old, "a", 2)
    new = WriteAheadLog(tmp_path, MAX_LOG_BYTES)  # a second log beside a living process's; nothing is adopted
    assert new.file.path.name == f"journal-{os.getpid()}"
    assert not new.messages.live
    assert new.adopt() == []
    old.record_finished(old.messages.live[1])
    old.close()  # the process has ended: the new one adopts its live messages, once
    assert [message.trace_id for message in new.adopt()] == ["a1"]
    assert new.adopt() == []
    assert (tmp_path / "journal").read_bytes() == b""


def test_a_message_in_two_logs_is_adopted_once(tmp_path: Path) -> None:
    """A kill between adopting a log and emptying it leaves a message in both logs."""
    log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    submit_until_full(log, "a", 1)
    (tmp_path / "journal-1").write_bytes(log.file.path.read_bytes())
    assert log.adopt() == []
    assert len(log.messages.live) == 1


def test_the_next_start_takes_the_first_log_and_adopts_the_other(tmp_path: Path) -> None:
    old = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    new = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    submit_until_full(new, "a", 1)
    old.close()
    new.close()
    reopened = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    assert reopened.file.path.name == "journal"
    assert trace_ids(reopened) == ["a0"]
    assert not (tmp_path / f"journal-{os.getpid()}").exists()


def test_two_processes_share_the_disk_limit(tmp_path: Path) -> None:
    """Each log alone would take all of the disk limit during a hot upgrade."""
    disk = 64 << 10
    old = WriteAheadLog(tmp_path, disk)
    submit_until_full(old, "o")
    new = WriteAheadLog(tmp_path, disk)
    submit_until_full(new, "n")
    # A log takes at most its records and a rewritten copy of its live messages.
    assert sum(log.file.written + log.messages.reserved_bytes for log in (old, new)) <= disk
    old.close()
    assert new.adopt()  # the old process has ended: the new one has its messages, and its share of the disk
    assert new.other_logs_bytes == 0
