"""The gate of ADR 0122, for a destination or for one route: concurrency limit, reservations, circuit breaker.

| breaker | event | next | effect |
| --- | --- | --- | --- |
| CLOSED | fast success | CLOSED | limit grows: by one until the first failure, then per as many as it is |
| CLOSED | sign of load | CLOSED | limit halves, once per burst, rounded down |
| CLOSED | sign of load, limit at zero | OPEN | first cooldown |
| OPEN | cooldown and reservations over, a call | HALF_OPEN | that call is the trial request |
| HALF_OPEN | trial delivered | CLOSED | limit is one |
| HALF_OPEN | sign of load | OPEN | longer cooldown |
| HALF_OPEN | neither | OPEN | no cooldown: the next waiter is the trial |
| OPEN | word of a return, while down | CLOSED | limit is one |
"""

from __future__ import annotations

from ashpath.core.gate_state import GateState
from ashpath.core.gossip_messages import EndpointRecovered
from ashpath.core.interface import AttemptOutcome
from ashpath.core.messages import Attempt
from ashpath.core.sender_state import SenderState
from ashpath.core.snapshots import BreakerState
from ashpath.core.statistics import DecayingShare
from ashpath.policy import tuning
from ashpath.policy.judgement import record_failure
from ashpath.policy.outage import Outage
from ashpath.policy.rate_pacing import RateLimit


class Gate(GateState):
    """Decides when a call may go, and learns from each call's one outcome."""

    rate_limit: RateLimit
    outage: Outage

    def __init__(self, state: SenderState, destination: int, route: str = "") -> None:
        outage = Outage(state, tuning.RATE_WINDOW)
        errors = DecayingShare(tuning.SMOOTHING_GAIN, state.now)
        super().__init__(state, destination, route, RateLimit(state), outage, errors)

    def opens_at(self, now: int) -> int | None:
        """None if a call may go now, else the time to check again (0: an outcome will tell)."""
        self.drop_reservations(now)
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
            recovers_at = self.outage.recovery_bucket.available_at(now, self.allowance(now), 1.0)
            if recovers_at:
                return recovers_at
        return self.rate_limit.available_at(now)

    def allowance(self, now: int) -> float:
        """Calls a second if it is down or recovering."""
        return self.outage.allowance(now, self.rate_limit.even_split())

    def attempt_started(self, attempt: Attempt) -> None:
        """Takes the call's place; the first one past an open breaker is its trial request."""
        super().attempt_started(attempt)
        if self.breaker is BreakerState.OPEN:
            self.breaker = BreakerState.HALF_OPEN
            attempt.is_trial = True

    def apply_outcome(self, attempt: Attempt, outcome: AttemptOutcome, duration: int) -> None:
        """The outcome table of ADR 0122, and its table of trial requests."""
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
        """This machine is to blame: no evidence against the destination, and no reason to hammer a table."""
        pause = tuning.INITIAL_LOCAL_PAUSE << min(self.local_faults, tuning.MAX_LOCAL_PAUSE_DOUBLINGS)
        self.local_pause_until = self.state.now + int(pause * (0.5 + 0.5 * self.state.random.random()))
        self.local_faults += 1
        if self.local_faults == 1:
            self.log("local fault: calls pause")

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
        self.outage.succeeded()
        self.errors.reduce()
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

    def _recovered(self, endpoint_id: str) -> None:
        self.outage.recover()
        allowed = self.allowance(self.state.now)
        self.log(f"back: allowed {allowed:.1f}/s of {self.outage.completions.rate():.1f}/s")
        if self.state.settings.gossip_enabled:
            self.state.actions.publish(EndpointRecovered(self.destination, endpoint_id).encode())

    def _open(self, outcome: AttemptOutcome) -> None:
        settings = self.state.settings
        self.breaker = BreakerState.OPEN
        self.limit = 0
        # A refused connection costs nothing where a full table is reported, and finds a return.
        free_of_cost = settings.reports_full_connection_table and outcome is AttemptOutcome.CONNECT_FAILED
        cooldown = tuning.INITIAL_COOLDOWN << (self.reopened > 0 and not free_of_cost)
        # Senders take turns by number at a destination just back, all within one more pause.
        self.open_until = (
            self.state.now + cooldown + cooldown * settings.sender_index // settings.sender_count
        )
        self.log(f"breaker open {cooldown // 1000} ms: {outcome.value}, reopened {self.reopened}")

    def _close(self) -> None:
        self.breaker = BreakerState.CLOSED
        self.limit = 1
        self.fast_successes = 0
        self.reopened = 0
        self.log("breaker closed")

    def apply_listed_rate(self, rate: float) -> None:
        """The listed rate stands in where responses report none."""
        settings = self.state.settings
        if settings.has_listed_rates and not settings.has_load_reports:
            self.rate_limit.reported = rate or self.rate_limit.reported

    def recovery_reported(self) -> None:
        """Another sender delivered after an outage: else each finds it at a call and a pause."""
        if self.outage.down:  # at random again: buckets that filled meanwhile would overload it together
            self.outage.begin(self.state.now)
            self.outage.recover()
            if self.breaker is BreakerState.OPEN:
                self._close()
