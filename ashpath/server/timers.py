"""The sender's clocks, and the timers that its policy schedules.

The policy has no clock: it is handed the time, and asks for timers by a token of its own choice. All that are
due fire together, in the order of their times, those of one time in the order in which they were scheduled.
"""

from __future__ import annotations

import time
from heapq import heappop, heappush
from typing import NamedTuple, Protocol

import gevent
from gevent.event import Event

MICROSECONDS_PER_SECOND = 1_000_000  # in a second


def now() -> int:
    """Whole microseconds of the monotonic clock, which only goes forward."""
    return time.monotonic_ns() // 1000


def wall_clock() -> int:
    """Whole microseconds of the wall clock, which may be stepped: read once, as the offset is settled."""
    return time.time_ns() // 1000


_offset = wall_clock() - now()  # microseconds to stored times; `storage.stored_clock` settles it at the start


def set_stored_time_offset(offset_us: int) -> None:
    """What stored times are counted by from now on. Called once, before any is read."""
    global _offset
    _offset = offset_us


def stored_time() -> int:
    """Whole microseconds of the clock of all times that outlive the process: see `storage.stored_clock`."""
    return now() + _offset


class TimerListener(Protocol):
    """Who is called as timers fall due."""

    def timers_fired(self, tokens: list[str]) -> None:
        """At least one. It may schedule further timers, which fire in a later call."""
        ...


class Timer(NamedTuple):
    """One timer; as tuples they are in the order in which they fire."""

    due_at: int
    """Microseconds of the monotonic clock."""
    sequence: int
    """How many were scheduled up to this one."""
    token: str


class Timers:
    """Timers that are not due yet. Each fires once and is forgotten; none is cancelled."""

    def __init__(self, listener: TimerListener) -> None:
        self.listener = listener
        self.heap: list[Timer] = []  # the earliest first
        self.scheduled = 0  # how many there have been
        self.earlier_scheduled = Event()  # one that is due before all that were waited for

    def add(self, due_at: int, token: str) -> None:
        """`due_at`: microseconds of the monotonic clock; one that has passed fires as soon as `run` does."""
        self.scheduled += 1
        heappush(self.heap, Timer(due_at, self.scheduled, token))
        if self.heap[0].sequence == self.scheduled:
            self.earlier_scheduled.set()

    def run(self) -> None:
        """Never returns."""
        while True:
            self.earlier_scheduled.clear()
            started_at = now()
            tokens = self.take_due(started_at)
            if tokens:
                self.listener.timers_fired(tokens)
                gevent.sleep(0)  # guards the other greenlets against timers that follow on one another
            else:
                self.earlier_scheduled.wait(self.seconds_to_next(started_at))

    def take_due(self, moment: int) -> list[str]:
        """The tokens of all that are due, which leave."""
        tokens = []
        while self.heap and self.heap[0].due_at <= moment:
            tokens.append(heappop(self.heap).token)
        return tokens

    def seconds_to_next(self, moment: int) -> float | None:
        """Until the earliest one; None where there is none."""
        return (self.heap[0].due_at - moment) / MICROSECONDS_PER_SECOND if self.heap else None
