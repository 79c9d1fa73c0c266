"""The rate limit beside the concurrency limit: adapted by refusals and by what responses report of a limit.

Where responses report none, stand-ins act: the listed rate or the own one, and the time since a refusal.
"""

from __future__ import annotations

from math import exp

from ashpath.core.interface import LoadReport
from ashpath.core.rate_limit_state import RateLimitState
from ashpath.policy import tuning


class RateLimit(RateLimitState):
    """The calls a second that one gate lets pass."""

    __slots__ = ()

    def available_at(self, now: int) -> int | None:
        """None if a call may go now, else when one may."""
        if not self.rate:
            return None
        senders_root = self.state.settings.sender_count**0.5  # they have bursts of their own
        burst = tuning.BURST_SECONDS * self.reported * self.remaining_quota / senders_root
        return self.bucket.available_at(now, self.rate, max(1.0, burst))

    def update(self, report: LoadReport) -> None:
        """Follows what a response reported."""
        before = self.reported
        elapsed = self.state.now - self.reported_at
        self.remaining_quota = report.remaining_quota
        self.reported_at = self.state.now
        gain = max(tuning.SMOOTHING_GAIN, 1 - exp(-elapsed / tuning.REPORT_WINDOW)) if before else 1.0
        self.reported += gain * (report.rate_limit - before)
        # The rate is a part of the limit: who calls seldom learns once of a lower one, and follows at once.
        first_rate = max(self.state.initial_rate, self.even_split())
        self._set_rate(self.rate * self.reported / before if self.rate else first_rate)

    def _set_rate(self, rate: float) -> None:
        maximum = self.reported if self.state.settings.has_load_reports else rate  # a stand-in is no bound
        self.rate = max(min(rate, maximum), tuning.MIN_EVEN_SPLIT_SHARE * self.even_split())

    def refused_without_report(self, delivery_rate: float) -> None:
        """Nothing is left, as far as is known, of the listed rate or else of the own one."""
        self.remaining_quota = 0.0
        self.refused_at = self.state.now
        own_rate = max(delivery_rate, self.state.initial_rate)
        self.reported = self.reported or own_rate * self.state.settings.sender_count

    def decrease(self, started_at: int, succeeded_at: int) -> None:
        """A refusal that the limit explains: once per burst, by the start of the call."""
        state = self.state
        jitter = state.random.random() - 0.5  # those refused together would come back together
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
        """A success, by the share of the limit that is left."""
        state = self.state
        has_reports = state.settings.has_load_reports
        if not has_reports:  # as much is left as time has passed since the last refusal
            self.remaining_quota = 1 - exp((self.refused_at - state.now) / tuning.REPORT_WINDOW)
        if not self.reported:
            return
        even_split = self.even_split()
        rate = self.rate or max(state.initial_rate, even_split)
        growth = tuning.INITIAL_RATE_INCREASE_FACTOR ** (2 * self.remaining_quota)
        state.initial_rate = min(tuning.MAX_INITIAL_RATE, state.initial_rate * growth)
        step = min(
            tuning.MAX_RATE_INCREASE,
            rate if rate < even_split else tuning.EVEN_SPLIT_INCREASE_SHARE * even_split,
        )
        rate += step * (self.remaining_quota - tuning.TARGET_REMAINING_QUOTA)
        self._set_rate(max(rate, 0.0 if has_reports else state.initial_rate))
