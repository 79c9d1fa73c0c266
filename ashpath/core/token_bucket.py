"""The mechanics of a token bucket; rate and capacity are handed in at each use, as they change."""

from __future__ import annotations

from msgspec import Struct

from ashpath.core.statistics import SECOND


class TokenBucket(Struct, eq=False):
    """One token lets one call pass. Tokens may be negative: then the next call waits longer."""

    updated_at: int = 0
    """Microseconds; a time to come delays the first token."""
    tokens: float = 1.0

    def available_at(self, now: int, rate: float, capacity: float) -> int | None:
        """Refills by `rate` tokens a second; None if a token is there, else when there may be one."""
        self.tokens = min(capacity, self.tokens + (now - self.updated_at) * rate / SECOND)
        self.updated_at = now
        return None if self.tokens >= 1 else now + int((1 - self.tokens) * SECOND / rate) + 1
