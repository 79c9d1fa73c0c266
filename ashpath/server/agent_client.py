"""Short calls to the platform's agent: polls of discovery, and notifications.

Each call has a connection of its own. A response belongs to a call by its connection alone, so one that comes
twice, or late, can never acknowledge the notifications of another call, or end another poll. The agent is on
the same machine, where a connection costs little.

Calls are not retried in this module; the caller decides when to try again.
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
    """Calls the agent, one call at a time."""

    def __init__(self, address: Address, limits: HttpLimits) -> None:
        self.address = address
        self.limits = limits
        self.connection: HttpConnection | None = None  # of the call in flight
        self.dialing: socket.socket | None = None  # the socket that is being dialed

    def change_address(self, address: Address) -> None:
        """Uses `address` for all further calls. A call in flight fails."""
        self.address = address
        self.abort()

    def abort(self) -> None:
        """Makes a call in flight fail."""
        if self.connection is not None:
            self.connection.close()
        if self.dialing is not None:
            self.dialing.close()  # the greenlet that dials gets an OSError

    def call(
        self, request_line: bytes, body: bytes, timeout_s: float, headers: Headers = ()
    ) -> HttpResponse | None:
        """Returns the response, or None if no readable response arrived within `timeout_s` seconds.

        Closes the connection in any case, also if an unexpected error is raised."""
        try:
            with Timeout(timeout_s):
                return self.exchange(request_line, body, headers)
        except (OSError, ConnectionClosedError, ProtocolError, Timeout):
            return None
        finally:
            self.close()

    def exchange(self, request_line: bytes, body: bytes, headers: Headers) -> HttpResponse:
        """Sends one request and returns the response. Raises OSError, ConnectionClosedError or
        ProtocolError."""
        address = self.address
        connection = self.connect(address)
        all_headers = [host_header(address), *headers]
        connection.write(encode_message(request_line, all_headers, body))
        response = connection.read_response()
        if not response.well_formed:
            raise UnreadableResponseError
        connection.finish_response()
        return response

    def connect(self, address: Address) -> HttpConnection:
        """Returns a new connection. Raises OSError if dialing fails."""
        self.dialing = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.connection = dial(self.dialing, address, self.limits)
        finally:
            self.dialing = None
        return self.connection

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
