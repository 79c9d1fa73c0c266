"""The clock of a run in real time: microseconds of the monotonic clock since the start of the run."""

from __future__ import annotations

from time import monotonic_ns


def monotonic_us() -> int:
    """Returns microseconds of the monotonic clock, which all processes of the machine share."""
    return monotonic_ns() // 1000


class RunClock:
    """Starts at construction, or at `began` in microseconds of the monotonic clock.

    All parts of a run share one instance, so that a restart applies to all of them.
    """

    def __init__(self, began: int | None = None) -> None:
        self.began = monotonic_us() if began is None else began

    def now(self) -> int:
        """Returns the microseconds since the start."""
        return monotonic_us() - self.began

    def restart(self) -> None:
        """Sets the start to the current time."""
        self.began = monotonic_us()
