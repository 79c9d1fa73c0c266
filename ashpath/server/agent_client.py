"""Short calls to the platform's agent over one persistent connection: polls of discovery, and notifications.

A failed call closes the connection. Calls are not retried in this module; the caller decides when to try
again.
"""

from __future__ import annotations

from collections.abc import Sequence

from gevent import Timeout, socket

from ashpath.server.addresses import Address
from ashpath.server.http.connection import HttpConnection, dial
from ashpath.server.http.encoding import encode_message, host_header
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError, UnreadableResponseError
from ashpath.server.http.messages import HttpResponse
from ashpath.server.limits.http import HttpLimits

Headers = Sequence[tuple[bytes, bytes]]


class AgentConnection:
    """A persistent connection for one call at a time."""

    def __init__(self, address: Address, limits: HttpLimits) -> None:
        self.address = address
        self.limits = limits
        self.connection: HttpConnection | None = None
        self.connected_address = address  # of the connection, or of the one being dialed
        self.dialing: socket.socket | None = None  # the socket that is being dialed

    def change_address(self, address: Address) -> None:
        """Uses `address` for all further calls. A call in flight fails."""
        self.address = address
        self.abort()

    def abort(self) -> None:
        """Makes a call in flight fail. The next call uses another connection."""
        if self.connection is not None:
            self.connection.close()
        if self.dialing is not None:
            self.dialing.close()  # the greenlet that dials gets an OSError

    def call(
        self, request_line: bytes, body: bytes, timeout_s: float, headers: Headers = ()
    ) -> HttpResponse | None:
        """Returns the response, or None if no readable response arrived within `timeout_s` seconds.

        Closes the connection after every failure, also if an unexpected error is raised."""
        try:
            with Timeout(timeout_s):
                response = self.exchange(request_line, body, headers)
        except (OSError, ConnectionClosedError, ProtocolError, Timeout):
            self.close()
            return None
        except BaseException:
            self.close()  # a response may be partly read
            raise
        if not response.keep_alive:
            self.close()
        return response

    def exchange(self, request_line: bytes, body: bytes, headers: Headers) -> HttpResponse:
        """Sends one request and returns the response. Raises OSError, ConnectionClosedError or
        ProtocolError."""
        connection = self.connect()
        all_headers = [host_header(self.connected_address), *headers]
        connection.write(encode_message(request_line, all_headers, body))
        response = connection.read_response()
        if not response.well_formed:
            raise UnreadableResponseError
        connection.finish_response()
        return response

    def connect(self) -> HttpConnection:
        """Returns the persistent connection if it is still usable, otherwise a new one. Raises OSError if
        dialing fails."""
        kept = self.connection
        if kept is not None and self.connected_address == self.address and kept.is_idle():
            return kept
        self.close()
        self.connected_address = self.address  # before the dial, as `change_address` may be called meanwhile
        self.dialing = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.connection = dial(self.dialing, self.connected_address, self.limits)
        finally:
            self.dialing = None
        return self.connection

    def close(self) -> None:
        """Closes the persistent connection, if any."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
