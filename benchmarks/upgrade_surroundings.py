"""The destinations, the platform's agent and the clients of `benchmarks.upgrade`, and their observations."""

from __future__ import annotations

import signal
import time
from collections import Counter
from random import Random
from typing import Any

import gevent
import orjson
from gevent import socket
from gevent.server import StreamServer

from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.limits.http import HttpLimits

NUMBER_OF_DESTINATIONS = 6
CLIENT_PAUSE_S = 0.02  # mean pause between two requests of a client
DEDUPLICATION_WINDOW_S = 5.0
RETRY_AFTER_S = 0.5
RETRY_AFTER_SHARE = 0.03  # of calls
RETRY_AFTER_SLACK_S = 0.1  # calls that arrive earlier may have been sent before Retry-After was received
DEDUPLICATED_CLASS = "result"
IDEMPOTENT_CLASS = "status"
FIRST_PIECE = 60  # bytes of the first piece of a request that is sent in two pieces
LIMITS = {"sockets": 512, "disk_mb": 3}
SETTINGS: dict[str, Any] = {
    "classes": [
        {
            "name": name,
            "deadline": 12000.0,
            "slo": 3000.0,
            "repeat": repeat,
            "window": DEDUPLICATION_WINDOW_S * 1000,
            "importance": 1.0,
        }
        for name, repeat in ((IDEMPOTENT_CLASS, "retryable"), (DEDUPLICATED_CLASS, "dedup"))
    ],
    "kinds": ["plain"],
    "zones": ["here"],
    "group-size": 1,
    "rank": 0,
    "limits": {
        "max-open": 400,
        "max-attempts": 12,
        "retry-after": True,
        "max-retry-after": 3000.0,
        "conn-idle": 5000.0,
        "connect-timeout": 1000.0,
        "cancelling": True,
    },
    "specifics": {"slots": 64},
    "contract": {"drain-grace": 1000.0},
}


class Observations:
    """The observations of the destinations, the agent and the clients."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.submitted = 0
        self.accepted: dict[str, str] = {}  # traffic classes of messages whose response was 202, by id
        self.first_run_at: dict[str, float] = {}  # by id
        self.notified: set[str] = set()
        self.longest_gap_s = 0.0  # between two responses to clients
        self.signal = signal.SIGTERM  # the signal of the latest upgrade, which ends the old process
        self._latest_response_at = time.monotonic()

    def record_response(self, message_id: str, traffic_class: str, status: int) -> None:
        """Records a response to a client."""
        now = time.monotonic()
        self.longest_gap_s = max(self.longest_gap_s, now - self._latest_response_at)
        self._latest_response_at = now
        self.counts[f"answered {status}"] += 1
        if status == 202:
            self.accepted[message_id] = traffic_class

    def record_execution(self, message_id: str) -> None:
        """Records that a destination executed the call of a message."""
        now = time.monotonic()
        first = self.first_run_at.setdefault(message_id, now)
        deduplicated = self.accepted.get(message_id) == DEDUPLICATED_CLASS
        if now > first + DEDUPLICATION_WINDOW_S and deduplicated:
            self.counts["doubled"] += 1

    def lost(self) -> set[str]:
        """Returns the ids of accepted messages without an execution and without a notification."""
        return self.accepted.keys() - self.first_run_at.keys() - self.notified


class DestinationServer:
    """A destination with one endpoint, which sends Retry-After for a random share of calls."""

    def __init__(self, number: int, limits: HttpLimits, random: Random, observations: Observations) -> None:
        self.number = number
        self._limits = limits
        self._random = random
        self._observations = observations
        self._retry_after_sent_at = 0.0
        self._retry_after_until = 0.0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    def member(self) -> dict[str, Any]:
        """Returns the endpoint's row of the endpoint list."""
        return {
            "id": f"e{self.number}",
            "host_port": f"127.0.0.1:{self._server.server_port}",
            "locality": "here",
            "flavor": "plain",
            "cell": self.number,
            "phase": "up",
            "size": 1.0,
        }

    def _serve(self, sock: socket.socket, _: object) -> None:
        connection = HttpConnection(sock, self._limits)
        try:
            while True:
                call = connection.read_request()
                connection.write(self._response(call.headers[b"x-trace-id"].decode()))
        except (OSError, ConnectionClosedError, ProtocolError):
            connection.close()

    def _response(self, message_id: str) -> bytes:
        now = time.monotonic()
        if self._retry_after_sent_at + RETRY_AFTER_SLACK_S < now < self._retry_after_until:
            self._observations.counts["waits broken"] += 1
        if now >= self._retry_after_until and self._random.random() < RETRY_AFTER_SHARE:
            self._retry_after_sent_at = now
            self._retry_after_until = now + RETRY_AFTER_S
            return encode_message(b"HTTP/1.1 429 Full", [(b"Retry-After", b"%g" % RETRY_AFTER_S)], b"")
        if now < self._retry_after_until:
            return encode_message(b"HTTP/1.1 503 Full", [], b"")
        gevent.sleep(self._random.uniform(0.01, 0.12))
        self._observations.record_execution(message_id)
        return encode_message(b"HTTP/1.1 200 OK", [], b"ok")


