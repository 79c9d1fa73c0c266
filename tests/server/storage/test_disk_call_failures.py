"""The write-ahead log with each of its disk calls failing, for a while and for good, before a kill.

One table of cases: which call fails, from its how manieth on, with which error, and for how many calls. In
each case a process starts on the log of an earlier one, accepts messages and delivers them under the faults,
and is killed. The next process starts on what is on disk, with a disk without faults, and delivers the rest.
"""

from __future__ import annotations

import shutil
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import pytest
from msgspec import Struct
from support.failing_disk import FOR_GOOD, KILL, SHORT, FailingDisk, KilledError, failing_calls
from support.log_workload import (
    EARLIER_MESSAGES,
    MAX_LOG_BYTES,
    Process,
    SenderHarness,
    at_most_once_messages_run_twice,
    write_earlier_log,
)

from ashpath.server.storage.write_ahead_log import WriteAheadLog

MESSAGES = 200  # their records need several rewrites of the log
DURATIONS = (1, 3, FOR_GOOD)
RECORD_WRITES = (0, 1, 2, 3, 4, 7, 11, 30, 90, 150)
EVERY_RECORD_WRITE = range(250)  # those of more than one period
OTHER_CALLS = {"open": (0, 1, 2, 3), "replace": (0, 1, 2), "flock": (0,)}  # the first opens the lock file


class Case(Struct, frozen=True):
    """The calls `first` to `first + count - 1` of one function fail."""

    call: str
    error: str
    first: int
    count: int
    short_writes_from: int | None = None
    """Number of the write from which on all writes are short; None for no short write."""
    killed_at_write: int | None = None
    """Number of the write that the process is killed in; None for a kill after the last message."""

    def __str__(self) -> str:
        """The name of the case in the list of failed tests."""
        duration = "for good" if self.count == FOR_GOOD else f"{self.count} times"
        name = f"{self.call} {self.error} from call {self.first} {duration}"
        if self.short_writes_from is not None:
            name += f", short writes from {self.short_writes_from}"
        if self.killed_at_write is not None:
            name += f", killed at write {self.killed_at_write}"
        return name

    @property
    def killed_in_call(self) -> bool:
        """Whether the kill comes within a call, so that the process does not run on."""
        return self.error == KILL or self.killed_at_write is not None


def table() -> Iterator[Case]:
    """Yields all cases."""
    for count in DURATIONS:
        for error in ("ENOSPC", "EIO", SHORT):
            yield from (Case("write", error, first, count) for first in RECORD_WRITES)
        for error in ("ENOSPC", "EIO"):
            for call, numbers in OTHER_CALLS.items():
                yield from (Case(call, error, first, count) for first in numbers)
            for write in (3, 30):
                yield from (Case("ftruncate", error, first, count, write) for first in (0, 1, 2, 5))
        yield from (Case("fsync", "EIO", first, count) for first in (0, 1, 2))
    yield from (Case("write", "EIO", first, 1, killed_at_write=first + 3) for first in EVERY_RECORD_WRITE)
    yield from (Case("write", KILL, first, 1) for first in EVERY_RECORD_WRITE)
    yield from (Case("replace", KILL, first, 1) for first in OTHER_CALLS["replace"])


def run_until_kill(case: Case, folder: Path, harness: SenderHarness) -> WriteAheadLog | None:
    """Runs a process under the faults of the case; returns its log, or None if the start failed."""
    disks = [FailingDisk(case.call, case.error, case.first, case.count)]
    if case.short_writes_from is not None:
        disks.append(FailingDisk("write", SHORT, case.short_writes_from, FOR_GOOD))
    if case.killed_at_write is not None:
        disks.append(FailingDisk("write", KILL, case.killed_at_write, 1))
    log = None
    with failing_calls(*disks):
        with suppress(KilledError, OSError):
            log = WriteAheadLog(folder, MAX_LOG_BYTES)
        if log is not None:
            process = Process(log, harness)
            with suppress(KilledError):
                for number in range(EARLIER_MESSAGES, MESSAGES):
                    process.accept(number)
    assert case.call == "fsync" or disks[0].injected, "the case injects nothing"
    return log


def start_after_kill(folder: Path, copy: Path) -> WriteAheadLog:
    """Starts on a copy of the folder as the kill left it: the killed process holds no lock there."""
    shutil.copytree(folder, copy)
    return WriteAheadLog(copy, MAX_LOG_BYTES)


@pytest.mark.parametrize("case", table(), ids=str)
def test_next_start_owes_what_was_accepted_and_runs_nothing_twice(tmp_path: Path, case: Case) -> None:
    harness = SenderHarness()
    write_earlier_log(tmp_path / "state", harness)
    log = run_until_kill(case, tmp_path / "state", harness)
    complete = log is not None and not log.needs_repair and not case.killed_in_call
    owed = harness.accepted - harness.ended
    next_log = start_after_kill(tmp_path / "state", tmp_path / "after")
    restored = set(next_log.messages.by_trace_id)
    assert owed <= restored <= harness.accepted
    if complete:
        assert restored == owed
    Process(next_log, harness).restore()
    assert harness.ended == harness.accepted
    assert not next_log.needs_repair
    assert at_most_once_messages_run_twice(harness) == []
    next_log.close()
    if log is not None:
        log.close()


@pytest.mark.parametrize("case", [case for case in table() if not case.killed_in_call], ids=str)
def test_failed_records_are_written_once_disk_takes_them(tmp_path: Path, case: Case) -> None:
    """The disk takes writes again before the kill: the next start restores exactly what is owed."""
    harness = SenderHarness()
    write_earlier_log(tmp_path / "state", harness)
    log = run_until_kill(case, tmp_path / "state", harness)
    if log is None:
        return  # the start failed, which the test above covers
    assert log.repair()
    assert not log.needs_repair
    next_log = start_after_kill(tmp_path / "state", tmp_path / "after")
    assert set(next_log.messages.by_trace_id) == harness.accepted - harness.ended
    next_log.close()
    log.close()
