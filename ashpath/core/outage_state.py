"""The outage state of a gate, and the rates of its calls.

| from | event | to |
| --- | --- | --- |
| available, recovering | the policy detects an outage, or restores one of a previous incarnation | down |
| down | a delivery, or a gossip message about another sender's delivery | recovering |
| any | an operator reattaches the endpoint | recovering |
| recovering | the warm-up time has elapsed | available |
"""

from __future__ import annotations

from abc import ABC, abstractmethod

from ashpath.core.sender_state import SenderState
from ashpath.core.statistics import EventRate
from ashpath.core.token_bucket import TokenBucket


class OutageState(ABC):
    """The outage of one gate, and the token bucket that limits calls until the destination has warmed up."""

    __slots__ = (
        "completions",
        "down",
        "failures",
        "recovering_since",
        "recovery_bucket",
        "state",
        "submissions",
        "succeeded_at",
    )

    def __init__(self, state: SenderState, rate_window_us: int) -> None:
        self.state = state
        self.failures = 0.0
        """Consecutive failures, weighted: those that may have causes other than an outage count less."""
        self.succeeded_at = state.now
        self.down = False
        self.recovering_since = -state.settings.warm_up_time
        self.recovery_bucket = TokenBucket()
        self.completions = EventRate(rate_window_us, state.now, state.now)
        """The rate of deliveries while the destination is available."""
        self.submissions = EventRate(rate_window_us, state.now, state.now)
        """The rate of submissions, which include messages submitted again after a rejection."""

    @abstractmethod
    def restore(self, rate: float) -> None:
        """Restores an outage of a previous incarnation; `rate`: deliveries per second before the outage."""

    def recover(self) -> None:
        """Ends the outage; the destination warms up from now on."""
        self.down = False
        self.recovering_since = self.state.now
        self.recovery_bucket.updated_at = self.state.now

    def is_recovering(self, now: int) -> bool:
        """Whether the destination is down or warming up, so that too much load might cause a new outage."""
        return self.down or now < self.recovering_since + self.state.settings.warm_up_time

    def succeeded(self) -> None:
        """Counts a delivery. Time spent recovering is excluded from the delivery rate."""
        now = self.state.now
        self.failures = 0
        self.succeeded_at = now
        if self.is_recovering(now):
            self.completions.skip(now)
        else:
            self.completions.add(now)
