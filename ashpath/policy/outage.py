"""Outage detection, and slow start after an outage; `OutageState` has the table of states."""

from __future__ import annotations

from ashpath.core.messages import DISTANT_PAST_US
from ashpath.core.outage_state import OutageState
from ashpath.core.statistics import EventRate
from ashpath.core.time_units import SECOND
from ashpath.core.token_bucket import TokenBucket
from ashpath.policy import tuning


class Outage(OutageState):
    """Detects the outages of one gate, and limits the calls during the recovery."""

    __slots__ = ()

    def begin(self, starts_at: int) -> None:
        """Marks the destination as down; the recovery bucket refills from `starts_at` on, in microseconds.

        The bucket starts at a random level: many senders that all begin with one call would overload the
        destination.
        """
        self.down = True
        self.recovery_bucket = TokenBucket(starts_at, self.state.random.random())

    def restore(self, rate: float) -> None:
        """Marks the destination as down since a previous incarnation; `rate` was in deliveries per second.

        The recovery bucket starts at a random level, as all senders may have restarted.
        """
        self.begin(self.state.now)
        total = rate * tuning.RATE_WINDOW / SECOND
        self.completions = EventRate(tuning.RATE_WINDOW, DISTANT_PAST_US, self.state.now, total)

    def is_failure_run(self, *, ambiguous: bool, min_failures: float) -> bool:
        """Returns whether the consecutive failures make an outage, given this sender's rate of deliveries.

        Fewer failures suffice at a rate below one per second, but at least `min_failures`.
        """
        rate = self.completions.uncorrected_rate() if ambiguous else self.completions.rate()
        required = min(tuning.OUTAGE_FAILURES, max(min_failures, tuning.OUTAGE_FAILURES * rate))
        return self.failures >= required and self.state.now - self.succeeded_at > tuning.OUTAGE_DETECTION_TIME

    def allowance(self, now: int, even_split: float) -> float:
        """Returns the calls per second that a destination may get while it is down or recovering.

        `even_split` is this sender's even part of the destination's rate limit, in calls per second.
        """
        settings = self.state.settings
        warm_up_progress = (
            0.0 if self.down else min(1.0, (now - self.recovering_since) / max(1, settings.warm_up_time))
        )
        initial_share = settings.initial_capacity_share
        # A share of 0 would let no call through that could find the recovery.
        capacity_share = max(
            tuning.SMOOTHING_GAIN / 2, initial_share + (1 - initial_share) * warm_up_progress
        )
        expected_rate = self._expected_rate(even_split)
        overload_multiple = settings.overload_multiple or tuning.UNBOUNDED_OVERLOAD_MULTIPLE
        return tuning.SAFETY_FACTOR * overload_multiple * capacity_share * expected_rate

    def _expected_rate(self, even_split: float) -> float:
        # Returns this sender's expected calls per second at the destination once it has warmed up.
        settings = self.state.settings
        min_rate = tuning.MIN_EXPECTED_RATE
        if not settings.has_load_reports:
            mean_submissions = self.state.submissions.rate() / max(1, len(self.state.destinations))
            min_rate = min(min_rate, max(tuning.MIN_INITIAL_RATE, mean_submissions))
        # The even split counts only if the limit was reported or listed, not if it is derived from this
        # sender's own rate.
        reported = even_split * (
            settings.has_load_reports or tuning.LISTED_RATE_SHARE * settings.has_listed_rates
        )
        if reported and not settings.has_load_reports:
            return reported  # the larger estimates of all senders would exceed the capacity in sum
        submitted = tuning.NEW_SUBMISSION_SHARE * self.submissions.rate()
        return max(self.completions.rate(), submitted, min_rate, reported)
