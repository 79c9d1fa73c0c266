"""Statistics of streams of measurements. The policy supplies their constants."""

from __future__ import annotations

from math import exp

from msgspec import Struct

from ashpath.core.time_units import SECOND


class RunningStatistics(Struct, eq=False):
    """Mean and mean absolute deviation: arithmetic for the first values, then exponentially smoothed."""

    min_gain: float
    """The minimum weight of a new value; the n-th value has weight 1/n if that is larger."""
    count: int = 0
    mean: float = 0.0
    deviation: float = 0.0

    def add(self, value: float) -> None:
        """Adds one measurement."""
        self.count += 1
        gain = max(self.min_gain, 1 / self.count)
        error = value - self.mean
        self.mean += gain * error
        self.deviation += gain * (abs(error) - self.deviation)


class EventRate(Struct, eq=False):
    """Events per second, over about `window_us`, or since `started_at` if that is more recent.

    An event has weight exp(-age / window). Division by the elapsed part of the window makes the mean unbiased
    from the first event on. Times are microseconds.
    """

    window_us: int
    started_at: int
    updated_at: int = 0
    total: float = 0.0

    def add(self, now: int, weight: float = 1.0) -> None:
        """Counts one event, or a fraction of one."""
        self.total = self.total * exp((self.updated_at - now) / self.window_us) + weight
        self.updated_at = now

    def skip(self, now: int) -> None:
        """Excludes the time since the latest event from the window."""
        self.started_at += now - self.updated_at
        self.updated_at = now

    def rate(self) -> float:
        """Returns events per second as of the latest event."""
        age = max(SECOND, self.updated_at - self.started_at)
        return self.total * SECOND / self.window_us / (1 - exp(-age / self.window_us))

    def uncorrected_rate(self) -> float:
        """Returns `rate` without the correction for a short observation time: too low at first."""
        return self.total * SECOND / self.window_us


class DecayingShare(Struct, eq=False):
    """The exponentially smoothed share of counted events among all events, which also decays over time."""

    gain: float
    """The weight of one event; each second since the latest `add` multiplies the share by 1 - gain / 2."""
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
        """Lowers the share by an event that is not counted."""
        self.share -= self.gain * self.share
