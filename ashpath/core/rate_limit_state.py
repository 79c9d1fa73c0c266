"""The state of a rate limit."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ashpath.core.interface import LoadReport
from ashpath.core.messages import DISTANT_PAST_US
from ashpath.core.sender_state import SenderState
from ashpath.core.token_bucket import TokenBucket


class RateLimitState(ABC):
    """The rate limit of one gate, and the destination's limit as reported in responses (calls per second)."""

    __slots__ = (
        "bucket",
        "decreased_at",
        "rate",
        "rejected_at",
        "remaining_quota",
        "reported_at",
        "reported_limit",
        "state",
    )

    def __init__(self, state: SenderState) -> None:
        self.state = state
        self.bucket = TokenBucket()
        self.decreased_at = state.now
        self.rejected_at = DISTANT_PAST_US
        """The time of the latest rejection, where responses report no limit."""
        self.rate = 0.0
        """The limit of this gate in calls per second; 0: not limited."""
        self.reported_limit = 0.0
        """The limit of all senders together: noisy and delayed; a substitute where responses report none."""
        self.reported_at = 0
        self.remaining_quota = 1.0

    @abstractmethod
    def update(self, report: LoadReport) -> None:
        """Updates the limits from the load report of a response."""

    def reset(self) -> None:
        """Resets the reported values, because the source of load information has changed."""
        self.rate = 0.0
        self.reported_limit = 0.0
        self.reported_at = 0
        self.remaining_quota = 1.0

    def even_split(self) -> float:
        """Returns an equal share of the reported limit for each sender, in calls per second."""
        return self.reported_limit / self.state.settings.sender_count
