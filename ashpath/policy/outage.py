"""Outage detection, and the slow start after one; `OutageState` has the table of states."""

from __future__ import annotations

from ashpath.core.messages import LONG_AGO
from ashpath.core.outage_state import OutageState
from ashpath.core.statistics import SECOND, EventRate
from ashpath.core.token_bucket import TokenBucket
from ashpath.policy import tuning


class Outage(OutageState):
    """Whether the destination behind a gate is down, and what it may be sent as it comes back."""

    __slots__ = ()

    def begin(self, starts_at: int) -> None:
        """Down. At random, as many senders that all start at one call each would overload it."""
        self.down = True
        self.recovery_bucket = TokenBucket(starts_at, self.state.random.random())

    def restore(self, rate: float) -> None:
        """Down since a previous incarnation, with that rate before; at random, as all may have restarted."""
        self.begin(self.state.now)
        total = rate * tuning.RATE_WINDOW / SECOND
        self.completions = EventRate(tuning.RATE_WINDOW, LONG_AGO, self.state.now, total)

    def is_failure_run(self, *, ambiguous: bool, min_failures: float) -> bool:
        """Whether the failures in a row make an outage, for one who calls as often as this sender does."""
        rate = self.completions.uncorrected_rate() if ambiguous else self.completions.rate()
        required = min(tuning.OUTAGE_FAILURES, max(min_failures, tuning.OUTAGE_FAILURES * rate))
        return self.failures >= required and self.state.now - self.succeeded_at > tuning.OUTAGE_DETECTION_TIME

    def allowance(self, now: int, even_split: float) -> float:
        """Calls a second for a destination that is just back, or about to be."""
        settings = self.state.settings
        warm_up_progress = (
            0.0 if self.down else min(1.0, (now - self.recovering_since) / max(1, settings.warm_up_time))
        )
        initial_share = settings.initial_capacity_share
        capacity_share = max(
            tuning.SMOOTHING_GAIN / 2, initial_share + (1 - initial_share) * warm_up_progress
        )  # 0 would find no return
        expected_rate = self._expected_rate(even_split)
        return (
            tuning.SAFETY_FACTOR * (settings.overload_multiple or SECOND) * capacity_share * expected_rate
        )  # 0: no bound

    def _expected_rate(self, even_split: float) -> float:
        settings = self.state.settings
        min_rate = tuning.MIN_EXPECTED_RATE
        if not settings.has_load_reports:
            mean_submissions = self.state.submissions.rate() / max(1, len(self.state.destinations))
            min_rate = min(min_rate, max(tuning.MIN_INITIAL_RATE, mean_submissions))
        # What only stands in for a report says nothing here, unless it is listed.
        reported = even_split * (
            settings.has_load_reports or tuning.LISTED_RATE_SHARE * settings.has_listed_rates
        )
        if reported and not settings.has_load_reports:
            return reported  # all guesses would sum up to too much
        submitted = tuning.NEW_SUBMISSION_SHARE * self.submissions.rate()
        return max(self.completions.rate(), submitted, min_rate, reported)
