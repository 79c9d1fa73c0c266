"""Plays the model of a destination over HTTP/1.1 on loopback, as a sender calls it.

Failures are as sockets have them: connections that are reset, and open ones that say nothing.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

import gevent
from gevent import Timeout, socket
from gevent.server import StreamServer

from ashpath.emulator.destination.calls import CallResult, DestinationCall
from ashpath.emulator.destination.model import DestinationModel
from ashpath.emulator.run_clock import RunClock
from ashpath.emulator.stand_ins import LOOPBACK
from ashpath.emulator.units import NEVER, SECOND
from ashpath.server import wire_names
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.http.messages import HttpRequest
from ashpath.server.limits import ServerLimits

STATUS_LINES = {
    CallResult.OK: b"HTTP/1.1 200 OK",
    CallResult.ERROR: b"HTTP/1.1 500 Internal Server Error",
    CallResult.OVERLOADED: b"HTTP/1.1 503 Service Unavailable",
}
NOT_FOUND = b"HTTP/1.1 404 Not Found"
TOO_MANY_REQUESTS = b"HTTP/1.1 429 Too Many Requests"
LISTEN_BACKLOG = 512


class CallObserver(Protocol):
    """Who is notified of each call at a destination. Times are microseconds of the run's clock."""

    def call_arrived(self, at: int, endpoint: str, message_id: str) -> None:
        """A call has come in whole."""

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
        """The response is written, or the caller has gone."""


def no_latency() -> float:
    """Microseconds that a message takes where no network is emulated."""
    return 0.0


class DestinationServer:
    """One endpoint of a destination, from its making to `stop`. `latency` is microseconds each way, drawn."""

    def __init__(
        self,
        model: DestinationModel,
        endpoint: str,
        limits: ServerLimits,
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
        self._connections: dict[HttpConnection, None] = {}  # emptied as connections close
        self._server = StreamServer((LOOPBACK, 0), self._serve, backlog=LISTEN_BACKLOG)
        self._server.start()
        self.address = f"{LOOPBACK}:{self._server.server_port}"

    def replace_by(self, endpoint: str) -> None:
        """Resets what is open; from now on another endpoint of the destination has the address."""
        self.reset_connections()
        self._endpoint = endpoint

    def reset_connections(self) -> None:
        """Resets what is open, as a machine that goes down and is seen to."""
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
        """One call and its response; whether the connection goes on."""
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
        """The response, if this end still answers; whether its caller can receive it."""
        if call.result in (CallResult.RESET, CallResult.REFUSED) or self._model.faults.down:
            connection.unusable = True
            _reset(connection.sock)
            return True
        if self._model.is_unresponsive(self._clock.now()):
            return not _caller_disconnects(connection, NEVER)
        gevent.sleep(self._latency() / SECOND)
        connection.write(_encode_response(call))
        return True


def _traffic_class(body: bytes) -> int:
    """Bodies of stand-in clients begin with the number of the traffic class."""
    number = body[:2].strip()
    return int(number) if number.isdigit() else 0


def _caller_disconnects(connection: HttpConnection, within: int) -> bool:
    """Waits so many microseconds; True if the caller goes before."""
    with suppress(Timeout), Timeout(None if within >= NEVER else within / SECOND):
        connection.receive()
        return True
    return False


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
    """Ends a connection as a process that died does."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
