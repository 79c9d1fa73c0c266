"""Whether clients are still wanted: what a shutdown and the operators' lame duck tell every connection."""

from __future__ import annotations

from msgspec import Struct


class Availability(Struct):
    """Read by every client connection before each response."""

    closing: bool = False
    """After SIGTERM, for good: not ready, every response ends its connection."""
    lame_duck: bool = False
    """Set by operators: not ready, every response ends its connection, and nobody is rejected for it."""
    respond_by: float = float("inf")
    """On the monotonic clock, in seconds: who is still within a request by then is answered 503."""

    @property
    def ready(self) -> bool:
        """Clients may come, and stay."""
        return not self.closing and not self.lame_duck
