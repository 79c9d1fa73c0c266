"""How fast messages go where each ordering key has one attempt at a time, and where no message is ordered.

    .venv/bin/python -m benchmarks.ordered_keys [--seed 1] [--duration 8] [--rows TEXT]

One real sender, six simulated endpoints of three destinations that refuse above four calls at once, sixteen
simulated clients with a key each, a deadline of 4 s. Prints a line a row: messages accepted and delivered,
the 50th and 95th percentile from acceptance to delivery, connections opened, and CPU of the sender a message.
To compare two trees, run it in each.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path
from random import Random
from time import monotonic

import gevent
import psutil
from gevent import socket
from gevent.server import StreamServer
from msgspec import Struct

from ashpath.core.json_types import JsonObject
from ashpath.emulator.fault_injection.call_faults import ProcessFaults
from ashpath.emulator.fault_injection.discovery_agent import DiscoveryAgent
from ashpath.emulator.soak.records import SoakRecords
from ashpath.emulator.soak.sender import SenderOptions, SoakSender
from ashpath.emulator.soak.settings import soak_settings
from ashpath.emulator.stand_ins import LOOPBACK, STAND_IN_LIMITS, free_port
from ashpath.server.http.connection import HttpConnection, open_connection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError

CLIENTS = 16
DESTINATIONS = 3
ENDPOINTS = 6
MAX_CALLS_AT_ONCE = 4  # of an endpoint
DEADLINE_MS = 4000
START_TIMEOUT_S = 10.0
DELIVERED = encode_message(b"HTTP/1.1 200 OK", [], b"")
REFUSED = encode_message(b"HTTP/1.1 503 X", [], b"")


class Row(Struct, frozen=True):
    """The conditions of one play."""

    name: str
    ordered: bool
    rate: float
    """Messages per second of all clients."""
    refused_share: float = 0.0
    service_s: tuple[float, float] = (0.04, 0.2)


ROWS = (
    Row("ordered, 100/s, healthy", ordered=True, rate=100),
    Row("ordered, 100/s, 15 in 100 refused", ordered=True, rate=100, refused_share=0.15),
    Row("ordered, 30/s, healthy", ordered=True, rate=30),
    Row("ordered, 200/s, healthy, 5 to 60 ms", ordered=True, rate=200, service_s=(0.005, 0.06)),
    Row("not ordered, 100/s, healthy", ordered=False, rate=100),
    Row("not ordered, 100/s, 15 in 100 refused", ordered=False, rate=100, refused_share=0.15),
    Row("not ordered, 150/s, 15 in 100 refused", ordered=False, rate=150, refused_share=0.15),
)


class Play:
    """One play. Endpoints record the time of each delivery, clients that of each acceptance."""

    def __init__(self, row: Row, seed: int, folder: Path) -> None:
        self.row = row
        self.random = Random(f"{row.name} {seed}")
        self.accepted: dict[str, float] = {}
        self.delivered: dict[str, float] = {}
        self.connections = 0
        self.calls = [0] * ENDPOINTS  # in progress, by endpoint
        self.servers = [self._listen(number) for number in range(ENDPOINTS)]
        self.agent = DiscoveryAgent([self._member(number) for number in range(ENDPOINTS)], STAND_IN_LIMITS)
        self.records = SoakRecords()
        self.sender = SoakSender(
            0,
            free_port(),
            folder,
            self._settings(),
            [self.agent],
            [self.agent.address],
            SenderOptions(ProcessFaults()),
            self.records,
            STAND_IN_LIMITS,
        )

    def _settings(self) -> JsonObject:
        settings = soak_settings()
        classes = [each | {"one-at-a-time": self.row.ordered} for each in settings["classes"]]
        reports = {"how": "answers", "fields": ["x0", "x1"]}  # without one no rate limit is derived
        return settings | {"classes": classes, "group-size": 1, "load-info": reports}

    def _member(self, number: int) -> JsonObject:
        return {
            "id": f"e{number}",
            "cell": number % DESTINATIONS,
            "host_port": f"{LOOPBACK}:{self.servers[number].server_port}",
            "locality": "here",
            "flavor": "plain",
            "phase": "up",
            "size": 1.0,
            "up_since_ms": 0,
        }

    def _listen(self, number: int) -> StreamServer:
        server = StreamServer((LOOPBACK, 0), lambda sock, _: self._serve(sock, number))
        server.start()
        return server

    def _serve(self, sock: socket.socket, number: int) -> None:
        self.connections += 1
        connection = HttpConnection(sock, STAND_IN_LIMITS)
        try:
            while True:
                request = connection.read_request()
                connection.write(self._respond(request.headers[b"x-trace-id"].decode(), number))
        except (OSError, ConnectionClosedError, ProtocolError):
            connection.close()

    def _respond(self, trace_id: str, number: int) -> bytes:
        if self.calls[number] >= MAX_CALLS_AT_ONCE or self.random.random() < self.row.refused_share:
            return REFUSED
        self.calls[number] += 1
        gevent.sleep(self.random.uniform(*self.row.service_s))
        self.calls[number] -= 1
        self.delivered.setdefault(trace_id, monotonic())
        return DELIVERED

    def _submit_steadily(self, client: int) -> None:
        random = Random(f"{self.row.name} {client}")
        connection: HttpConnection | None = None
        number = 0
        while True:
            gevent.sleep(random.expovariate(self.row.rate / CLIENTS))
            number += 1
            trace_id = f"c{client}-{number}"
            try:
                connection = connection or open_connection(self.sender.address, STAND_IN_LIMITS)
                connection.write(self._request(trace_id, client, random))
                response = connection.read_response()
                if response.status == 200:
                    connection.finish_response()
                if response.status in (200, 202):
                    self.accepted[trace_id] = monotonic()
            except (OSError, ConnectionClosedError, ProtocolError):
                connection = None
            if connection is not None and connection.unusable:
                connection.close()
                connection = None

    @staticmethod
    def _request(trace_id: str, client: int, random: Random) -> bytes:
        headers = [
            (b"X-Trace-Id", trace_id.encode()),
            (b"X-Qos", b"free"),
            (b"X-Expires-In-Ms", b"%d" % DEADLINE_MS),
            (b"X-Route-To", b"dest=%d" % random.randrange(DESTINATIONS)),
            (b"Idempotency-Key", trace_id.encode()),
            (b"Cookie", b"about=%d" % client),
        ]
        return encode_message(b"POST /api HTTP/1.1", headers, b"")

    def run(self, duration_s: float) -> str:
        """Plays the row, and returns its line."""
        try:
            self.sender.start()
            self._await_start()
            clients = [gevent.spawn(self._submit_steadily, client) for client in range(CLIENTS)]
            gevent.sleep(duration_s)
            gevent.killall(clients)
            gevent.sleep(DEADLINE_MS / 1000 + 0.5)
            return self._line(sum(psutil.Process(self.sender.process_id).cpu_times()[:2]))
        finally:
            self.sender.close()
            self.agent.stop()
            for server in self.servers:
                server.stop(timeout=0)

    def _await_start(self) -> None:
        until = monotonic() + START_TIMEOUT_S
        while not (self.sender.process_id and self._is_ready()):
            if monotonic() > until:
                raise TimeoutError
            gevent.sleep(0.02)

    def _is_ready(self) -> bool:
        return bool(self.records.incarnations[-1].ready_at)

    def _line(self, cpu_s: float) -> str:
        times = sorted(
            1000 * (at - self.accepted[trace_id])
            for trace_id, at in self.delivered.items()
            if trace_id in self.accepted
        )
        middle, high = (times[int(share * (len(times) - 1))] for share in (0.5, 0.95))
        return (
            f"{self.row.name}: {len(times)} of {len(self.accepted)} delivered; {middle:.0f}, {high:.0f} ms; "
            f"{self.connections} connections; "
            f"{1000 * cpu_s / max(1, len(self.accepted)):.2f} ms CPU a message"
        )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=8.0)
    parser.add_argument("--rows", default="", help="only rows whose name has this text")
    options = parser.parse_args()
    for row in ROWS:
        if options.rows in row.name:
            folder = Path(tempfile.mkdtemp(prefix="ordered-")) / "n0"
            print(Play(row, options.seed, folder).run(options.duration), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
