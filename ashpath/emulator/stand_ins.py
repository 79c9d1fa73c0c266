"""Shared functions of stand-ins on loopback: emulated destinations, clients and agents."""

from __future__ import annotations

from contextlib import suppress
from random import Random

from gevent import socket

from ashpath.server.limits.http import HttpLimits

LOOPBACK = "127.0.0.1"
PORT_RANGE = (10_000, 32_000)
RANDOM = Random()  # unseeded, as concurrent runs share the range
DRAWN_PORTS: set[int] = set()
"""Ports that this process has returned: each is bound later, by a process that is still being started."""
STAND_IN_LIMITS = HttpLimits(connect_s=1.0)
"""The limits of the connections of stand-ins, which have no timeout for a request."""


def free_port() -> int:
    """Returns a port that is free now, below the kernel's range of ephemeral ports, and never the same."""
    while True:
        port = RANDOM.randrange(*PORT_RANGE)
        if port in DRAWN_PORTS:
            continue
        with socket.socket() as probe, suppress(OSError):
            probe.bind((LOOPBACK, port))
            DRAWN_PORTS.add(port)
            return port
