"""The stored clock: steps of the wall clock do not change times that outlive the process."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path
from unittest.mock import Mock

import pytest
from support.sender_harness import ROOT

from ashpath.server import timers
from ashpath.server.storage import stored_clock
from ashpath.server.storage.stored_clock import ClockOrigin, initialize_stored_clock

HOUR_US = 3_600_000_000
WALL_CLOCK_MODULES = {"ashpath/server/timers.py"}
WALL_CLOCK_NAMES = {"time", "time_ns", "utcnow", "today"}


@pytest.fixture(autouse=True)
def restore_offset() -> Iterator[None]:
    before = timers.stored_time() - timers.now()
    yield
    timers.set_stored_time_offset(before)


def step_wall_clock(monkeypatch: pytest.MonkeyPatch, by_us: int) -> None:
    real = timers.wall_clock
    monkeypatch.setattr(timers, "wall_clock", lambda: real() + by_us)


@pytest.mark.parametrize("by_us", [HOUR_US, -HOUR_US])
def test_wall_clock_step_within_boot_leaves_stored_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, by_us: int
) -> None:
    assert initialize_stored_clock(tmp_path, Mock()) is ClockOrigin.NEW
    before = timers.stored_time()
    step_wall_clock(monkeypatch, by_us)
    assert initialize_stored_clock(tmp_path, Mock()) is ClockOrigin.SAME_BOOT
    assert 0 <= timers.stored_time() - before < 5_000_000


@pytest.mark.parametrize(
    ("content", "origin"),
    [
        (b"", ClockOrigin.NEW),
        (b'{"version":1,"boots":[]}', ClockOrigin.NEW),
        (b'{"version":1,"boots":[["x","soon",1]]}', ClockOrigin.NEW),
        (b'{"version":2,"boots":[["x",1,1]]}', ClockOrigin.NEW),
        (b'{"version":1,"boots":[["of another boot",5,1]]}', ClockOrigin.OTHER_BOOT),
        (b'{"version":1,"boots":[["BOOT",5,99000000000000000]]}', ClockOrigin.OTHER_BOOT),
    ],
)
def test_offset_not_of_this_boot_is_taken_from_wall_clock(
    tmp_path: Path, content: bytes, origin: ClockOrigin
) -> None:
    """The cases include a monotonic clock that is earlier than the time in the file."""
    (tmp_path / "clock").write_bytes(content.replace(b"BOOT", stored_clock.boot_id().encode()))
    assert initialize_stored_clock(tmp_path, Mock()) is origin
    assert abs(timers.stored_time() - timers.wall_clock()) < 5_000_000
    assert initialize_stored_clock(tmp_path, Mock()) is ClockOrigin.SAME_BOOT


def test_failed_clock_write_does_not_stop_start(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(stored_clock, "replace_shared_file", fail)
    logger = Mock()
    assert initialize_stored_clock(tmp_path, logger) is ClockOrigin.NEW
    assert logger.warning.call_count == 1


def test_the_wall_clock_is_read_in_one_module() -> None:
    """Deadlines, pauses and expiry times must not be compared with a clock that may be stepped."""
    readers = set()
    for package in ("server", "core", "policy"):
        for path in (ROOT / "ashpath" / package).rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                name = node.func if isinstance(node, ast.Call) else None
                called = isinstance(name, ast.Attribute) and name.attr in WALL_CLOCK_NAMES
                imported = isinstance(node, ast.ImportFrom) and node.module == "time"
                names = {alias.name for alias in node.names} if isinstance(node, ast.ImportFrom) else set()
                if called or (imported and names & WALL_CLOCK_NAMES):
                    readers.add(str(path.relative_to(ROOT)))
    assert readers == WALL_CLOCK_MODULES
