"""Short calls to the platform's agent over one kept connection: polls of discovery, and notifications.

A call that fails closes the connection, and its caller decides when to try again; nothing is tried again
here.
"""

from __future__ import annotations

from collections.abc import Sequence

from gevent import Timeout, socket

from ashpath.server.addresses import Address
from ashpath.server.http.connection import HttpConnection, dial
from ashpath.server.http.encoding import encode_message, host_header
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError, UnreadableResponseError
from ashpath.server.http.messages import HttpResponse
from ashpath.server.limits import ServerLimits

Headers = Sequence[tuple[bytes, bytes]]


class AgentConnection:
    """One kept connection, for one call at a time."""

    def __init__(self, address: Address, limits: ServerLimits) -> None:
        self.address = address
        self.limits = limits
        self.connection: HttpConnection | None = None
        self.connected_address = address  # where the connection leads, or is being dialled to
        self.dialling: socket.socket | None = None  # while it is dialled

    def move(self, address: Address) -> None:
        """The agent is at `address` from now on: a call that is in flight fails."""
        self.address = address
        self.abort()

    def abort(self) -> None:
        """A call that is in flight fails; the next one is on another connection."""
        if self.connection is not None:
            self.connection.close()
        if self.dialling is not None:
            self.dialling.close()  # whose waiter is woken with an OSError

    def call(
        self, request_line: bytes, body: bytes, timeout_s: float, headers: Headers = ()
    ) -> HttpResponse | None:
        """The response, or None where none that can be read came within `timeout_s`."""
        try:
            with Timeout(timeout_s):
                response = self.exchange(request_line, body, headers)
        except (OSError, ConnectionClosedError, ProtocolError, Timeout):
            self.close()
            return None
        if not response.keep_alive:
            self.close()
        return response

    def exchange(self, request_line: bytes, body: bytes, headers: Headers) -> HttpResponse:
        """Raises OSError, ConnectionClosedError and ProtocolError."""
        connection = self.connect()
        all_headers = [host_header(self.connected_address), *headers]
        connection.write(encode_message(request_line, all_headers, body))
        response = connection.read_response()
        if not response.well_formed:
            raise UnreadableResponseError
        connection.finish_response()
        return response

    def connect(self) -> HttpConnection:
        """The kept connection where it can still be used, else a new one. Raises OSError."""
        kept = self.connection
        if kept is not None and self.connected_address == self.address and kept.is_idle():
            return kept
        self.close()
        self.connected_address = self.address  # before the dial, as `move` may come while it waits
        self.dialling = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.connection = dial(self.dialling, self.connected_address, self.limits)
        finally:
            self.dialling = None
        return self.connection

    def close(self) -> None:
        """Closes the kept connection, if there is one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
