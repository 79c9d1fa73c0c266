"""The state of a gate, and its updates; the policy's `Gate` makes the decisions."""

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
    """The gate of a destination, or of one route if endpoints are separate routes."""

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
        """The endpoint id; empty: the gate belongs to the entire destination."""
        self.rate_limit = rate_limit
        self.outage = outage
        self.limit = 1
        """The concurrency limit; 0 while the circuit breaker is not closed."""
        self.in_flight = 0
        self.fast_successes = 0
        """Fast successes since the last change of `limit`."""
        self.never_failed = True
        self.decreased_at = -1
        self.reservations: deque[int] = deque()
        """Expiry times of the places reserved for timed-out calls, in order; expired ones are removed."""
        self.breaker = BreakerState.CLOSED
        self.reopened = 0
        """The number of consecutive failed trial requests."""
        self.refused = False
        """Whether a refused connection, which means that the endpoint is down, opened the circuit breaker."""
        self.open_until = 0
        self.retry_after_until = 0
        """The latest end of any Retry-After received."""
        self.local_faults = 0
        """Consecutive local faults."""
        self.local_pause_until = 0
        """The end of the pause after a local fault, such as a lack of file descriptors."""
        self.error_share = error_share
        """The share of errors and connection resets among recent outcomes."""

    @abstractmethod
    def opens_at(self, now: int) -> int | None:
        """Returns None if a call may start now, else the time to check again (0: after the next outcome)."""

    @abstractmethod
    def apply_outcome(self, attempt: Attempt, outcome: AttemptOutcome, duration: int) -> None:
        """Updates the gate with the outcome of a call, once per call. `duration` is in microseconds."""

    @abstractmethod
    def lengthen_retry_after(self, until: int, *, outcome_follows: bool) -> None:
        """Applies a Retry-After that arrived apart from an outcome; the latest end of all is in force.

        `outcome_follows`: the outcome of the attempt that the response ended is applied next."""

    @abstractmethod
    def apply_listed_rate(self, rate: float) -> None:
        """Applies the listed rate, in calls per second; 0: the endpoint list has none."""

    @abstractmethod
    def recovery_reported(self) -> None:
        """Handles a gossip message: another sender has delivered after an outage."""

    def attempt_started(self, attempt: Attempt) -> None:
        """Counts the call as in flight, and takes its tokens."""
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
        """Stops counting the call as in flight."""
        self.in_flight -= 1
        attempt.endpoint.in_flight -= 1
        del self.state.attempts_in_flight[attempt]

    def expire_reservations(self, now: int) -> None:
        """Removes reservations whose expiry time has passed."""
        reservations = self.reservations
        while reservations and reservations[0] <= now:
            reservations.popleft()

    def inherit_from(self, other: GateState) -> None:
        """Takes over Retry-After and outage from the gate that this one replaces."""
        self.retry_after_until = max(self.retry_after_until, other.retry_after_until)
        outage = self.outage
        outage.down = outage.down or other.outage.down
        outage.recovering_since = max(outage.recovering_since, other.outage.recovering_since)

    def report_mode_change(self, text: str) -> None:
        """Reports a change of mode to the adapter, with the text of the change."""
        place = f"route {self.route}" if self.route else f"destination {self.destination}"
        rate = self.outage.completions.rate()
        self.state.actions.mode_changed(
            f"{place} {text}", self.destination, self.route, self.outage.down, rate
        )

    def snapshot(self) -> GateSnapshot:
        """Returns a read-only copy of the gate's state."""
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
