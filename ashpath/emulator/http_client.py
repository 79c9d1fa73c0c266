"""An HTTP client with persistent connections to one sender.

Its errors distinguish a request that was not sent from one that the sender may have read.
"""

from __future__ import annotations

from collections.abc import Sequence

import gevent

from ashpath.emulator.errors import NotSentError, UnansweredError
from ashpath.server.http.connection import HttpConnection, open_connection
from ashpath.server.http.encoding import encode_message, host_header
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.http.messages import HttpResponse
from ashpath.server.limits.http import HttpLimits

Headers = Sequence[tuple[bytes, bytes]]


class HttpClient:
    """An HTTP client that keeps at most `max_idle` idle connections, or any number if `max_idle` is None."""

    def __init__(
        self, address: tuple[str, int], limits: HttpLimits, timeout_s: float, max_idle: int | None = None
    ) -> None:
        self.address = address
        self._limits = limits
        self._timeout_s = timeout_s
        self._max_idle = max_idle
        self._idle: list[HttpConnection] = []

    def request(self, first_line: bytes, headers: Headers = (), body: bytes = b"") -> HttpResponse:
        """Sends a request, and returns the response, with its body if the status is 200.

        Raises NotSentError if no connection was established, and UnansweredError after any later failure. A
        timeout raises one of the two.
        """
        connection: HttpConnection | None = None
        try:
            with gevent.Timeout(self._timeout_s):
                connection = self._take_idle() or open_connection(self.address, self._limits)
                message = encode_message(first_line, [host_header(self.address), *headers], body)
                connection.write(message)
                response = connection.read_response()
                if response.status == 200:
                    connection.finish_response()
        except (OSError, ConnectionClosedError, ProtocolError, gevent.Timeout) as error:
            if connection is None:
                raise NotSentError from error
            connection.close()
            raise UnansweredError from error
        has_room = self._max_idle is None or len(self._idle) < self._max_idle
        if response.keep_alive and not connection.unusable and has_room:
            self._idle.append(connection)
        else:
            connection.close()
        return response

    def _take_idle(self) -> HttpConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_idle():
                return connection
            connection.close()
        return None
