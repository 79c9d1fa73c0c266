"""The gate of ADR 0122, for a destination or for one route: concurrency limit, reservations, circuit breaker.

| breaker | event | next | effect |
| --- | --- | --- | --- |
| CLOSED | fast success | CLOSED | limit grows by one; after a first decrease, by one per `limit` successes |
| CLOSED | sign of load | CLOSED | limit is halved, rounded down, once per burst |
| CLOSED | sign of load, limit falls to zero | OPEN | first cooldown |
| OPEN | call after cooldown and reservations | HALF_OPEN | the call is the trial request |
| HALF_OPEN | trial request delivered | CLOSED | limit is one |
| HALF_OPEN | sign of load | OPEN | longer cooldown; after a refused connection see `_open` |
| HALF_OPEN | any other outcome | OPEN | no cooldown: the next call is the trial request |
| OPEN | another sender reports the recovery from an outage | CLOSED | limit is one |
"""

from __future__ import annotations

from ashpath.core.gate_state import GateState
from ashpath.core.gossip_messages import EndpointRecovered
from ashpath.core.interface import AttemptOutcome
from ashpath.core.messages import Attempt
from ashpath.core.sender_state import SenderState
from ashpath.core.snapshots import BreakerState
from ashpath.core.statistics import DecayingShare
from ashpath.policy import retry_after, tuning
from ashpath.policy.failure_classification import record_failure
from ashpath.policy.outage import Outage
from ashpath.policy.rate_pacing import RateLimit


