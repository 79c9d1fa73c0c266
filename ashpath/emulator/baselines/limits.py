"""Baselines that limit their calls by a fixed number, a backoff, a circuit breaker or a latency gradient."""

from __future__ import annotations

from random import Random

from ashpath.core.interface import AttemptOutcome, PolicyActions, PolicySettings
from ashpath.core.time_units import SECOND
from ashpath.emulator.baselines.skeleton import Baseline
from ashpath.emulator.baselines.state import DestinationState
from ashpath.emulator.policy_under_test import GlobalView

# Times are in microseconds.
MIN_BACKOFF = SECOND // 10
MAX_BACKOFF = 5 * SECOND
MAX_DOUBLINGS = 10
BREAKER_FAILURES = 5  # consecutive failures that open the circuit breaker
BREAKER_COOLDOWN = 5 * SECOND
GRADIENT_SMOOTHING = 0.02  # weight of a new response time in the long-run average
GRADIENT_TOLERANCE = 1.5  # ratio to the long-run response time up to which a response is not slow
MIN_GRADIENT = 0.5  # lower bound of the gradient
LIMIT_SMOOTHING = 0.2  # weight of the target in the new limit
FAILURE_FACTOR = 0.9  # applied to the limit after a failure


class FixedLimit(Baseline):
    """Allows a fixed number of calls in flight to each destination; outcomes do not change it."""


class Backoff(Baseline):
    """Pauses a destination after each failure, with exponential backoff and full jitter, and has no limit."""

    def __init__(self, settings: PolicySettings, actions: PolicyActions, view: GlobalView) -> None:
        super().__init__(settings, actions, view)
        self.random = Random(settings.seed)

    def admits(self, destination: DestinationState) -> bool:
        """Returns True: the policy has no concurrency limit."""
        return True

    def record_outcome(self, destination: DestinationState, outcome: AttemptOutcome, duration: int) -> None:
        """Pauses the destination after a failure, and resets the backoff after a delivery."""
        if outcome is AttemptOutcome.DELIVERED:
            destination.failures = 0
            return
        max_backoff = min(MAX_BACKOFF, MIN_BACKOFF << min(destination.failures, MAX_DOUBLINGS))
        destination.failures += 1
        backoff = int(self.random.random() * max_backoff)
        destination.paused_until = max(destination.paused_until, self.now + backoff)


class BreakerOnly(Baseline):
    """A circuit breaker without a concurrency limit. After its cooldown it allows one trial request."""

    def admits(self, destination: DestinationState) -> bool:
        """Returns True while the circuit breaker is closed; half-open, only if no call is in flight."""
        return destination.failures < BREAKER_FAILURES or destination.in_flight == 0

    def record_outcome(self, destination: DestinationState, outcome: AttemptOutcome, duration: int) -> None:
        """Counts consecutive failures, and opens the circuit breaker at BREAKER_FAILURES."""
        if outcome is AttemptOutcome.DELIVERED:
            destination.failures = 0
            return
        destination.failures += 1
        if destination.failures >= BREAKER_FAILURES:
            destination.paused_until = self.now + BREAKER_COOLDOWN


class Gradient(Baseline):
    """A concurrency limit that follows the gradient of response times, as Netflix describes it.

    The target is the limit times the ratio of the long-run response time to the current one, clamped to
    MIN_GRADIENT..1, plus the square root of the limit as an allowance for queueing.
    """

    def admits(self, destination: DestinationState) -> bool:
        """Returns whether the calls in flight are below the limit, which is at least 1."""
        return destination.in_flight < max(1, int(destination.limit))

    def record_outcome(self, destination: DestinationState, outcome: AttemptOutcome, duration: int) -> None:
        """Decreases the limit after a failure, or moves it towards its target after a delivery."""
        if outcome is not AttemptOutcome.DELIVERED:
            destination.limit = max(1.0, FAILURE_FACTOR * destination.limit)
            return
        long_run = destination.long_run_time
        destination.long_run_time = (
            duration if not long_run else long_run + GRADIENT_SMOOTHING * (duration - long_run)
        )
        if 2 * destination.in_flight < destination.limit:
            return  # the limit did not constrain the calls in flight
        gradient = GRADIENT_TOLERANCE * destination.long_run_time / max(1, duration)
        gradient = max(MIN_GRADIENT, min(1.0, gradient))
        target_limit = destination.limit * gradient + max(1.0, destination.limit**0.5)
        max_limit = 3 * self.settings.max_in_flight / 4
        smoothed = (1 - LIMIT_SMOOTHING) * destination.limit + LIMIT_SMOOTHING * target_limit
        destination.limit = min(max_limit, smoothed)
