"""A real sender on loopback with one endpoint and an agent, whose resident size is watched."""

from __future__ import annotations

import sys
from contextlib import suppress
from pathlib import Path
from time import monotonic

import gevent
import orjson
from gevent import subprocess
from gevent.server import StreamServer
from gevent.socket import socket

from ashpath.core.json_types import JsonObject
from ashpath.emulator.errors import RequestError, SenderStartError
from ashpath.emulator.fault_injection.discovery_agent import DiscoveryAgent
from ashpath.emulator.http_client import HttpClient
from ashpath.emulator.process_size import process_resident_bytes
from ashpath.emulator.stand_ins import LOOPBACK, STAND_IN_LIMITS, free_port
from ashpath.server import wire_names
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError

ROOT = Path(__file__).parents[3]
START_TIMEOUT_S = 20.0
READY_POLL_S = 0.05
DELIVERED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
SETTINGS: JsonObject = {
    "classes": [
        {
            "name": "free",
            "deadline": 5000.0,
            "slo": 1000.0,
            "repeat": "retryable",
            "window": 0.0,
            "importance": 1.0,
        }
    ],
    "kinds": ["plain"],
    "zones": ["here"],
    "group-size": 1,
    "rank": 0,
    "limits": {
        "max-open": 500,
        "max-attempts": 6,
        "retry-after": True,
        "max-retry-after": 3000.0,
        "conn-idle": 2000.0,
        "connect-timeout": 500.0,
        "cancelling": True,
    },
    "specifics": {"slots": 250},
    "contract": {"drain-grace": 1000.0},
}


class CrowdRig:
    """The sender runs from `start` to `stop`; `source` is the tree that it runs from."""

    def __init__(self, folder: Path, memory_mb: int, descriptors: int, source: Path = ROOT) -> None:
        self.folder = folder
        self.source = source
        self.process: subprocess.Popen[bytes] | None = None
        self.address = (LOOPBACK, free_port())
        self.ids: list[bytes] = []  # of the messages that the endpoint received, in their order
        self.endpoint = StreamServer((LOOPBACK, 0), self.serve_endpoint)
        self.endpoint.start()
        self.agent = DiscoveryAgent([self.member()], STAND_IN_LIMITS)
        (folder / "state").mkdir(parents=True)
        self.configuration: JsonObject = {
            "seed": "8c1f",
            "settings": SETTINGS,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors, "disk_mb": 3},
            "known": {"revision": 1, "complete": True, "members": [self.member()]},
        }

    def member(self) -> JsonObject:
        """Returns the row of the endpoint in the endpoint list."""
        return {
            "id": "e1",
            "cell": 1,
            "size": 1.0,
            "host_port": f"{LOOPBACK}:{self.endpoint.server_port}",
            "locality": "here",
            "flavor": "plain",
            "phase": "up",
        }

    def start(self) -> None:
        """Starts the sender and waits until it is ready. Raises SenderStartError."""
        (self.folder / "config.json").write_bytes(orjson.dumps(self.configuration))
        environment = {
            "PYTHONPATH": str(self.source),
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": f"{LOOPBACK}:{self.address[1]}",
            "RELAY_DISCOVERY": f"{LOOPBACK}:{self.agent.address[1]}",
            "RELAY_STATE": str(self.folder / "state"),
            "RELAY_CONFIG": str(self.folder / "config.json"),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "ashpath"],
                cwd=self.folder,
                env=environment,
                stdout=log,
                stderr=log,
            )
        client = HttpClient(self.address, STAND_IN_LIMITS, 1.0, max_idle=0)
        deadline = monotonic() + START_TIMEOUT_S
        while monotonic() < deadline and self.process.poll() is None:
            with suppress(RequestError):
                if client.request(b"GET %s HTTP/1.1" % wire_names.READINESS_PATH).status == 200:
                    return
            gevent.sleep(READY_POLL_S)
        raise SenderStartError(self.folder / "log")

    def stop(self) -> None:
        """Kills the sender, if it runs, and stops its surroundings."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.endpoint.stop(timeout=0)
        self.agent.stop()

    @property
    def is_running(self) -> bool:
        """Whether the sender was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def resident_bytes(self) -> int:
        """Returns the resident size of the sender; 0 once it has ended."""
        assert self.process is not None
        return process_resident_bytes(self.process.pid)

    def serve_endpoint(self, sock: socket, _: object) -> None:
        """Answers each attempt with 200."""
        connection = HttpConnection(sock, STAND_IN_LIMITS)
        with suppress(OSError, ConnectionClosedError, ProtocolError):
            while True:
                request = connection.read_request()
                self.ids.append(request.headers.get(wire_names.TRACE_ID_HEADER, b""))
                connection.write(DELIVERED)
        connection.close()
