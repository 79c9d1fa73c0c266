"""Starts and kills of a sender process of the emulator."""

from __future__ import annotations

from pathlib import Path

import pytest
from support.sender_harness import LIMITS

from ashpath.emulator.sender_process import SenderProcess


class RecordedProcess:
    """A process that runs until it is killed. `started` counts the processes of a test."""

    started = 0

    def __init__(self, *_: object, **__: object) -> None:
        type(self).started += 1
        self.returncode: int | None = None

    def poll(self) -> int | None:
        return self.returncode

    def kill(self) -> None:
        self.returncode = -9

    def wait(self) -> None:
        pass


def test_running_sender_is_not_started_twice(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Two scripted kills may overlap: the second start would leave the first process without an owner."""
    monkeypatch.setattr(RecordedProcess, "started", 0)
    monkeypatch.setattr("ashpath.emulator.sender_process.subprocess.Popen", RecordedProcess)
    sender = SenderProcess(tmp_path / "sender.toml", tmp_path / "log", ("127.0.0.1", 1), LIMITS.http)
    sender.start()
    sender.start()
    assert RecordedProcess.started == 1
    sender.kill()
    sender.start()
    assert RecordedProcess.started == 2
