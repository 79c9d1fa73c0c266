"""One client's connection: requests read one after the other, each with its response, and the end in order.

`connection_table.py` has its states and their transitions first.
"""

from __future__ import annotations

from contextlib import suppress
from time import monotonic

from gevent import Timeout
from msgspec import Struct

from ashpath.server.http.availability import Availability
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.connection_table import ConnectionState, ConnectionTable
from ashpath.server.http.encoding import encode_response
from ashpath.server.http.errors import (
    ConnectionClosedError,
    ProtocolError,
    RequestTimeoutError,
    ShutdownDuringRequestError,
    TrailingBytesError,
)
from ashpath.server.http.messages import HttpRequest
from ashpath.server.http.request_handler import RequestHandler
from ashpath.server.limits import ServerLimits
from ashpath.server.logs import Logger

# Bound once: an access to an enumeration's member costs as much as the move that it is for.
AWAITING_FIRST_REQUEST = ConnectionState.AWAITING_FIRST_REQUEST
IDLE = ConnectionState.IDLE
READING = ConnectionState.READING
RESPONDING = ConnectionState.RESPONDING
REJECTING = ConnectionState.REJECTING


class ClientServices(Struct, frozen=True):
    """What all connections of a listener share: one object, as there may be thousands of them."""

    table: ConnectionTable
    handler: RequestHandler
    availability: Availability
    limits: ServerLimits
    logger: Logger


class ClientConnection:
    """Serves a connection until either side ends it."""

    __slots__ = ("before_first_request", "connection", "draining", "services")

    def __init__(self, connection: HttpConnection, services: ClientServices) -> None:
        self.connection = connection
        self.services = services
        self.before_first_request = True  # no request has been read yet
        self.draining = False  # what came after this side's end has been read, or is being read

    def serve(self) -> None:
        """Runs to the end of the connection, whose owner closes it."""
        try:
            while not self.connection.unusable and self.exchange():
                self.before_first_request = False
        except (OSError, ConnectionClosedError):
            pass
        except Exception:
            self.services.logger.exception("unexpected error")
            self.reject(500)
        else:
            self.half_close_and_drain()

    def exchange(self) -> bool:
        """One request and its response; whether the connection goes on."""
        waiting_since = self.await_bytes()
        if not len(self.connection.buffer) or self.connection.unusable:
            return False  # closed, or silent for too long, or drained: what came after that is not read
        self.services.table.enter(self.connection, READING)
        try:
            request = self.read_request(waiting_since)
        except ConnectionResetError:
            if self.connection.eof_received:  # within a request, by a client that may still read
                self.write(encode_response(400, keep_alive=False))
            return False
        except ProtocolError as error:
            self.reject(error.status)
            return False
        return self.respond(request)

    def await_bytes(self) -> float:
        """Waits for a request to begin, for so long as a client may be silent; when the wait began."""
        connection = self.connection
        state = AWAITING_FIRST_REQUEST if self.before_first_request else IDLE
        since = self.services.table.enter(connection, state)
        self.services.table.limit_idle()
        with (
            suppress(Timeout),
            Timeout(
                self.services.limits.request_s
                if self.before_first_request
                else self.services.limits.client_idle_s
            ),
        ):
            connection.receive()
        if not len(connection.buffer) and connection.peek_byte():
            connection.receive()  # it came as the time ended: closing on it would leave it unread
        return since

    def read_request(self, waiting_since: float) -> HttpRequest:
        """The request, whole and in time. Raises ProtocolError, ConnectionClosedError, OSError."""
        # A first request counts from the connection's start: guards against bytes that drip.
        time_left = self.services.limits.request_s - (
            monotonic() - waiting_since if self.before_first_request else 0.0
        )
        time_left = min(time_left, self.services.availability.respond_by - monotonic())
        try:
            with Timeout(max(0.0, time_left)):
                request = self.connection.read_request()
                if len(self.connection.buffer) or self.connection.peek_byte():
                    raise TrailingBytesError
        except Timeout as timeout:
            if monotonic() >= self.services.availability.respond_by:  # its client goes to another process
                raise ShutdownDuringRequestError from timeout
            raise RequestTimeoutError from timeout
        return request

    def respond(self, request: HttpRequest) -> bool:
        """Handles a request and writes its response; whether the connection goes on."""
        keep_alive = request.keep_alive and not self.connection.unusable and self.services.availability.ready
        self.services.table.enter(self.connection, RESPONDING)
        reply = self.services.handler.handle(request, self.connection)
        data = encode_response(
            reply.status, keep_alive=keep_alive, retry_after=reply.retry_after, body=reply.body
        )
        if not self.write(data):
            self.services.handler.response_lost(reply)
        return keep_alive

    def reject(self, status: int) -> None:
        """A response, then the rest is read: closing on unread bytes would take the response back."""
        self.services.table.enter(self.connection, REJECTING)
        if self.write(encode_response(status, keep_alive=False)):
            self.half_close_and_drain()

    def write(self, data: bytes) -> bool:
        """False: the client had left, or did not take its response in time."""
        try:
            with Timeout(self.services.limits.response_write_s):
                self.connection.write(data)
        except (OSError, Timeout):
            self.connection.unusable = True
            return False
        return True

    def half_close_and_drain(self) -> None:
        """Ends a connection from this side. Guards a response just written, and a request that crosses the
        end: its client finds no response to it, on a connection that ended in order, and asks elsewhere."""
        if self.connection.eof_received or self.draining:
            return
        self.draining = True
        self.services.table.half_close(self.connection)
        with suppress(OSError, Timeout), Timeout(self.services.limits.response_write_s):
            self.connection.drain(self.services.limits.drain_bytes)
