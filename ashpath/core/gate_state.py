"""The state of a gate and its bookkeeping; the policy's `Gate` decides on it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque

from ashpath.core.interface import AttemptOutcome
from ashpath.core.messages import Attempt
from ashpath.core.outage_state import OutageState
from ashpath.core.rate_limit_state import RateLimitState
from ashpath.core.sender_state import SenderState
from ashpath.core.snapshots import BreakerState, GateSnapshot
from ashpath.core.statistics import DecayingShare


class GateState(ABC):
    """The gate of a destination, or of one route where endpoints are separate routes."""

    def __init__(
        self,
        state: SenderState,
        destination: int,
        route: str,
        rate_limit: RateLimitState,
        outage: OutageState,
        error_share: DecayingShare,
    ) -> None:
        self.state = state
        self.destination = destination
        self.route = route
        """The endpoint; empty: the gate is the destination's."""
        self.rate_limit = rate_limit
        self.outage = outage
        self.limit = 1
        """Calls in flight at once; 0: the breaker is not closed."""
        self.in_flight = 0
        self.fast_successes = 0
        """Since the limit changed."""
        self.never_failed = True
        self.decreased_at = -1
        self.reservations: deque[int] = deque()
        """When the places of timed-out calls are free again, in order; emptied as they pass."""
        self.breaker = BreakerState.CLOSED
        self.reopened = 0
        """Times in a row."""
        self.open_until = 0
        self.retry_after_until = 0
        """The destination asked for nothing before."""
        self.local_faults = 0
        """Faults of this machine, in a row."""
        self.local_pause_until = 0
        """No call goes through before, as this machine has something too little of."""
        self.error_share = error_share
        """Errors and resets, of late answers."""

    @abstractmethod
    def opens_at(self, now: int) -> int | None:
        """None if a call may go now, else the time to check again (0: an outcome will tell)."""

    @abstractmethod
    def apply_outcome(self, attempt: Attempt, outcome: AttemptOutcome, duration: int) -> None:
        """Learns from a call's one outcome."""

    @abstractmethod
    def apply_listed_rate(self, rate: float) -> None:
        """The endpoint list has a rate; 0: none."""

    @abstractmethod
    def recovery_reported(self) -> None:
        """Another sender delivered after an outage."""

    def attempt_started(self, attempt: Attempt) -> None:
        """Takes the call's place and tokens."""
        endpoint = attempt.endpoint
        now = self.state.now
        attempt.expected_fast_successes = endpoint.fast_successes + endpoint.in_flight
        endpoint.call_interval = now - endpoint.last_call_at
        endpoint.last_call_at = now
        endpoint.in_flight += 1
        self.in_flight += 1
        self.state.attempts_in_flight[attempt] = None
        recovery_bucket = self.outage.recovery_bucket
        recovery_bucket.tokens = max(0.0, recovery_bucket.tokens - 1)
        self.rate_limit.bucket.tokens -= 1

    def attempt_ended(self, attempt: Attempt) -> None:
        """Gives the call's place back."""
        self.in_flight -= 1
        attempt.endpoint.in_flight -= 1
        del self.state.attempts_in_flight[attempt]

    def expire_reservations(self, now: int) -> None:
        """Those that are over."""
        reservations = self.reservations
        while reservations and reservations[0] <= now:
            reservations.popleft()

    def inherit_from(self, other: GateState) -> None:
        """Takes over the waits and outage of the gate in whose place this one comes."""
        self.retry_after_until = max(self.retry_after_until, other.retry_after_until)
        outage = self.outage
        outage.down = outage.down or other.outage.down
        outage.recovering_since = max(outage.recovering_since, other.outage.recovering_since)

    def report_mode_change(self, text: str) -> None:
        """Reports a change of mode."""
        place = f"route {self.route}" if self.route else f"destination {self.destination}"
        rate = self.outage.completions.rate()
        self.state.actions.mode_changed(
            f"{place} {text}", self.destination, self.route, self.outage.down, rate
        )

    def snapshot(self) -> GateSnapshot:
        """How it stands."""
        return GateSnapshot(
            route=self.route,
            concurrency_limit=self.limit,
            in_flight=self.in_flight,
            breaker=self.breaker,
            rate_limit=self.rate_limit.rate,
            delivery_rate=self.outage.completions.rate(),
            down=self.outage.down,
            retry_after_until=self.retry_after_until,
        )
