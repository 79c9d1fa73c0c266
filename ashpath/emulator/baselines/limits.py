"""Baselines that differ in what limits their calls: a fixed number, a backoff, a circuit breaker, a
gradient."""

from __future__ import annotations

from random import Random

from ashpath.core.interface import AttemptOutcome, PolicyActions, PolicySettings
from ashpath.emulator.baselines.skeleton import Baseline
from ashpath.emulator.baselines.state import DestinationState
from ashpath.emulator.policy_under_test import GlobalView
from ashpath.emulator.units import SECOND

MIN_BACKOFF = SECOND // 10
MAX_BACKOFF = 5 * SECOND
MAX_DOUBLINGS = 10
BREAKER_FAILURES = 5  # in a row, until the circuit breaker opens
BREAKER_COOLDOWN = 5 * SECOND
GRADIENT_SMOOTHING = 0.02  # of the long-run time
GRADIENT_TOLERANCE = 1.5  # times the long-run time that is not yet slow
MIN_GRADIENT = 0.5
LIMIT_SMOOTHING = 0.2
FAILURE_FACTOR = 0.9  # of the limit, after a failure


class FixedLimit(Baseline):
    """A fixed number of calls in flight to each destination, and nothing learned."""


class Backoff(Baseline):
    """No limit of its own: after a failure the destination is left alone; the time doubles, with full
    jitter."""

    def __init__(self, settings: PolicySettings, actions: PolicyActions, view: GlobalView) -> None:
        super().__init__(settings, actions, view)
        self.random = Random(settings.seed)

    def admits(self, destination: DestinationState) -> bool:
        """Always."""
        return True

    def record_outcome(self, destination: DestinationState, outcome: AttemptOutcome, duration: int) -> None:
        """A failure pauses the destination; a delivery ends the doubling."""
        if outcome is AttemptOutcome.DELIVERED:
            destination.failures = 0
            return
        max_backoff = min(MAX_BACKOFF, MIN_BACKOFF << min(destination.failures, MAX_DOUBLINGS))
        destination.failures += 1
        backoff = int(self.random.random() * max_backoff)
        destination.paused_until = max(destination.paused_until, self.now + backoff)


class BreakerOnly(Baseline):
    """A circuit breaker without a limit: after some failures in a row it opens; then one trial request."""

    def admits(self, destination: DestinationState) -> bool:
        """Any number while the breaker is closed, one call while it is half-open."""
        return destination.failures < BREAKER_FAILURES or destination.in_flight == 0

    def record_outcome(self, destination: DestinationState, outcome: AttemptOutcome, duration: int) -> None:
        """Counts failures in a row."""
        if outcome is AttemptOutcome.DELIVERED:
            destination.failures = 0
            return
        destination.failures += 1
        if destination.failures >= BREAKER_FAILURES:
            destination.paused_until = self.now + BREAKER_COOLDOWN


class Gradient(Baseline):
    """A concurrency limit that follows the gradient of response times, after Netflix's description.

    The long-run time over the present one, from a half to one, times the limit, plus a queue of its root.
    """

    def admits(self, destination: DestinationState) -> bool:
        """Below the limit, and always one."""
        return destination.in_flight < max(1, int(destination.limit))

    def record_outcome(self, destination: DestinationState, outcome: AttemptOutcome, duration: int) -> None:
        """Moves the limit."""
        if outcome is not AttemptOutcome.DELIVERED:
            destination.limit = max(1.0, FAILURE_FACTOR * destination.limit)
            return
        long_run = destination.long_run_time
        destination.long_run_time = (
            duration if not long_run else long_run + GRADIENT_SMOOTHING * (duration - long_run)
        )
        if 2 * destination.in_flight < destination.limit:
            return  # the limit was not what held it
        gradient = GRADIENT_TOLERANCE * destination.long_run_time / max(1, duration)
        gradient = max(MIN_GRADIENT, min(1.0, gradient))
        target_limit = destination.limit * gradient + max(1.0, destination.limit**0.5)
        max_limit = 3 * self.settings.max_in_flight / 4
        smoothed = (1 - LIMIT_SMOOTHING) * destination.limit + LIMIT_SMOOTHING * target_limit
        destination.limit = min(max_limit, smoothed)
