"""The sender's clocks, and the timers that its policy schedules.

The policy has no clock: it receives the time with each batch, and schedules timers under tokens that it
chooses. All due timers fire together, ordered by time; timers of the same time fire in the order in which
they were scheduled.
"""

from __future__ import annotations

import time
from heapq import heappop, heappush
from typing import NamedTuple, Protocol

import gevent
from gevent.event import Event

from ashpath.core.time_units import SECOND


def now() -> int:
    """Returns whole microseconds of the monotonic clock."""
    return time.monotonic_ns() // 1000


def wall_clock() -> int:
    """Returns whole microseconds of the wall clock. Read only to determine the offset of stored times, as the
    wall clock may be stepped."""
    return time.time_ns() // 1000


# Microseconds from the monotonic clock to stored times. `storage.stored_clock` sets the offset at the start.
_offset = wall_clock() - now()


def set_stored_time_offset(offset_us: int) -> None:
    """Sets the offset of stored times, in microseconds. Called once, before any stored time is read."""
    global _offset
    _offset = offset_us


def stored_time() -> int:
    """Returns whole microseconds of the clock for times that outlive the process: see
    `storage.stored_clock`."""
    return now() + _offset


class TimerListener(Protocol):
    """Is called when timers are due."""

    def timers_fired(self, tokens: list[str]) -> None:
        """Takes the tokens of the due timers, at least one. May schedule further timers, which fire in a
        later call."""
        ...


class Timer(NamedTuple):
    """One timer. The order of timers as tuples is the order in which they fire."""

    due_at: int
    """In microseconds of the monotonic clock."""
    sequence: int
    """The number of timers scheduled so far, including this one."""
    token: str


class Timers:
    """The pending timers. Each fires once and is then removed; none is cancelled."""

    def __init__(self, listener: TimerListener) -> None:
        self.listener = listener
        self.heap: list[Timer] = []  # earliest first
        self.scheduled = 0  # timers scheduled so far
        self.earlier_scheduled = Event()  # set if a new timer is due before all others

    def add(self, due_at: int, token: str) -> None:
        """Schedules a timer for `due_at`, in microseconds of the monotonic clock. A time in the past fires as
        soon as `run` gets to it."""
        self.scheduled += 1
        heappush(self.heap, Timer(due_at, self.scheduled, token))
        if self.heap[0].sequence == self.scheduled:
            self.earlier_scheduled.set()

    def run(self) -> None:
        """Fires due timers. Never returns."""
        while True:
            self.earlier_scheduled.clear()
            started_at = now()
            tokens = self.take_due(started_at)
            if tokens:
                self.listener.timers_fired(tokens)
                gevent.sleep(0)  # lets other greenlets run even if timers are due one right after another
            else:
                self.earlier_scheduled.wait(self.seconds_to_next(started_at))

    def take_due(self, moment: int) -> list[str]:
        """Removes the due timers, and returns their tokens."""
        tokens = []
        while self.heap and self.heap[0].due_at <= moment:
            tokens.append(heappop(self.heap).token)
        return tokens

    def seconds_to_next(self, moment: int) -> float | None:
        """Returns the seconds until the earliest timer, or None if no timer is pending."""
        return (self.heap[0].due_at - moment) / SECOND if self.heap else None
