"""The rate limit that acts beside the concurrency limit; rejections and load reports adapt it.

Without load reports, the listed rate or else this sender's own rate replaces the reported limit, and the time
since the latest rejection replaces the reported quota.
"""

from __future__ import annotations

from math import exp

from ashpath.core.interface import LoadReport
from ashpath.core.rate_limit_state import RateLimitState
from ashpath.policy import tuning


class RateLimit(RateLimitState):
    """The calls per second that may pass one gate."""

    __slots__ = ()

    def available_at(self, now: int) -> int | None:
        """Returns None if a call may start now, else the time at which one may, in microseconds."""
        if not self.rate:
            return None
        senders_root = self.state.settings.sender_count**0.5  # all senders send bursts of their own
        burst = tuning.BURST_SECONDS * self.reported_limit * self.remaining_quota / senders_root
        return self.bucket.available_at(now, self.rate, max(1.0, burst))

    def update(self, report: LoadReport) -> None:
        """Adapts the limit to a load report."""
        before = self.reported_limit
        elapsed = self.state.now - self.reported_at
        self.remaining_quota = report.remaining_quota
        self.reported_at = self.state.now
        gain = max(tuning.SMOOTHING_GAIN, 1 - exp(-elapsed / tuning.REPORT_WINDOW)) if before else 1.0
        self.reported_limit += gain * (report.rate_limit - before)
        # The rate keeps its share of the limit: a sender that calls seldom gets a single report of a lower
        # limit and has to follow at once.
        first_rate = max(self.state.initial_rate, self.even_split())
        self._set_rate(self.rate * self.reported_limit / before if self.rate else first_rate)

    def _set_rate(self, rate: float) -> None:
        # A limit that was not reported does not bound the rate.
        maximum = self.reported_limit if self.state.settings.has_load_reports else rate
        self.rate = max(min(rate, maximum), tuning.MIN_EVEN_SPLIT_SHARE * self.even_split())

    def refused_without_report(self, delivery_rate: float) -> None:
        """Notes an OVERLOADED outcome without a load report: no quota is left of the limit.

        If no limit is known, this sender's rate times the number of senders replaces it. `delivery_rate` is
        in deliveries per second.
        """
        self.remaining_quota = 0.0
        self.rejected_at = self.state.now
        own_rate = max(delivery_rate, self.state.initial_rate)
        self.reported_limit = self.reported_limit or own_rate * self.state.settings.sender_count

    def decrease(self, started_at: int, succeeded_at: int) -> None:
        """Decreases the rate after a rejection that the limit explains, once per burst.

        A call that started before the latest decrease belongs to the same burst. `succeeded_at` is the time
        of the latest success, in microseconds.
        """
        state = self.state
        jitter = state.random.random() - 0.5  # calls rejected together would be retried together
        self.bucket.tokens = 0.0 if state.settings.has_load_reports else jitter
        self.bucket.updated_at = state.now
        state.initial_rate = max(
            tuning.MIN_INITIAL_RATE, state.initial_rate * tuning.INITIAL_RATE_DECREASE_FACTOR
        )
        if started_at >= self.decreased_at:
            factor = (
                tuning.RATE_DECREASE_FACTOR
                if succeeded_at >= self.decreased_at
                else tuning.REPEATED_RATE_DECREASE_FACTOR
            )
            maximum = max(state.initial_rate, self.even_split())
            self._set_rate(min(self.rate * factor or tuning.MAX_INITIAL_RATE, maximum))
            self.decreased_at = state.now

    def increase(self) -> None:
        """Increases the rate after a success, by the share of the limit that is left."""
        state = self.state
        has_reports = state.settings.has_load_reports
        if not has_reports:  # estimates the quota by the time since the latest rejection
            self.remaining_quota = 1 - exp((self.rejected_at - state.now) / tuning.REPORT_WINDOW)
        if not self.reported_limit:
            return
        even_split = self.even_split()
        rate = self.rate or max(state.initial_rate, even_split)
        growth = tuning.INITIAL_RATE_INCREASE_FACTOR ** (2 * self.remaining_quota)
        state.initial_rate = min(tuning.MAX_INITIAL_RATE, state.initial_rate * growth)
        max_step = min(
            tuning.MAX_RATE_STEP,
            rate if rate < even_split else tuning.EVEN_SPLIT_STEP_SHARE * even_split,
        )
        rate += max_step * (self.remaining_quota - tuning.TARGET_REMAINING_QUOTA)
        self._set_rate(max(rate, 0.0 if has_reports else state.initial_rate))
