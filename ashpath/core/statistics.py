"""Running figures of a stream of measurements. Their constants are handed in by the policy."""

from __future__ import annotations

from math import exp

from msgspec import Struct

SECOND = 1_000_000


class RunningStatistics(Struct, eq=False):
    """Mean and mean absolute deviation, by exponential smoothing after a plain mean of the first values."""

    min_gain: float
    """The least weight of a new value; the first ones weigh one part in as many as there were."""
    count: int = 0
    mean: float = 0.0
    deviation: float = 0.0

    def add(self, value: float) -> None:
        """Takes in one measurement."""
        self.count += 1
        gain = max(self.min_gain, 1 / self.count)
        error = value - self.mean
        self.mean += gain * error
        self.deviation += gain * (abs(error) - self.deviation)


class EventRate(Struct, eq=False):
    """Events a second, over about `window_us`, or since `started_at` where that is shorter.

    Each event counts less the older it is, by exp(-age / window). Dividing by the part of the window that has
    been makes the mean unbiased from the first event on. Times are microseconds.
    """

    window_us: int
    started_at: int
    updated_at: int = 0
    total: float = 0.0

    def add(self, now: int, weight: float = 1.0) -> None:
        """Counts one event, or a part of one."""
        self.total = self.total * exp((self.updated_at - now) / self.window_us) + weight
        self.updated_at = now

    def skip(self, now: int) -> None:
        """The time since the latest event does not count: the clock stands still meanwhile."""
        self.started_at += now - self.updated_at
        self.updated_at = now

    def rate(self) -> float:
        """Events a second, as of the latest one."""
        age = max(SECOND, self.updated_at - self.started_at)
        return self.total * SECOND / self.window_us / (1 - exp(-age / self.window_us))

    def uncorrected_rate(self) -> float:
        """The same without the correction for a short life: too low at first."""
        return self.total * SECOND / self.window_us


class DecayingShare(Struct, eq=False):
    """The share of late events that were counted; each second without one leaves a little less of it."""

    gain: float
    """Weight of one event; a second takes off half of it."""
    updated_at: int
    share: float = 0.0

    def add(self, now: int) -> float:
        """Counts an event; returns the share."""
        elapsed = now - self.updated_at
        decayed = self.share * (1 - self.gain / 2) ** (elapsed / SECOND)
        self.share = decayed + self.gain * (1 - decayed)
        self.updated_at = now
        return self.share

    def reduce(self) -> None:
        """An event of the other kind."""
        self.share -= self.gain * self.share
