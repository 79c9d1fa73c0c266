"""A real sender with two destinations of one endpoint each; discovery fails while one of them drains."""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path
from time import monotonic

import gevent
from gevent import socket
from gevent.server import StreamServer

from ashpath.core.json_types import JsonObject
from ashpath.emulator.fault_injection.discovery_agent import DiscoveryAgent
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from support.sender_harness import LIMITS, SETTINGS, SenderHarness, wait_until

STAYING_DESTINATION, DRAINING_DESTINATION = 1, 2  # destinations, each with one endpoint
SUBMISSION_PAUSE_S = 0.03
CONFIGURATION_READ = "configuration read"


class CountingEndpoint:
    """An endpoint that accepts every message and records the times of the calls."""

    def __init__(self, endpoint_id: str, destination: int) -> None:
        self.endpoint_id = endpoint_id
        self.destination = destination
        self.calls: list[float] = []  # seconds of the monotonic clock
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    def member(self, phase: str = "up", up_since_ms: int = 0) -> JsonObject:
        """Returns the endpoint's row of the endpoint list."""
        return {
            "id": self.endpoint_id,
            "cell": self.destination,
            "host_port": f"127.0.0.1:{self._server.server_port}",
            "locality": "here",
            "flavor": "plain",
            "phase": phase,
            "size": 1.0,
            "up_since_ms": up_since_ms,
        }

    def _serve(self, sock: socket.socket, _: object) -> None:
        connection = HttpConnection(sock, LIMITS.http)
        try:
            while connection.read_request():
                self.calls.append(monotonic())
                connection.write(encode_message(b"HTTP/1.1 200 OK", [], b""))
        except (OSError, ConnectionClosedError, ProtocolError):
            connection.close()

    def stop(self) -> None:
        self._server.stop(timeout=0)


class DrainSetup:
    """A sender, its clients and its discovery agents, from `start` to `stop`.

    The sender polls the first of the agents until `change_discovery_address`.
    """

    def __init__(self, folder: Path, agents: int = 1) -> None:
        folder.mkdir()
        self.staying_endpoint = CountingEndpoint("stays", STAYING_DESTINATION)
        self.draining_endpoint = CountingEndpoint("leaves", DRAINING_DESTINATION)
        self.agents = [DiscoveryAgent(self.members("up"), LIMITS.http) for _ in range(agents)]
        self.harness = SenderHarness(folder)
        # The sender is one of many, so its first polls are spread, and connection attempts take long to fail.
        limits = {**SETTINGS["limits"], "connect-timeout": 5000.0}
        self.harness.config["settings"] = {**SETTINGS, "group-size": 40, "rank": 39, "limits": limits}
        self.harness.config["known"] = {"revision": 1, "complete": True, "members": self.members("up")}
        self.harness.config["discovery"] = self.agents[0].address
        self.harness.configure()
        self.clients: gevent.Greenlet[[], None] | None = None

    def members(self, phase: str, up_since_ms: int = 0) -> list[JsonObject]:
        """Returns the endpoint list with the draining endpoint in this phase."""
        return [self.staying_endpoint.member(), self.draining_endpoint.member(phase, up_since_ms)]

    def start(self) -> None:
        """Starts the clients, then the sender. Returns when the sender is ready."""
        self.clients = gevent.spawn(self._submit)
        self.harness.start()

    def wait_for_poll(self) -> None:
        """Waits until a long poll of the first agent is open and both endpoints were called."""
        wait_until(lambda: self.agents[0].polls and self.agents[0].polls[-1].index is not None)
        wait_until(lambda: self.draining_endpoint.calls and self.staying_endpoint.calls)

    def drain(self, agent: int = 0) -> None:
        """Makes an agent list the endpoint as draining."""
        self.agents[agent].change(self.members("draining"), revision=5)

    def change_discovery_address(self, address: str) -> None:
        """Changes the address of the discovery service by a reload."""
        self.harness.config["discovery"] = address
        self.harness.configure()
        assert self.harness.process is not None
        log = self.harness.folder / "log"
        before = log.read_text().count(CONFIGURATION_READ)
        self.harness.process.send_signal(signal.SIGHUP)
        wait_until(lambda: log.read_text().count(CONFIGURATION_READ) > before)

    def last_call_of_draining_endpoint(self) -> float:
        """Returns the time of the last call to the draining endpoint; 0 if it was never called."""
        return self.draining_endpoint.calls[-1] if self.draining_endpoint.calls else 0.0

    def _submit(self) -> None:
        number = 0
        while True:
            number += 1
            destination = (STAYING_DESTINATION, DRAINING_DESTINATION)[number % 2]
            gevent.spawn(self.harness.submit, f"m{number}", "free", "200", destination)
            gevent.sleep(SUBMISSION_PAUSE_S)

    def stop(self) -> None:
        """Stops the clients, the sender, the agents and the endpoints."""
        if self.clients is not None:
            self.clients.kill()
        self.harness.stop()
        for agent in self.agents:
            agent.stop()
        self.staying_endpoint.stop()
        self.draining_endpoint.stop()


Scenario = Callable[[DrainSetup], float]
"""Causes the faults. Returns when the drain counts as received, in seconds of the monotonic clock."""
