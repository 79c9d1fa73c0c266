"""What stand-ins on loopback share: destinations, clients and agents that are not real."""

from __future__ import annotations

from gevent import socket

from ashpath.core.policy_settings import policy_settings
from ashpath.server.limits import ServerLimits

LOOPBACK = "127.0.0.1"
IDLE_CONNECTIONS_MS = 60_000.0


def stand_in_limits(descriptors: int, timeout_s: float) -> ServerLimits:
    """Limits of stand-ins: they wait for a request, idle or half sent, as long as this."""
    settings = policy_settings(0, {"classes": [], "limits": {"conn-idle": IDLE_CONNECTIONS_MS}})
    own = {"client_idle_s": timeout_s, "request_s": timeout_s}
    return ServerLimits.of({"sockets": descriptors, "own": own}, settings)


def free_port() -> int:
    """A port that nobody listens on just now."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        port: int = probe.getsockname()[1]
        return port
