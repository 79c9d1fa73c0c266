"""The clock of a simulation and its events: the standard library's heap, by time, then in order of
scheduling."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from ashpath.emulator.errors import SimulationStalledError
from ashpath.emulator.units import SECOND

MOST_EVENTS_OF_ONE_MOMENT = 500_000

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

    def schedule(self, at: int, call: Callable[..., None], *arguments: object) -> None:
        """Calls it at this time, or at once if that has passed."""
        self._scheduled += 1
        heappush(self._heap, (at if at > self.now else self.now, self._scheduled, call, arguments))

    def run(
        self, end: int, last: int, has_open_requests: Callable[[], bool], progress: Progress | None
    ) -> None:
        """Runs to `end`, and on to `last` at most while requests are open.

        Raises SimulationStalledError.
        """
        heap = self._heap
        shown = 0
        in_one_moment = 0
        while heap:
            at, _, call, arguments = heappop(heap)
            if at > last or (at > end and not has_open_requests()):
                return
            in_one_moment = in_one_moment + 1 if at == self.now else 0
            if in_one_moment > MOST_EVENTS_OF_ONE_MOMENT:
                raise SimulationStalledError(at, MOST_EVENTS_OF_ONE_MOMENT)
            self.now = at
            call(*arguments)
            if progress is not None and at - shown > SECOND:
                shown = at
                progress(min(1.0, at / end))