class Gate(GateState):
    """Decides when a call may start, and adapts to the outcome of each call."""

    rate_limit: RateLimit
    outage: Outage

    def __init__(self, state: SenderState, destination: int, route: str = "") -> None:
        outage = Outage(state, tuning.RATE_WINDOW)
        errors = DecayingShare(tuning.SMOOTHING_GAIN, state.now)
        super().__init__(state, destination, route, RateLimit(state), outage, errors)

    def opens_at(self, now: int) -> int | None:
        """Returns None if a call may start now, else the time of the next check; 0: at the next outcome."""
        self.expire_reservations(now)
        paused_until = max(self.retry_after_until, self.local_pause_until)
        if now < paused_until:
            return paused_until
        if self.breaker is BreakerState.HALF_OPEN:
            return 0
        if self.breaker is BreakerState.OPEN:
            earliest = max(self.open_until, self.reservations[-1] if self.reservations else 0)
            if now < earliest:
                return earliest
        elif self.in_flight + len(self.reservations) >= min(self.limit, self.state.limit_cap):
            return self.reservations[0] if self.reservations else 0
        if self.outage.is_recovering(now):
            if self.state.handing_over:
                return 0
            recovers_at = self.outage.recovery_bucket.available_at(now, self.allowance(now), 1.0)
            if recovers_at:
                return recovers_at
        return self.rate_limit.available_at(now)

    def lengthen_retry_after(self, until: int, *, outcome_follows: bool) -> None:
        """See `GateState`."""
        retry_after.lengthen(self, until, outcome_follows=outcome_follows)

    def allowance(self, now: int) -> float:
        """Returns the calls per second that a destination may get while it is down or recovering."""
        return self.outage.allowance(now, self.rate_limit.even_split())

    def attempt_started(self, attempt: Attempt) -> None:
        """Counts the call as in flight; the first call after an open breaker is its trial request."""
        super().attempt_started(attempt)
        if self.breaker is BreakerState.OPEN:
            self.breaker = BreakerState.HALF_OPEN
            attempt.is_trial = True

    def apply_outcome(self, attempt: Attempt, outcome: AttemptOutcome, duration: int) -> None:
        """Applies the outcome table of ADR 0122, and its table of trial requests."""
        if outcome is AttemptOutcome.LOCAL_FAULT:
            self._pause_locally()
        else:
            self.local_faults = 0
        if outcome is AttemptOutcome.DELIVERED:
            self._delivered(attempt, duration)
        elif outcome not in tuning.NO_OVERLOAD_SIGNAL:
            self._failed(attempt, outcome, duration)
        elif attempt.is_trial:
            self.breaker = BreakerState.OPEN

    def _pause_locally(self) -> None:
        """Pauses calls after a fault of this machine, at random and longer after each further fault in a row.

        The fault is no evidence against the destination; further calls would fail at the same full table.
        """
        pause = tuning.INITIAL_LOCAL_PAUSE << min(self.local_faults, tuning.MAX_LOCAL_PAUSE_DOUBLINGS)
        self.local_pause_until = self.state.now + int(pause * (0.5 + 0.5 * self.state.random.random()))
        self.local_faults += 1
        if self.local_faults == 1:
            self.report_mode_change("local fault: calls pause")

    def _failed(self, attempt: Attempt, outcome: AttemptOutcome, duration: int) -> None:
        attempt.endpoint.failed(gain=tuning.SMOOTHING_GAIN)
        unrelated_to_load = record_failure(self, attempt, outcome, duration)
        in_burst = attempt.started_at < self.decreased_at
        if attempt.is_trial:
            self.reopened += 1
            self._open(outcome)
        elif self.breaker is BreakerState.CLOSED and not in_burst and not unrelated_to_load:
            self.limit //= 2
            self.fast_successes = 0
            self.never_failed = False
            self.decreased_at = self.state.now
            if not self.limit:
                self._open(outcome)

    def _delivered(self, attempt: Attempt, duration: int) -> None:
        endpoint = attempt.endpoint
        fast = 2 * duration < attempt.timeout
        endpoint.delivered(duration, fast=fast, gain=tuning.SMOOTHING_GAIN)
        if attempt.is_trial and self._trial_ends_unnoticed_outage():
            self.outage.begin(self.state.now)
            self.report_mode_change(f"ailing: {self.outage.failures:.1f} failures, then a success")
        self.outage.succeeded()
        self.error_share.reduce()
        self.rate_limit.increase()
        if self.outage.down:
            self._recovered(endpoint.endpoint_id)
        if attempt.is_trial:
            self._close()
        elif fast and self.breaker is BreakerState.CLOSED:
            self.fast_successes += 1
            may_grow = self.never_failed or self.fast_successes >= self.limit
            if may_grow and self.limit < self.state.limit_cap:
                self.limit += 1
                self.fast_successes = 0

    def _trial_ends_unnoticed_outage(self) -> bool:
        # An outage may end before enough calls have failed in it, as an open breaker lets few through. The
        # destination is in slow start all the same.
        silent_time = self.state.now - self.outage.succeeded_at
        return self.refused and not self.outage.down and silent_time > tuning.OUTAGE_DETECTION_TIME

    def _recovered(self, endpoint_id: str) -> None:
        self.outage.recover()
        allowed = self.allowance(self.state.now)
        self.report_mode_change(f"back: allowed {allowed:.1f}/s of {self.outage.completions.rate():.1f}/s")
        if self.state.settings.gossip_enabled:
            self.state.actions.publish(EndpointRecovered(self.destination, endpoint_id).encode())

    def _open(self, outcome: AttemptOutcome) -> None:
        settings = self.state.settings
        self.breaker = BreakerState.OPEN
        self.limit = 0
        # Where full connection tables are reported apart, a refused connection costs the destination nothing,
        # and a short cooldown finds its recovery sooner.
        free_of_cost = settings.reports_full_connection_table and outcome is AttemptOutcome.CONNECT_FAILED
        self.refused |= free_of_cost
        cooldown = tuning.INITIAL_COOLDOWN << (self.reopened > 0 and not free_of_cost)
        # Staggers the trial requests of all senders by sender number over one more cooldown, so that they do
        # not arrive at a recovered destination together.
        self.open_until = (
            self.state.now + cooldown + cooldown * settings.sender_index // settings.sender_count
        )
        self.report_mode_change(
            f"breaker open {cooldown // 1000} ms: {outcome.value}, reopened {self.reopened}"
        )

    def _close(self) -> None:
        self.breaker = BreakerState.CLOSED
        self.limit = 1
        self.fast_successes = 0
        self.reopened = 0
        self.refused = False
        self.report_mode_change("breaker closed")

    def apply_listed_rate(self, rate: float) -> None:
        """Uses the rate of the endpoint list where responses report none; a `rate` of 0 changes nothing."""
        settings = self.state.settings
        if settings.has_listed_rates and not settings.has_load_reports:
            self.rate_limit.reported_limit = rate or self.rate_limit.reported_limit

    def recovery_reported(self) -> None:
        """Ends the outage, as another sender has delivered a message.

        Otherwise each sender would find the recovery only by a call of its own after a cooldown.
        """
        if self.outage.down:
            # A new bucket starts at a random level: buckets that filled during the outage would overload the
            # destination together.
            self.outage.begin(self.state.now)
            self.outage.recover()
            if self.breaker is BreakerState.OPEN:
                self._close()
