"""An HTTP/1.1 server on loopback that answers a sender's calls according to the model of a destination.

Failures appear as they do on sockets: connections are reset, or stay open without a response.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

import gevent
from gevent import Timeout, socket
from gevent.server import StreamServer

from ashpath.core.time_units import SECOND
from ashpath.emulator.destination.calls import CallResult, DestinationCall
from ashpath.emulator.destination.model import DestinationModel
from ashpath.emulator.run_clock import RunClock
from ashpath.emulator.stand_ins import LOOPBACK
from ashpath.emulator.units import NEVER
from ashpath.server import wire_names
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.http.messages import HttpRequest
from ashpath.server.limits.http import HttpLimits

STATUS_LINES = {
    CallResult.OK: b"HTTP/1.1 200 OK",
    CallResult.ERROR: b"HTTP/1.1 500 Internal Server Error",
    CallResult.OVERLOADED: b"HTTP/1.1 503 Service Unavailable",
}
NOT_FOUND = b"HTTP/1.1 404 Not Found"
TOO_MANY_REQUESTS = b"HTTP/1.1 429 Too Many Requests"
LISTEN_BACKLOG = 512


class CallObserver(Protocol):
    """Receives the calls of a destination. Times are in microseconds of the run's clock."""

    def call_arrived(self, at: int, endpoint: str, message_id: str) -> None:
        """Records that a call has arrived completely."""

    def call_ended(
        self,
        at: int,
        endpoint: str,
        message_id: str,
        call: DestinationCall,
        arrived_at: int,
        *,
        was_answered: bool,
    ) -> None:
        """Records that the response has been written or that the caller has disconnected."""


def no_latency() -> float:
    """Returns the one-way latency in microseconds where no network is emulated."""
    return 0.0


class DestinationServer:
    """The server of one endpoint, which listens from its construction until `stop`.

    `latency` draws a one-way latency in microseconds.
    """

    def __init__(
        self,
        model: DestinationModel,
        endpoint: str,
        limits: HttpLimits,
        clock: RunClock,
        observer: CallObserver | None = None,
        latency: Callable[[], float] = no_latency,
    ) -> None:
        self._model = model
        self._endpoint = endpoint
        self._limits = limits
        self._clock = clock
        self._observer = observer
        self._latency = latency
        self._connections: dict[HttpConnection, None] = {}  # open ones, as an ordered set
        self._server = StreamServer((LOOPBACK, 0), self._serve, backlog=LISTEN_BACKLOG)
        self._server.start()
        self.address = f"{LOOPBACK}:{self._server.server_port}"

    def replace_by(self, endpoint: str) -> None:
        """Resets all connections and serves another endpoint of the destination at the same address."""
        self.reset_connections()
        self._endpoint = endpoint

    def reset_connections(self) -> None:
        """Resets all connections, as a crash of the process does."""
        for connection in list(self._connections):
            _reset(connection.sock)

    def stop(self) -> None:
        """Closes the listening socket and all connections."""
        self._server.stop(timeout=0)
        for connection in list(self._connections):
            connection.close()

    def _serve(self, sock: socket.socket, _: object) -> None:
        max_connections = self._model.properties.max_connections
        if self._model.faults.down or (max_connections and len(self._connections) >= max_connections):
            _reset(sock)
            return
        connection = HttpConnection(sock, self._limits)
        self._connections[connection] = None
        try:
            new_connection = True
            while self._handle(connection, connection.read_request(), new_connection):
                new_connection = False
        except (OSError, ConnectionClosedError, ProtocolError):
            pass
        finally:
            self._connections.pop(connection, None)
            connection.close()

    def _handle(self, connection: HttpConnection, request: HttpRequest, new_connection: bool) -> bool:
        """Handles one request and returns whether the connection stays open."""
        if request.path != wire_names.DELIVERY_PATH:
            connection.write(encode_message(NOT_FOUND, [], b""))
            return request.keep_alive
        message_id = request.headers.get(wire_names.TRACE_ID_HEADER, b"").decode("latin-1")
        key = request.headers.get(wire_names.IDEMPOTENCY_KEY_HEADER)
        gevent.sleep(self._latency() / SECOND)
        arrived_at = self._clock.now()
        call = self._model.call_arrived(
            arrived_at,
            self._endpoint,
            message_id,
            _traffic_class(request.body),
            None if key is None else key.decode("latin-1"),
            new_connection,
        )
        if self._observer is not None:
            self._observer.call_arrived(self._clock.now(), self._endpoint, message_id)
        was_answered = False
        try:
            if not _caller_disconnects(connection, call.responds_after):
                was_answered = self._respond(connection, call)
        finally:
            self._model.call_ended(self._clock.now(), call, message_id)
            if self._observer is not None:
                self._observer.call_ended(
                    self._clock.now(), self._endpoint, message_id, call, arrived_at, was_answered=was_answered
                )
        return was_answered and request.keep_alive and not connection.unusable

    def _respond(self, connection: HttpConnection, call: DestinationCall) -> bool:
        """Writes the response or resets the connection, as the model determines.

        Returns False if the caller disconnects first.
        """
        if call.result in (CallResult.RESET, CallResult.REFUSED) or self._model.faults.down:
            connection.unusable = True
            _reset(connection.sock)
            return True
        if self._model.is_unresponsive(self._clock.now()):
            return not _caller_disconnects(connection, NEVER)
        gevent.sleep(self._latency() / SECOND)
        if connection.closed_by_peer():
            return False
        connection.write(_encode_response(call))
        return True


def _traffic_class(body: bytes) -> int:
    """Returns the number of the traffic class at the start of an emulated client's body, or 0 without one."""
    number = body[:2].strip()
    return int(number) if number.isdigit() else 0


def _caller_disconnects(connection: HttpConnection, within: int) -> bool:
    """Returns whether the caller disconnects or sends more bytes within that many microseconds.

    Waits without a timeout for NEVER. After a pause of this process, the timeout may come before the caller's
    disconnect is read.
    """
    with suppress(Timeout), Timeout(None if within >= NEVER else within / SECOND):
        connection.receive()
        return True
    return connection.closed_by_peer()


def _encode_response(call: DestinationCall) -> bytes:
    headers: list[tuple[bytes, bytes]] = []
    if call.retry_after:
        headers.append((wire_names.RETRY_AFTER_HEADER, b"%.3f" % (call.retry_after / SECOND)))
    if call.remaining_quota >= 0:
        report = f"TEXT x0={call.remaining_quota:.3f}, x1={call.rate_limit:g}"
        headers.append((wire_names.LOAD_REPORT_HEADER, report.encode()))
    status_line = TOO_MANY_REQUESTS if call.retry_after else STATUS_LINES[call.result]
    return encode_message(status_line, headers, b"")


def _reset(sock: socket.socket) -> None:
    """Closes a connection with a TCP reset, as a crash of the process does."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
