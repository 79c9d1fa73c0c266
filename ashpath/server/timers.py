"""The clocks, and the wakes that the module asked for."""

from __future__ import annotations

import time
from collections.abc import Callable
from heapq import heappop, heappush

import gevent
from gevent.event import Event


def now() -> int:
    """Whole microseconds of a clock that only goes forward."""
    return time.monotonic_ns() // 1000


def wall() -> int:
    """Whole microseconds of the clock on the wall: the only one that outlives the process."""
    return time.time_ns() // 1000


class Timers:
    """Wakes in order of their time; each leaves as it falls due."""

    def __init__(self, due: Callable[[list[str]], None]) -> None:
        self.due, self.heap, self.earlier = due, list[tuple[int, int, str]](), Event()
        self.count = 0  # keeps wakes of one moment in their order

    def add(self, at: int, token: str) -> None:
        self.count += 1
        heappush(self.heap, (at, self.count, token))
        if self.heap[0][1] == self.count:
            self.earlier.set()

    def run(self) -> None:
        while True:
            self.earlier.clear()
            tokens, moment = [], now()
            while self.heap and self.heap[0][0] <= moment:
                tokens.append(heappop(self.heap)[2])
            if tokens:
                self.due(tokens)
                gevent.sleep(0)  # guards the rest against wakes that follow on one another
                continue
            self.earlier.wait((self.heap[0][0] - moment) / 1e6 if self.heap else None)
