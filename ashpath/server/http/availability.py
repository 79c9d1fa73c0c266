"""State of the shutdown and of the lame duck mode, shared by all client connections."""

from __future__ import annotations

from msgspec import Struct


class Availability(Struct):
    """Flags that every client connection reads before each response."""

    closing: bool = False
    """Set once, on SIGTERM: the sender is not ready, and every response ends its connection."""
    lame_duck: bool = False
    """Set by operators: the sender is not ready, every response ends its connection, and requests are still
    accepted."""
    respond_by: float = float("inf")
    """Seconds of the monotonic clock; a request that is incomplete at this time is answered 503."""

    @property
    def ready(self) -> bool:
        """Whether clients may connect and keep their connections."""
        return not self.closing and not self.lame_duck
