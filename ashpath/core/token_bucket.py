"""A token bucket whose rate and capacity may change: the caller passes both at each use."""

from __future__ import annotations

from msgspec import Struct

from ashpath.core.time_units import SECOND


class TokenBucket(Struct, eq=False):
    """A call needs one token. The number of tokens may be negative, which delays the next call."""

    updated_at: int = 0
    """The time of the last refill in microseconds; a time in the future delays the first token."""
    tokens: float = 1.0

    def available_at(self, now: int, rate: float, capacity: float) -> int | None:
        """Refills at `rate` tokens per second. Returns None if a token is available, else the time of one."""
        self.tokens = min(capacity, self.tokens + (now - self.updated_at) * rate / SECOND)
        self.updated_at = now
        return None if self.tokens >= 1 else now + int((1 - self.tokens) * SECOND / rate) + 1
