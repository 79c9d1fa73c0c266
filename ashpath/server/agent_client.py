"""Short calls to the platform's agent: the directory's watch and the notices."""

from __future__ import annotations

from collections.abc import Sequence

from gevent import Timeout

from ashpath.server.delivery.connection_pool import Address
from ashpath.server.http.codec import (
    ConnectionClosedError,
    HttpConnection,
    HttpMessage,
    ProtocolError,
    dial,
    encode_message,
    host_header,
)
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

    def call(self, first: bytes, body: bytes, patience: float, headers: Headers = ()) -> HttpMessage | None:
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
                    self.connection = dial(self.connected_address, self.limits)
                self.connection.write(
                    encode_message(first, [host_header(self.connected_address), *headers], body)
                )
                answer = self.connection.read_answer()
                if not answer.sound:
                    raise ProtocolError(400, "an answer that cannot be read")
                self.connection.finish_answer()
        except (OSError, ConnectionClosedError, ProtocolError, Timeout):
            self.close()
            return None
        if not answer.keep:
            self.close()
        return answer

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
