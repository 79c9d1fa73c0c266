"""The clock of a simulation and its events: the standard library's heap, by time, then in order of
scheduling."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from ashpath.emulator.errors import SimulationStalledError
from ashpath.emulator.units import SECOND

MAX_EVENTS_AT_ONE_TIME = 500_000

Progress = Callable[[float], None]
"""Called with the share of the run that has passed."""

# A plain tuple, as the heap compares two of them without a call into Python: by time, then by number.
_Event = tuple[int, int, Callable[..., None], tuple[object, ...]]


class EventQueue:
    """Events to come; `now` is the time of the one that is carried out, in microseconds."""

    def __init__(self) -> None:
        self.now = 0
        self._heap: list[_Event] = []
        self._scheduled = 0

    def schedule(self, at: int, callback: Callable[..., None], *arguments: object) -> None:
        """Calls it at this time, or at once if that has passed."""
        self._scheduled += 1
        heappush(self._heap, (at if at > self.now else self.now, self._scheduled, callback, arguments))

    def run(
        self, end: int, latest_end: int, has_open_requests: Callable[[], bool], progress: Progress | None
    ) -> None:
        """Runs to `end`, and on to `latest_end` at most while requests are open.

        Raises SimulationStalledError.
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
