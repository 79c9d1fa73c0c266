"""The schedule of system calls that fail in a process, encoded as JSON. The module does no I/O itself.

| field of a fault | meaning |
| --- | --- |
| `call` | the call that fails, see `FaultyCall` |
| `error` | the errno's name, or `short`: one byte less than half is sent or received, or half is written |
| `begin_s`, `end_s` | the interval in which calls fail, in seconds since the start of the process |
| `skip`, `count` | of those calls, `skip` succeed first and the next `count` fail; a count of 0 fails all |

A `ClockStep` sets the wall clock `step_s` ahead from `begin_s` on.
"""

from __future__ import annotations

import errno
from enum import Enum
from random import Random

import msgspec
from msgspec import Struct

SHORT = "short"


class FaultyCall(Enum):
    """The calls that can be made to fail; the schedule contains the value."""

    ACCEPT = "accept"
    SOCKET = "socket"
    CONNECT = "connect"
    RECEIVE = "receive"
    SEND = "send"
    WRITE = "write"
    TRUNCATE = "truncate"
    SYNC = "sync"
    RENAME = "rename"
    OPEN = "open"


class CallFault(Struct, frozen=True):
    """A series of failing calls."""

    call: FaultyCall
    error: str
    begin_s: float = 0.0
    end_s: float = 1e9
    skip: int = 0
    count: int = 0


class ClockStep(Struct, frozen=True):
    """One step of the wall clock."""

    begin_s: float
    step_s: float


class ProcessFaults(Struct, frozen=True):
    """All faults of one process."""

    calls: tuple[CallFault, ...] = ()
    clock: tuple[ClockStep, ...] = ()

    def encode(self) -> bytes:
        """Returns the schedule in JSON, as the launcher reads it."""
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> ProcessFaults:
        """Reads a schedule in JSON. Raises msgspec.ValidationError and msgspec.DecodeError."""
        return msgspec.json.decode(data, type=cls)

    def clock_offset_s(self, elapsed_s: float) -> float:
        """Returns the seconds by which the wall clock is ahead of the true time."""
        return sum(step.step_s for step in self.clock if elapsed_s >= step.begin_s)


class FaultCounter:
    """Decides for each call in turn whether the call fails, and counts the injected faults."""

    def __init__(self, faults: ProcessFaults) -> None:
        self.faults = faults
        self.matching_calls = [0] * len(faults.calls)  # by fault: calls within its interval
        self.injected: dict[str, int] = {}  # by call and error

    def next_error(self, call: FaultyCall, elapsed_s: float) -> str | None:
        """Returns the name of the error with which the call fails, or None if the call succeeds."""
        for number, fault in enumerate(self.faults.calls):
            if fault.call is not call or not fault.begin_s <= elapsed_s < fault.end_s:
                continue
            self.matching_calls[number] += 1
            failed_before = self.matching_calls[number] - 1 - fault.skip
            if failed_before < 0 or (fault.count and failed_before >= fault.count):
                continue
            key = f"{call.value} {fault.error}"
            self.injected[key] = self.injected.get(key, 0) + 1
            return fault.error
        return None


def os_error(name: str) -> OSError:
    """Returns the exception that a system call raises for an errno's name."""
    number = getattr(errno, name)
    return OSError(number, f"injected {name}")


LOCAL_NETWORK_FAULTS = (
    (FaultyCall.ACCEPT, ("ECONNABORTED", "ENFILE", "ENOBUFS", "EMFILE")),
    (FaultyCall.SOCKET, ("ENFILE", "EMFILE", "ENOBUFS")),
    (FaultyCall.CONNECT, ("ENOBUFS", "EADDRNOTAVAIL", "ENETUNREACH", "EAGAIN")),
    (FaultyCall.RECEIVE, (SHORT, "ETIMEDOUT", "EHOSTUNREACH")),
    (FaultyCall.SEND, (SHORT,)),
)
DISK_FAULTS = (
    (FaultyCall.WRITE, ("ENOSPC", "EIO", SHORT)),
    (FaultyCall.TRUNCATE, ("EIO",)),
    (FaultyCall.RENAME, ("EIO",)),
    (FaultyCall.OPEN, ("ENOSPC",)),
)


def draw_faults(random: Random, duration_s: float) -> ProcessFaults:
    """Draws the faults of one process: short series of failing network calls, a period of a failing disk, and
    a step of the clock, each with some probability."""
    calls = []
    for call, errors in LOCAL_NETWORK_FAULTS:
        if random.random() < 0.5:
            begin_s = random.uniform(0.5, duration_s)
            error = random.choice(errors)
            calls.append(CallFault(call, error, begin_s, begin_s + random.uniform(0.1, 1.0), count=20))
    if random.random() < 0.5:
        begin_s = random.uniform(0.5, duration_s)
        end_s = begin_s + random.uniform(0.2, 1.5)
        for call, errors in DISK_FAULTS:
            if random.random() < 0.7:
                calls.append(CallFault(call, random.choice(errors), begin_s, end_s))
    steps: tuple[ClockStep, ...] = ()
    if random.random() < 0.5:
        step_s = random.choice((-3600.0, -5.0, 5.0, 3600.0))
        steps = (ClockStep(random.uniform(0.0, duration_s), step_s),)
    return ProcessFaults(tuple(calls), steps)
