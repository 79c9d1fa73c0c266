"""The write-ahead log with each of its disk calls failing, for a while and for good, before a kill.

One table of cases: which call fails, from its how manieth on, with which error, and for how many calls. In
each case a process starts on the log of an earlier one, accepts messages and delivers them under the faults,
and is killed. The next process starts on what is on disk, with a disk without faults, and delivers the rest.
"""

from __future__ import annotations

import shutil
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import pytest
from msgspec import Struct
from support.failing_disk import FOR_GOOD, KILL, SHORT, FailingDisk, KilledError, failing_calls

from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog

MAX_LOG_BYTES = 64 << 10
EARLIER_MESSAGES = 6  # in the log that the process starts on
MESSAGES = 200  # their records need several rewrites of the log
BODY = b"x" * 400
IDEMPOTENT, AT_MOST_ONCE = range(2)  # ids of the traffic classes
PERIOD = 40  # messages until their sequence of attempts repeats
UNTRIED = 19  # number within a period of the message without an attempt
IN_FLIGHT = Counter({14: 2, 15: 2, 17: 1, 18: 1})  # the attempt kept in flight, by number within a period
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


class World:
    """What clients and endpoints have seen of all processes."""

    def __init__(self) -> None:
        self.accepted: set[str] = set()
        self.ended: set[str] = set()
        """Messages with a final outcome."""
        self.runs: Counter[str] = Counter()
        """Attempts that endpoints have received, by trace id."""
        self.first_run_at: dict[str, int] = {}
        """Start of the first attempt that has run or may have run, by trace id."""
        self.now = 0


class Process:
    """Accepts and delivers messages with one log, as a sender does."""

    def __init__(self, log: WriteAheadLog, world: World) -> None:
        self.log = log
        self.world = world

    def accept(self, number: int) -> None:
        """Submits and delivers one message; of a period, one stays untried and four stay in flight."""
        traffic_class = number % 2
        message = StoredMessage(
            self.log.messages.last_id + 1, f"t{number}", traffic_class, 1, None, None, 2**60, BODY
        )
        if not self.log.record_submitted(message):
            return
        self.world.accepted.add(message.trace_id)
        if number % PERIOD != UNTRIED:
            self.deliver(
                message, may_have_run=number % 3 == 0, attempt_kept_in_flight=IN_FLIGHT[number % PERIOD]
            )

    def deliver(self, message: StoredMessage, *, may_have_run: bool, attempt_kept_in_flight: int) -> None:
        """Makes an attempt that fails, another one if the class allows, and finishes the message."""
        if not self.attempt(message) or attempt_kept_in_flight == 1:
            return
        self.log.record_outcome(message, may_have_run=may_have_run)
        if not may_have_run:
            del self.world.first_run_at[message.trace_id]
        if may_be_sent(message):
            if not self.attempt(message) or attempt_kept_in_flight == 2:
                return
            self.log.record_finished(message)
        else:
            self.log.record_finished(message, f"failed {message.trace_id}")
            self.log.record_finished(message)
        self.world.ended.add(message.trace_id)

    def attempt(self, message: StoredMessage) -> bool:
        """Sends the message once, if the attempt can be recorded."""
        with suppress(OSError):
            self.world.now += 1
            self.log.record_attempt(message, self.world.now, "e1")
            self.world.first_run_at.setdefault(message.trace_id, self.world.now)
            self.world.runs[message.trace_id] += 1
            return True
        return False

    def restore(self) -> None:
        """Delivers what the log has, as after a restart."""
        for message in list(self.log.messages.live.values()):
            if message.in_flight_since is not None:
                self.log.record_outcome(message, may_have_run=True)
            self.check_first_run(message)
            if not message.finished and may_be_sent(message):
                assert self.attempt(message)
            self.log.record_finished(message)
            self.world.ended.add(message.trace_id)

    def check_first_run(self, message: StoredMessage) -> None:
        """Checks that a window that begins with the first attempt that may have run begins in time."""
        first_run_at = self.world.first_run_at.get(message.trace_id)
        if first_run_at is not None:
            assert message.first_run_at is not None, message.trace_id
            assert message.first_run_at <= first_run_at, message.trace_id


