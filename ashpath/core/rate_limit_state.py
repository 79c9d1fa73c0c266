"""What is known of a rate limit."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ashpath.core.interface import LoadReport
from ashpath.core.messages import DISTANT_PAST_US
from ashpath.core.sender_state import SenderState
from ashpath.core.token_bucket import TokenBucket


class RateLimitState(ABC):
    """The rate limit of one gate, in calls a second, and what responses reported of the destination's."""

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
        """The latest refusal where responses report no limit."""
        self.rate = 0.0
        """0: not paced."""
        self.reported_limit = 0.0
        """Of all senders together: noisy, old; or what stands in for it."""
        self.reported_at = 0
        self.remaining_quota = 1.0

    @abstractmethod
    def update(self, report: LoadReport) -> None:
        """Follows what a response reported."""

    def reset(self) -> None:
        """Forgets what was reported: from now on it comes in another way."""
        self.rate = 0.0
        self.reported_limit = 0.0
        self.reported_at = 0
        self.remaining_quota = 1.0

    def even_split(self) -> float:
        """This sender's part of the reported limit, if all senders had the same."""
        return self.reported_limit / self.state.settings.sender_count
