"""The rate limit of a destination: a token bucket, or a count of calls in fixed or sliding windows."""

from __future__ import annotations

from collections import deque
from random import Random

from ashpath.core.time_units import SECOND
from ashpath.emulator.destination.faults import ActiveFaults
from ashpath.emulator.destination.properties import DestinationProperties


class DestinationRateLimit:
    """The state of one rate limit.

    Its memory grows with the calls of one window and, if responses carry load reports, with the calls within
    `report_age`.
    """

    def __init__(self, properties: DestinationProperties, faults: ActiveFaults, random: Random) -> None:
        self.properties = properties
        self.faults = faults
        self.random = random
        self.tokens = max(1.0, properties.burst_s * properties.rate_limit)
        self.refilled_at = 0
        self.window_started_at = 0
        self.window_calls: deque[int] = deque()  # arrival times of the calls in the current window
        self.quota_history: deque[tuple[int, float]] = deque()  # (time, remaining quota), for delayed reports

    @property
    def current_rate(self) -> float:
        """The rate limit in calls per second, with the active faults applied."""
        return self.properties.rate_limit * self.faults.rate_limit_factor

    def admit(self, now: int) -> bool:
        """Counts a call and returns whether it is within the limit."""
        return self._admit_in_window(now) if self.properties.rate_window else self._admit_by_token(now)

    def _admit_by_token(self, now: int) -> bool:
        rate = self.current_rate
        capacity = max(1.0, self.properties.burst_s * rate)
        self.tokens = min(capacity, self.tokens + (now - self.refilled_at) * rate / SECOND)
        self.refilled_at = now
        admitted = self.tokens >= 1
        if admitted or self.properties.counts_rejected_calls:
            self.tokens = max(-capacity, self.tokens - 1)
        self._record_quota(now, max(0.0, self.tokens / capacity))
        return admitted

    def _admit_in_window(self, now: int) -> bool:
        properties = self.properties
        capacity = max(1.0, self.current_rate * properties.rate_window / SECOND)
        if properties.rate_window_slides:
            while self.window_calls and self.window_calls[0] <= now - properties.rate_window:
                self.window_calls.popleft()
        elif now >= self.window_started_at + properties.rate_window:
            self.window_started_at = now - now % properties.rate_window
            self.window_calls.clear()
        admitted = len(self.window_calls) < capacity
        if admitted or properties.counts_rejected_calls:
            self.window_calls.append(now)
        self._record_quota(now, max(0.0, 1 - len(self.window_calls) / capacity))
        return admitted

    def available(self, now: int) -> float:
        """Returns the number of calls that would be admitted now, without counting any.

        Only the oracle baseline may call this: a real sender cannot see the value.
        """
        properties = self.properties
        rate = self.current_rate
        if not properties.rate_limit:
            return float("inf")
        if not properties.rate_window:
            available_tokens = self.tokens + (now - self.refilled_at) * rate / SECOND
            return min(max(1.0, properties.burst_s * rate), available_tokens)
        capacity = max(1.0, rate * properties.rate_window / SECOND)
        if properties.rate_window_slides:
            return capacity - sum(
                1 for arrived_at in self.window_calls if arrived_at > now - properties.rate_window
            )
        return capacity - (
            0 if now >= self.window_started_at + properties.rate_window else len(self.window_calls)
        )

    def retry_after(self, now: int) -> int:
        """Returns the Retry-After of a call above the limit in microseconds, or 0 for none."""
        properties = self.properties
        if properties.retry_after_share < 1 and self.random.random() >= properties.retry_after_share:
            return 0
        if not (properties.retry_after_until_quota and properties.rate_window and self.window_calls):
            return properties.retry_after
        oldest = self.window_calls[0] if properties.rate_window_slides else self.window_started_at
        return max(0, oldest + properties.rate_window - now)

    def _record_quota(self, now: int, remaining: float) -> None:
        if self.properties.sends_load_reports:
            self.quota_history.append((now, remaining))
            while (
                len(self.quota_history) > 1 and self.quota_history[1][0] <= now - self.properties.report_age
            ):
                self.quota_history.popleft()

    def report(self) -> tuple[float, float] | None:
        """Returns the remaining quota as a fraction of 1 and the rate in calls per second, both with noise.

        Returns None if the destination sends no load reports.
        """
        properties = self.properties
        if not (properties.sends_load_reports and properties.rate_limit and self.quota_history):
            return None
        noise = self.random.gauss(1, properties.report_noise) if properties.report_noise else 1.0
        remaining = min(1.0, max(0.0, self.quota_history[0][1] * noise))
        return remaining, max(0.001, self.current_rate * (2 - noise))
