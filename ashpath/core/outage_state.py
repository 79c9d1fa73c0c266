"""Whether a destination is down, and what is known of its load.

| from | event | to |
| --- | --- | --- |
| well, recovering | the policy finds an outage | down |
| down | a delivery, word of one, or an operator puts the endpoint back | recovering |
| recovering | the warm-up time is over | well |
"""

from __future__ import annotations

from abc import ABC, abstractmethod

from ashpath.core.sender_state import SenderState
from ashpath.core.statistics import EventRate
from ashpath.core.token_bucket import TokenBucket


class OutageState(ABC):
    """The outage of one gate, and the bucket that calls pass until the destination has warmed up."""

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
        """In a row; those that may have other causes count less."""
        self.succeeded_at = state.now
        self.down = False
        self.recovering_since = -state.settings.warm_up_time
        self.recovery_bucket = TokenBucket()
        self.completions = EventRate(rate_window_us, state.now, state.now)
        """Deliveries, while well."""
        self.submissions = EventRate(rate_window_us, state.now, state.now)
        """Some of them again after a rejection."""

    @abstractmethod
    def restore(self, rate: float) -> None:
        """Down since a previous incarnation, with that rate before."""

    def recover(self) -> None:
        """From now on it warms up."""
        self.down = False
        self.recovering_since = self.state.now
        self.recovery_bucket.updated_at = self.state.now

    def is_recovering(self, now: int) -> bool:
        """Down or warming up: a push might bring it down again."""
        return self.down or now < self.recovering_since + self.state.settings.warm_up_time

    def succeeded(self) -> None:
        """Counts a delivery; while it recovers, the clock of the rate stands still."""
        now = self.state.now
        self.failures = 0
        self.succeeded_at = now
        if self.is_recovering(now):
            self.completions.skip(now)
        else:
            self.completions.add(now)
