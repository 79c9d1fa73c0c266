"""The clock and the event queue of a simulation.

The queue is a heap of the standard library, ordered by time, then by the order of scheduling.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from ashpath.core.time_units import SECOND
from ashpath.emulator.errors import SimulationStalledError

MAX_EVENTS_AT_ONE_TIME = 500_000

Progress = Callable[[float], None]
"""Callback that receives the elapsed share of the run, from 0 to 1."""

# The heap compares plain tuples by time, then by number, without calling Python code.
_Event = tuple[int, int, Callable[..., None], tuple[object, ...]]


class EventQueue:
    """Future events. `now` is the time of the event being processed, in microseconds."""

    def __init__(self) -> None:
        self.now = 0
        self._heap: list[_Event] = []
        self._scheduled = 0

    def schedule(self, at: int, callback: Callable[..., None], *arguments: object) -> None:
        """Schedules a callback for time `at`, or for the current time if `at` has passed."""
        self._scheduled += 1
        heappush(self._heap, (at if at > self.now else self.now, self._scheduled, callback, arguments))

    def run(
        self, end: int, latest_end: int, has_open_requests: Callable[[], bool], progress: Progress | None
    ) -> None:
        """Processes events up to `end`, and up to `latest_end` while requests are open.

        Raises SimulationStalledError if more than MAX_EVENTS_AT_ONE_TIME events follow without the clock
        advancing.
        """
        heap = self._heap
        last_progress_at = 0
        events_at_this_time = 0
        while heap:
            at, _, callback, arguments = heappop(heap)
            if at > latest_end or (at > end and not has_open_requests()):
                return
            events_at_this_time = events_at_this_time + 1 if at == self.now else 0
            if events_at_this_time > MAX_EVENTS_AT_ONE_TIME:
                raise SimulationStalledError(at, MAX_EVENTS_AT_ONE_TIME)
            self.now = at
            callback(*arguments)
            if progress is not None and at - last_progress_at > SECOND:
                last_progress_at = at
                progress(min(1.0, at / end))
