"""The state directory of a standalone sender: its lock, and a crash at each write of a start."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from support.failing_disk import FOR_GOOD, FailingDisk, failing_calls

from ashpath.server.storage.errors import StateDirectoryError
from ashpath.server.storage.state_directory import StateDirectory
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.timers import stored_time

CLASSES: list[dict[str, Any]] = [{"name": "a"}, {"name": "b"}]
WRITES: dict[str, Callable[..., object]] = {
    "os.replace": os.replace,
    "os.pwrite": os.pwrite,
    "os.truncate": os.truncate,
    "pathlib.Path.write_bytes": Path.write_bytes,
}
STARTUP_WRITES = 5


class CrashingWrites:
    """Interrupts the start at one of its writes, as a kill would."""

    def __init__(self, crash_at: int) -> None:
        self.crash_at = crash_at
        self.count = 0

    def wrapped(self, write: Callable[..., object]) -> Callable[..., object]:
        def call(*arguments: object) -> object:
            self.count += 1
            if self.count == self.crash_at:
                raise KeyboardInterrupt
            return write(*arguments)

        return call


def write_earlier_state(path: Path) -> None:
    """Writes the state of an earlier sender: one traffic class, and a message in the log."""
    directory = StateDirectory(path, "n0")
    directory.write(CLASSES[:1])
    log = WriteAheadLog(path, 1 << 20)
    assert log.record_submitted(StoredMessage(1, "x", 0, 1, None, None, stored_time() + 10**9, b"body"))
    log.close()
    directory.close()


def run_startup(path: Path) -> None:
    """Runs the part of a start that writes the state directory, with one more traffic class."""
    directory = StateDirectory(path, "n0")
    try:
        directory.write(CLASSES)
        WriteAheadLog(path, 1 << 20).close()
    finally:
        directory.close()


@pytest.mark.parametrize("crash_at", range(1, STARTUP_WRITES + 4))
def test_crash_at_any_startup_write_keeps_messages_and_imprint(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, crash_at: int
) -> None:
    """After each crash the message is still in the log, and the imprint is either the old or the new one."""
    write_earlier_state(tmp_path)
    writes = CrashingWrites(crash_at)
    crashed = False
    with monkeypatch.context() as patch:
        for name, write in WRITES.items():
            patch.setattr(name, writes.wrapped(write))
        try:
            run_startup(tmp_path)
        except KeyboardInterrupt:
            crashed = True
    assert crashed == (crash_at <= STARTUP_WRITES)
    reopened = StateDirectory(tmp_path, "n0")
    assert reopened.live_messages() == 1
    assert [row["name"] for row in reopened.traffic_classes] in (["a"], ["a", "b"])
    reopened.close()


@pytest.mark.parametrize("error", ["ENOSPC", "EIO"])
@pytest.mark.parametrize("call", ["pwrite", "truncate"])
def test_existing_directory_is_used_although_the_process_id_is_not_written(
    tmp_path: Path, call: str, error: str
) -> None:
    """A start on a full disk goes on, as it has nothing else to write; a new traffic class ends it."""
    write_earlier_state(tmp_path)
    directory = StateDirectory(tmp_path, "n0")
    with failing_calls(FailingDisk(call, error, 0, FOR_GOOD), FailingDisk("replace", error, 0, FOR_GOOD)):
        directory.write(CLASSES[:1])
        with pytest.raises(StateDirectoryError, match="injected"):
            directory.write(CLASSES)
    with pytest.raises(StateDirectoryError, match="in use by another sender"):
        StateDirectory(tmp_path, "n0")
    directory.close()


def test_second_sender_on_same_directory_is_refused(tmp_path: Path) -> None:
    first = StateDirectory(tmp_path, "n0")
    first.write([])
    with pytest.raises(StateDirectoryError, match=f"process {os.getpid()}"):
        StateDirectory(tmp_path, "n0")
    first.close()
    StateDirectory(tmp_path, "n0").close()
