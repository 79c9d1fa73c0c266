"""The write-ahead log: torn records, adoption, the shared disk."""

from __future__ import annotations

import os
from contextlib import closing
from pathlib import Path

import pytest

from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog

MAX_LOG_BYTES = 1 << 20  # bytes
BODY = b"a\nb\x00"


@pytest.fixture(scope="module")
def written(tmp_path_factory: pytest.TempPathFactory) -> tuple[bytes, int]:
    """A log of two messages, the second with an attempt that may have run; and where its records begin."""
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
    """Whatever byte the file ends at, what is whole before it counts."""
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
    """With so many messages, or as many as there is room for."""
    for number in range(count):
        message_id = log.messages.last_id + 1
        message = StoredMessage(message_id, f"{prefix}{number}", 0, 3, None, None, 2**40, b"x" * 2000)
        if not log.record_submitted(message):
            return


def test_a_log_is_adopted_once_its_process_is_gone(tmp_path: Path) -> None:
    old = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    submit_until_full(old, "a", 2)
    new = WriteAheadLog(tmp_path, MAX_LOG_BYTES)  # beside a living one: a log of its own, and nothing adopted
    assert new.file.path.name == f"journal-{os.getpid()}"
    assert not new.messages.live
    assert new.adopt() == []
    old.record_finished(old.messages.live[1])
    old.close()  # gone: what was live in it is the new one's, once
    assert [message.trace_id for message in new.adopt()] == ["a1"]
    assert new.adopt() == []
    assert (tmp_path / "journal").read_bytes() == b""


def test_a_message_in_two_logs_is_adopted_once(tmp_path: Path) -> None:
    """As after a kill between adopting a log and emptying it."""
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
    again = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    assert again.file.path.name == "journal"
    assert trace_ids(again) == ["a0"]
    assert not (tmp_path / f"journal-{os.getpid()}").exists()


def test_two_processes_share_the_disk_limit(tmp_path: Path) -> None:
    """Guards the disk limit during an upgrade: each log alone would take all of it."""
    disk = 64 << 10
    old = WriteAheadLog(tmp_path, disk)
    submit_until_full(old, "o")
    new = WriteAheadLog(tmp_path, disk)
    submit_until_full(new, "n")
    # At its most a log takes its records and a fresh copy of what is live beside them.
    assert sum(log.file.written + log.messages.reserved_bytes for log in (old, new)) <= disk
    old.close()
    assert new.adopt()  # gone: its messages are this one's, and so is the disk
    assert new.other_logs_bytes == 0
