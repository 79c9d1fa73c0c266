"""One client connection: reads requests one after the other, responds to each, and closes gracefully.

The head of `connection_table.py` lists the states of a connection and their transitions.
"""

from __future__ import annotations

from contextlib import suppress
from http import HTTPStatus
from time import monotonic

from gevent import Timeout
from msgspec import Struct

from ashpath.server.http.availability import Availability
from ashpath.server.http.client_socket import ClientSocket
from ashpath.server.http.close_reason import ClientCloseReason
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
from ashpath.server.limits.client_connections import ClientConnectionLimits
from ashpath.server.logs import Logger

# Bound once: the access to an enumeration's member costs as much as the state transition that uses it.
AWAITING_FIRST_REQUEST = ConnectionState.AWAITING_FIRST_REQUEST
IDLE = ConnectionState.IDLE
READING = ConnectionState.READING
RESPONDING = ConnectionState.RESPONDING
REJECTING = ConnectionState.REJECTING


class ClientServices(Struct, frozen=True):
    """Services shared by all connections of a listener, in one object as there may be thousands of them."""

    table: ConnectionTable
    handler: RequestHandler
    availability: Availability
    limits: ClientConnectionLimits
    logger: Logger


class ClientConnection:
    """Serves a client connection until either side ends it."""

    __slots__ = ("before_first_request", "close_reason", "connection", "draining", "services")

    def __init__(self, connection: ClientSocket, services: ClientServices) -> None:
        self.connection = connection
        self.services = services
        self.before_first_request = True  # no request has been read yet
        self.close_reason = ClientCloseReason.CLIENT_LEFT  # until another one is known
        self.draining = False  # the input after this side's half-close is being drained, or has been

    def serve(self) -> None:
        """Serves requests until the connection ends. The caller closes the connection."""
        try:
            while not self.connection.unusable and self.exchange():
                self.before_first_request = False
        except (OSError, ConnectionClosedError):
            pass
        except Exception:
            self.services.logger.exception("unexpected error")
            self.connection.buffer.clear()
            self.close_reason = ClientCloseReason.ERROR
            self.reject(500)
        else:
            self.half_close_and_drain()

    def exchange(self) -> bool:
        """Reads one request and responds to it; returns whether the connection is kept."""
        waiting_since = self.await_bytes()
        if not len(self.connection.buffer) or self.connection.unusable:
            self.note_end_between_requests()
            return False
        self.services.table.enter(self.connection, READING)
        try:
            request = self.read_request(waiting_since)
        except ConnectionResetError:
            if self.connection.eof_received:  # the client half-closed within a request, and may still read
                self.write(encode_response(400, keep_alive=False))
            return False
        except ProtocolError as error:
            self.close_reason = ClientCloseReason.REJECTED
            self.services.table.rejections[type(error).__name__] += 1
            self.connection.buffer.clear()
            self.reject(error.status)
            return False
        return self.respond(request)

    def note_end_between_requests(self) -> None:
        """Records why no further request is read."""
        if self.connection.unusable:
            self.close_reason = ClientCloseReason.HALF_CLOSED
        elif not self.connection.eof_received:
            self.close_reason = ClientCloseReason.IDLE_LIMIT

    def await_bytes(self) -> float:
        """Waits for the first bytes of a request, for at most the time that a client may be idle.

        Returns the start of the wait, in seconds of the monotonic clock."""
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
            connection.receive()  # bytes arrived as the time ended: a close would leave them unread
        return since

    def read_request(self, waiting_since: float) -> HttpRequest:
        """Returns the next request once it is complete.

        Raises ProtocolError if the request is invalid or late, ConnectionClosedError and OSError."""
        # The time of a first request counts from the accept: limits clients that send byte by byte.
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
            if monotonic() >= self.services.availability.respond_by:  # the client retries at another process
                raise ShutdownDuringRequestError from timeout
            raise RequestTimeoutError from timeout
        return request

    def respond(self, request: HttpRequest) -> bool:
        """Handles a request and writes its response; returns whether the connection is kept."""
        self.services.table.enter(self.connection, RESPONDING)
        reply = self.services.handler.handle(request, self.connection)
        if reply.accepted is not None:
            self.connection.has_accepted_messages = True
        keep_alive = request.keep_alive and self.may_be_kept()
        request.body_parts.clear()  # the write may wait for a client that does not read
        data = encode_response(
            reply.status, keep_alive=keep_alive, retry_after=reply.retry_after, body=reply.body
        )
        self.close_reason = ClientCloseReason.CLIENT_LEFT if keep_alive else ClientCloseReason.ANSWERED
        if not self.write(data):
            self.services.handler.response_lost(reply)
        return keep_alive

    def may_be_kept(self) -> bool:
        """Whether the sender wants another request on the connection."""
        if self.connection.unusable or not self.services.availability.ready:
            return False
        return self.connection.has_accepted_messages or not self.services.table.needs_room

    def reject(self, status: int) -> None:
        """Writes an error response, half-closes the connection and drains its input.

        A close with unread bytes would reset the connection, and the client could lose the response."""
        self.services.table.enter(self.connection, REJECTING)
        retry_after = self.services.handler.retry_after if status == HTTPStatus.SERVICE_UNAVAILABLE else 0
        if self.write(encode_response(status, keep_alive=False, retry_after=retry_after)):
            self.half_close_and_drain()

    def write(self, data: bytes) -> bool:
        """Writes bytes; returns False if the client has left or does not read them in time."""
        try:
            with Timeout(self.connection.limits.response_write_s):
                self.connection.write(data)
        except OSError:
            self.connection.unusable = True
            self.close_reason = ClientCloseReason.CLIENT_LEFT
            return False
        except Timeout:
            self.connection.unusable = True
            self.close_reason = ClientCloseReason.UNREAD_RESPONSE
            return False
        return True

    def half_close_and_drain(self) -> None:
        """Half-closes the connection and drains its input.

        A close with unread bytes would reset the connection: the client could lose the response just written.
        A client whose request crosses the half-close reads an orderly end without a response, and sends the
        request to another sender."""
        if self.connection.eof_received or self.draining:
            return
        self.draining = True
        self.services.table.half_close(self.connection)
        with suppress(OSError, Timeout), Timeout(self.connection.limits.response_write_s):
            self.connection.drain(self.services.limits.drain_bytes)
