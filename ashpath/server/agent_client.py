"""Short calls to the platform's agent: the directory's watch and the notices."""

from __future__ import annotations

from collections.abc import Sequence

from gevent import Timeout

from ashpath.server.delivery.connection_pool import Address
from ashpath.server.http.connection import HttpConnection, open_connection
from ashpath.server.http.encoding import encode_message, host_header
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError, UnreadableResponseError
from ashpath.server.http.messages import HttpResponse
from ashpath.server.limits import ServerLimits

Headers = Sequence[tuple[bytes, bytes]]


class AgentConnection:
    """One kept connection. A call that fails closes it; the caller tries again."""

    def __init__(self, address: Address, limits: ServerLimits) -> None:
        self.address, self.limits = address, limits
        self.connection: HttpConnection | None = None
        self.connected_address = address  # where the wire leads

    def move(self, address: Address) -> None:
        """From now on the agent is here: a call that is out fails, and its caller tries again."""
        self.address = address
        if self.connection is not None:
            self.connection.close()

    def call(self, first: bytes, body: bytes, patience: float, headers: Headers = ()) -> HttpResponse | None:
        """The answer, or None if none came in time."""
        try:
            with Timeout(patience):
                if (
                    self.connection is None
                    or self.connected_address != self.address
                    or not self.connection.is_quiet()
                ):
                    self.close()
                    self.connected_address = (
                        self.address
                    )  # guards a dial to the old address while `move` comes
                    self.connection = open_connection(self.connected_address, self.limits)
                self.connection.write(
                    encode_message(first, [host_header(self.connected_address), *headers], body)
                )
                answer = self.connection.read_response()
                if not answer.well_formed:
                    raise UnreadableResponseError
                self.connection.finish_response()
        except (OSError, ConnectionClosedError, ProtocolError, Timeout):
            self.close()
            return None
        if not answer.keep_alive:
            self.close()
        return answer

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
