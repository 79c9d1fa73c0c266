"""The clock of a run in real time: microseconds since its beginning, of the machine's monotonic clock."""

from __future__ import annotations

from time import monotonic_ns


def monotonic_us() -> int:
    """The machine's monotonic clock, which all its processes share."""
    return monotonic_ns() // 1000


class RunClock:
    """Begins as it is made, unless a beginning is given; whoever holds it sees a restart."""

    def __init__(self, began: int | None = None) -> None:
        self.began = monotonic_us() if began is None else began

    def now(self) -> int:
        """Microseconds since the beginning."""
        return monotonic_us() - self.began

    def restart(self) -> None:
        """The run begins now."""
        self.began = monotonic_us()
