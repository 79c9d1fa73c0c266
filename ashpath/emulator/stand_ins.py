"""Shared functions of stand-ins on loopback: emulated destinations, clients and agents."""

from __future__ import annotations

from contextlib import suppress
from random import Random

from gevent import socket

from ashpath.core.policy_settings import policy_settings
from ashpath.server.limits.server_limits import ServerLimits

LOOPBACK = "127.0.0.1"
PORT_RANGE = (10_000, 32_000)
RANDOM = Random()  # unseeded, as concurrent runs share the range
IDLE_TIMEOUT_MS = 60_000.0


def stand_in_limits(descriptors: int, timeout_s: float) -> ServerLimits:
    """Returns limits for stand-ins, which wait `timeout_s` for a request, idle or partly received."""
    settings = policy_settings(0, {"classes": [], "limits": {"conn-idle": IDLE_TIMEOUT_MS}})
    own = {"client_idle_s": timeout_s, "request_s": timeout_s}
    return ServerLimits.from_configuration({"sockets": descriptors, "own": own}, settings)


def free_port() -> int:
    """Returns a port that is free now, below the kernel's range of ephemeral ports."""
    while True:
        port = RANDOM.randrange(*PORT_RANGE)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((LOOPBACK, port))
            return port
