"""For how long connections to an endpoint may be idle before the sender closes them."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic

from msgspec import Struct

from ashpath.server.limits.endpoint_connections import EndpointConnectionLimits

TRUSTED_IDLE_FRACTION = 0.8
"""The new idle limit of an endpoint, as a fraction of the idle time after which it dropped a connection."""


class ShortenedLimit(Struct, frozen=True):
    """The shorter idle limit of an endpoint that drops idle connections before the configured limit."""

    longest_idle: float
    """Seconds."""
    until: float
    """Seconds of the monotonic clock at which this limit expires."""


class IdleLimits:
    """The configured limit, and the shorter ones of endpoints that drop idle connections early."""

    def __init__(self, limits: Callable[[], EndpointConnectionLimits]) -> None:
        """`limits`: returns the limits in effect."""
        self._limits = limits
        self._shortened: dict[str, ShortenedLimit] = {}

    def is_shortened(self, endpoint_id: str) -> bool:
        """Whether the endpoint has dropped an idle connection within `idle_distrust_s`."""
        return endpoint_id in self._shortened

    def longest_idle(self, endpoint_id: str) -> float:
        """Returns the seconds for which connections of the endpoint may be idle before they are closed."""
        shortened = self._shortened.get(endpoint_id)
        return self._limits().endpoint_idle_s if shortened is None else shortened.longest_idle

    def connection_dropped(self, endpoint_id: str, idle_s: float) -> None:
        """Shortens the limit after a connection that was idle for `idle_s` was lost without a byte of a
        response.

        Some endpoints drop idle connections early and without a FIN; the next request on such a connection is
        lost. For `idle_distrust_s`, connections of the endpoint are closed after a shorter idle time."""
        limits = self._limits()
        if idle_s <= limits.min_endpoint_idle_s:
            return
        trusted = min(self.longest_idle(endpoint_id), TRUSTED_IDLE_FRACTION * idle_s)
        until = monotonic() + limits.idle_distrust_s
        self._shortened[endpoint_id] = ShortenedLimit(max(limits.min_endpoint_idle_s, trusted), until)

    def expire(self) -> None:
        """Removes shortened limits whose time has passed."""
        time = monotonic()
        self._shortened = {
            endpoint_id: limit for endpoint_id, limit in self._shortened.items() if limit.until > time
        }
