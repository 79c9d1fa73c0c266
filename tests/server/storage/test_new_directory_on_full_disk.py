"""A start in a new state directory on a disk that takes no file, and the claim of the log once it does."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from support.failing_disk import FOR_GOOD, FailingDisk, failing_calls

from ashpath.server.storage.errors import StateDirectoryError
from ashpath.server.storage.file_lock import try_acquire
from ashpath.server.storage.state_directory import StateDirectory
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog

MAX_LOG_BYTES = 1 << 20


def submit(log: WriteAheadLog, trace_id: str) -> bool:
    message_id = log.messages.last_id + 1
    return log.record_submitted(StoredMessage(message_id, trace_id, 0, 1, None, None, 2**60, b"body"))


def start_on_full_disk(directory: Path, call: str = "open", error: str = "ENOSPC") -> WriteAheadLog:
    with failing_calls(FailingDisk(call, error, 0, FOR_GOOD)):
        log = WriteAheadLog(directory, MAX_LOG_BYTES)
        assert not submit(log, "refused")
        assert not log.repair()
        assert log.adopt() == []
    return log


@pytest.mark.parametrize("error", ["ENOSPC", "EDQUOT", "EIO"])
@pytest.mark.parametrize("call", ["mkdir", "open"])
def test_log_is_claimed_once_the_disk_takes_files(tmp_path: Path, call: str, error: str) -> None:
    """Nothing is accepted or written before; from then on the log is locked and keeps what it accepts."""
    directory = tmp_path / "state"
    log = start_on_full_disk(directory, call, error)
    assert log.needs_repair
    assert call == "open" or not directory.exists()
    assert call == "mkdir" or not list(directory.iterdir())
    assert log.repair()
    assert not log.needs_repair
    assert submit(log, "taken")
    assert try_acquire(directory / "journal.lock") is None
    log.close()
    after = WriteAheadLog(directory, MAX_LOG_BYTES)
    assert list(after.messages.by_trace_id) == ["taken"]
    after.close()


def test_directory_with_log_is_not_used_without_its_lock(tmp_path: Path) -> None:
    """The start fails, as it could not restore the messages of the log later."""
    log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    assert submit(log, "kept")
    log.close()
    (tmp_path / "journal.lock").unlink()
    before = (tmp_path / "journal").read_bytes()
    disk = FailingDisk("open", "ENOSPC", 0, FOR_GOOD)
    with failing_calls(disk), pytest.raises(OSError, match="injected"):
        WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    assert (tmp_path / "journal").read_bytes() == before
    log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    assert list(log.messages.by_trace_id) == ["kept"]
    log.close()


@pytest.mark.parametrize("error", ["EACCES", "EROFS", "ENOTDIR"])
def test_start_fails_if_the_directory_is_configured_wrongly(tmp_path: Path, error: str) -> None:
    disk = FailingDisk("open", error, 0, FOR_GOOD)
    with failing_calls(disk), pytest.raises(OSError, match="injected"):
        WriteAheadLog(tmp_path, MAX_LOG_BYTES)


def test_late_claim_leaves_the_log_of_a_living_process_alone(tmp_path: Path) -> None:
    late = start_on_full_disk(tmp_path)
    other = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    assert submit(other, "other")
    assert late.repair()
    assert late.file.path.name == f"journal-{os.getpid()}"
    assert submit(late, "late")
    assert late.adopt() == []
    other.close()
    assert [message.trace_id for message in late.adopt()] == ["other"]
    late.close()


def test_late_claim_leaves_the_log_of_an_ended_process_to_adoption(tmp_path: Path) -> None:
    """The messages of the other log are restored by its adoption, not lost by a rewrite of its file."""
    late = start_on_full_disk(tmp_path)
    other = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    assert submit(other, "other")
    other.close()
    assert late.repair()
    assert late.file.path.name == f"journal-{os.getpid()}"
    assert [message.trace_id for message in late.adopt()] == ["other"]
    late.close()


def test_unclaimed_log_can_be_closed(tmp_path: Path) -> None:
    start_on_full_disk(tmp_path).close()
    assert not list(tmp_path.iterdir())


def test_standalone_sender_refuses_a_directory_that_it_cannot_lock(tmp_path: Path) -> None:
    """Its lock and imprint are what tells its directory from another sender's."""
    with (
        failing_calls(FailingDisk("open", "ENOSPC", 0, FOR_GOOD)),
        pytest.raises(StateDirectoryError, match="injected"),
    ):
        StateDirectory(tmp_path / "state", "n0")
    StateDirectory(tmp_path / "state", "n0").close()


def test_lock_of_a_removed_lock_file_is_not_taken_for_the_current_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An adopter removes the lock file of an orphan between the opening of the file and its lock."""
    path = tmp_path / "journal-1.lock"
    real_open = os.open
    opened: list[int] = []

    def open_and_remove(target: Path, flags: int, mode: int) -> int:
        opened.append(real_open(target, flags, mode))
        if len(opened) == 1:
            path.unlink()
        return opened[-1]

    with monkeypatch.context() as patch:
        patch.setattr(os, "open", open_and_remove)
        lock = try_acquire(path)
    assert lock is not None
    assert len(opened) == 2
    assert try_acquire(path) is None  # a second process cannot lock the file of that name
    lock.release()