class Agent:
    """The platform's agent: serves the endpoint list, and accepts notifications."""

    def __init__(self, endpoint_list: dict[str, Any], limits: HttpLimits, observations: Observations) -> None:
        self._endpoint_list = endpoint_list
        self._limits = limits
        self._observations = observations
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def _serve(self, sock: socket.socket, _: object) -> None:
        connection = HttpConnection(sock, self._limits)
        try:
            while True:
                call = connection.read_request()
                if call.method == b"POST":
                    lines = call.body.splitlines()
                    self._observations.notified.update(orjson.loads(line)["id"] for line in lines)
                    connection.write(b"HTTP/1.1 204 X\r\n\r\n")
                else:
                    gevent.sleep(1.0)
                    body = orjson.dumps(self._endpoint_list)
                    connection.write(encode_message(b"HTTP/1.1 200 X", [], body))
        except (OSError, ConnectionClosedError, ProtocolError):
            connection.close()


class Client:
    """Submits one message after another, until its greenlet is killed."""

    def __init__(
        self,
        address: tuple[str, int],
        limits: HttpLimits,
        random: Random,
        observations: Observations,
        *,
        in_two_pieces: bool,
    ) -> None:
        self._address = address
        self._limits = limits
        self._random = random
        self._observations = observations
        self._in_two_pieces = in_two_pieces  # whether each request is sent in two pieces on a new connection
        self._connection: HttpConnection | None = None

    def run(self) -> None:
        """Submits messages without end."""
        while True:
            gevent.sleep(CLIENT_PAUSE_S * self._random.uniform(0.5, 1.5))
            self._observations.submitted += 1
            number = self._observations.submitted
            traffic_class = IDEMPOTENT_CLASS if number % 2 else DEDUPLICATED_CLASS
            self._submit(f"t{number}", traffic_class)

    def _submit(self, message_id: str, traffic_class: str) -> None:
        destination = self._random.randrange(NUMBER_OF_DESTINATIONS)
        headers = [
            (b"X-Trace-Id", message_id.encode()),
            (b"X-Qos", traffic_class.encode()),
            (b"X-Expires-In-Ms", b"12000"),
            (b"Idempotency-Key", message_id.encode()),
            (b"X-Route-To", b"dest=%d" % destination),
        ]
        try:
            connection = self._connect()
            self._write(connection, encode_message(b"POST /api HTTP/1.1", headers, b"x" * 200))
            response = connection.read_response()
            connection.finish_response()
        except (OSError, ConnectionClosedError, ProtocolError):
            self._observations.counts[f"at the door, {self._observations.signal.name}"] += 1
            self._connection = None
            return
        self._observations.record_response(message_id, traffic_class, response.status)
        if not response.keep_alive:
            connection.close()
            self._connection = None

    def _connect(self) -> HttpConnection:
        """Returns the kept connection if it is still open and requests are not split, otherwise a new one."""
        idle_connection = self._connection
        if idle_connection is not None and not self._in_two_pieces and idle_connection.is_idle():
            return idle_connection
        if idle_connection is not None:
            idle_connection.close()
        self._connection = HttpConnection(socket.create_connection(self._address), self._limits)
        return self._connection

    def _write(self, connection: HttpConnection, data: bytes) -> None:
        if not self._in_two_pieces:
            connection.write(data)
            return
        gevent.sleep(self._random.uniform(0, 0.8))
        connection.write(data[:FIRST_PIECE])
        gevent.sleep(self._random.uniform(0, 0.4))
        connection.write(data[FIRST_PIECE:])
