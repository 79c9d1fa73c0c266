"""Connections that the sender closes, and on which endpoints may still write.

| state | entered by | left by |
| --- | --- | --- |
| scanned | `close`: all that has arrived is searched for heads of responses | at once |
| listening | `close`, if more may come: the sending side is closed | the end of the connection, its time, |
| | | `close_oldest`, `MAX_SCANNED_BYTES` |
| closed | scanned, listening | |

By the protocol a call is given up when its connection is closed or its sending side is. The second lets the
endpoint end the connection as soon as it reads that, and the sender hear what was written before: a response
tells how its destination fares, even if nobody waits for it any more (`response_notices`).
"""

from __future__ import annotations

from time import monotonic

from msgspec import Struct

from ashpath.server.delivery.endpoint_connection import EndpointConnection
from ashpath.server.delivery.response_notices import NoticeSource, ResponseNotices
from ashpath.server.http.response_scanner import ResponseScanner

MAX_SCANNED_BYTES = 256 << 10  # of one connection


class Listening(Struct, frozen=True):
    """A connection whose sending side is closed."""

    until: float
    """Seconds of the monotonic clock."""
    scanner: ResponseScanner
    source: NoticeSource


class ClosingConnections:
    """The connections that are listened to, the one closed first in front."""

    def __init__(self, notices: ResponseNotices) -> None:
        self.notices = notices
        self._listening: dict[EndpointConnection, Listening] = {}

    def __len__(self) -> int:
        return len(self._listening)

    def close(self, connection: EndpointConnection, listen_s: float, capacity: int) -> None:
        """Closes a connection once `listen_s` seconds have passed, or earlier; at once if that is 0.

        `capacity`: the number of connections that may be listened to."""
        source = NoticeSource.GIVEN_UP if connection.awaits_response else NoticeSource.EXTRA
        scanner = ResponseScanner(connection.limits.head_bytes, MAX_SCANNED_BYTES)
        listening = Listening(monotonic() + listen_s, scanner, source)
        is_open = self._scan(connection, listening)
        if not is_open or listen_s <= 0 or capacity <= 0:
            self._end(connection, listening)
            return
        while len(self) >= capacity:
            self.close_oldest()
        self._listening[connection] = listening
        connection.half_close()
        connection.watch(lambda: self._readable(connection))

    def close_oldest(self) -> bool:
        """Closes the connection that has been listened to for longest. Returns False if there is none."""
        oldest = next(iter(self._listening), None)
        if oldest is None:
            return False
        self._end(oldest, self._listening.pop(oldest))
        return True

    def sweep(self) -> None:
        """Closes the connections whose time has passed."""
        time = monotonic()
        for connection, listening in list(self._listening.items()):
            if listening.until <= time:
                self._end(connection, self._listening.pop(connection))

    def _readable(self, connection: EndpointConnection) -> None:
        listening = self._listening[connection]
        if not self._scan(connection, listening):
            self._end(connection, self._listening.pop(connection))

    def _scan(self, connection: EndpointConnection, listening: Listening) -> bool:
        """Reads all that has arrived. Returns whether more may come."""
        scanner = listening.scanner
        for response in scanner.feed(connection.take_received(scanner.bytes_left)):
            self.notices.head_received(connection, response, listening.source)
        return not connection.eof_received and scanner.bytes_left > 0

    def _end(self, connection: EndpointConnection, listening: Listening) -> None:
        if listening.scanner.has_partial_head:
            self.notices.head_dropped(connection)
        connection.close()