def may_be_sent(message: StoredMessage) -> bool:
    """Whether the class of the message allows one more attempt."""
    return message.traffic_class == IDEMPOTENT or message.first_run_at is None


def run_until_kill(case: Case, folder: Path, world: World) -> WriteAheadLog | None:
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
            process = Process(log, world)
            with suppress(KilledError):
                for number in range(EARLIER_MESSAGES, MESSAGES):
                    process.accept(number)
    assert case.call == "fsync" or disks[0].injected, "the case injects nothing"
    return log


def write_earlier_log(folder: Path, world: World) -> None:
    log = WriteAheadLog(folder, MAX_LOG_BYTES)
    process = Process(log, world)
    for number in range(EARLIER_MESSAGES):
        process.accept(number)
    # Two messages that no attempt was made for, and one in flight, are left to the process under test.
    for trace_id, traffic_class in (("u0", IDEMPOTENT), ("u1", AT_MOST_ONCE), ("u2", AT_MOST_ONCE)):
        message = StoredMessage(log.messages.last_id + 1, trace_id, traffic_class, 1, None, None, 2**60, BODY)
        assert log.record_submitted(message)
        world.accepted.add(trace_id)
    assert process.attempt(message)
    log.close()


def start_after_kill(folder: Path, copy: Path) -> WriteAheadLog:
    """Starts on a copy of the folder as the kill left it: the killed process holds no lock there."""
    shutil.copytree(folder, copy)
    return WriteAheadLog(copy, MAX_LOG_BYTES)


@pytest.mark.parametrize("case", table(), ids=str)
def test_next_start_owes_what_was_accepted_and_runs_nothing_twice(tmp_path: Path, case: Case) -> None:
    world = World()
    write_earlier_log(tmp_path / "state", world)
    log = run_until_kill(case, tmp_path / "state", world)
    complete = log is not None and not log.needs_repair and not case.killed_in_call
    owed = world.accepted - world.ended
    next_log = start_after_kill(tmp_path / "state", tmp_path / "after")
    restored = set(next_log.messages.by_trace_id)
    assert owed <= restored <= world.accepted
    if complete:
        assert restored == owed
    Process(next_log, world).restore()
    assert world.ended == world.accepted
    assert not next_log.needs_repair
    assert at_most_once_messages_run_twice(world) == []
    next_log.close()
    if log is not None:
        log.close()


@pytest.mark.parametrize("case", [case for case in table() if not case.killed_in_call], ids=str)
def test_failed_records_are_written_once_disk_takes_them(tmp_path: Path, case: Case) -> None:
    """The disk takes writes again before the kill: the next start restores exactly what is owed."""
    world = World()
    write_earlier_log(tmp_path / "state", world)
    log = run_until_kill(case, tmp_path / "state", world)
    if log is None:
        return  # the start failed, which the test above covers
    assert log.repair()
    assert not log.needs_repair
    next_log = start_after_kill(tmp_path / "state", tmp_path / "after")
    assert set(next_log.messages.by_trace_id) == world.accepted - world.ended
    next_log.close()
    log.close()


def at_most_once_messages_run_twice(world: World) -> list[str]:
    """Returns the at-most-once messages that were sent again after an attempt that may have run.

    The first attempt of a message whose number is no multiple of 3 is known not to have run.
    """
    twice = []
    for trace_id, runs in world.runs.items():
        number = int(trace_id[1:])
        if trace_id.startswith("u"):
            allowed = FOR_GOOD if trace_id == "u0" else 1
        elif number % 2 == IDEMPOTENT:
            allowed = FOR_GOOD
        else:
            allowed = 1 if number % 3 == 0 else 2
        if runs > allowed:
            twice.append(trace_id)
    return twice
