"""One real sender that is upgraded, with an agent and endpoints, for measurements of hot upgrades."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from time import monotonic

import gevent
from gevent import socket
from gevent.server import StreamServer

from ashpath.core.json_types import JsonObject
from ashpath.emulator.fault_injection.call_faults import ProcessFaults
from ashpath.emulator.fault_injection.discovery_agent import DiscoveryAgent
from ashpath.emulator.soak.records import SoakRecords
from ashpath.emulator.soak.sender import SenderOptions, SoakSender
from ashpath.emulator.stand_ins import LOOPBACK, STAND_IN_LIMITS, free_port

START_TIMEOUT_S = 10.0
UPGRADES = 2
EndpointHandler = Callable[[socket.socket, int], None]
"""Serves a connection of the sender to the endpoint of a destination."""


@contextmanager
def upgradable_sender(
    folder: Path, settings: JsonObject, destinations: int, serve: EndpointHandler, sockets: int | None = None
) -> Iterator[SoakSender]:
    """Yields a sender that serves, whose destinations have an endpoint each."""
    servers = []
    for destination in range(destinations):
        server = StreamServer((LOOPBACK, 0), partial(serve_destination, serve, destination))
        server.start()
        servers.append(server)
    agent = DiscoveryAgent([member(number, server) for number, server in enumerate(servers)], STAND_IN_LIMITS)
    records = SoakRecords()
    options = SenderOptions(ProcessFaults(), sockets, UPGRADES)
    sender = SoakSender(
        0, free_port(), folder, settings, [agent], [agent.address], options, records, STAND_IN_LIMITS
    )
    try:
        sender.start()
        until = monotonic() + START_TIMEOUT_S
        while monotonic() < until and not records.incarnations[0].ready_at:
            gevent.sleep(0.02)
        yield sender
    finally:
        sender.close()
        agent.stop()
        for server in servers:
            server.stop(timeout=0)


def serve_destination(serve: EndpointHandler, destination: int, sock: socket.socket, _: object) -> None:
    """Serves a connection as the endpoint of a destination."""
    serve(sock, destination)


def member(destination: int, server: StreamServer) -> JsonObject:
    """Returns the row of the list for the endpoint of a destination."""
    return {
        "id": f"e{destination}",
        "cell": destination,
        "host_port": f"{LOOPBACK}:{server.server_port}",
        "locality": "here",
        "flavor": "plain",
        "phase": "up",
        "size": 1.0,
        "up_since_ms": 0,
    }
