"""A real sender, and a destination that asks for a wait in one of many ways: counts calls during the wait.

The endpoints of the destination answer 200 until `WARM_UP_CALLS` have come; the next call on a connection
that was used before gets the writes of a `Case`. A call counts as late if its last byte arrives more than
`SLACK_S` after the response with the Retry-After was written, and `END_SLACK_S` or more before its wait ends.
"""

from __future__ import annotations

from pathlib import Path
from time import monotonic

import gevent
from gevent import socket
from msgspec import Struct

from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from support.sender_harness import LIMITS, SenderHarness, wait_until

WAIT_S = 1.2
SLACK_S = 0.1  # the protocol lets calls through that arrive within this time of the response
END_SLACK_S = 0.02
WARM_UP_CALLS = 15
PROCESSING_S = 0.01
REQUEST_INTERVAL_S = 0.01
DESTINATION = 1

DELIVERED = encode_message(b"HTTP/1.1 200 OK", [], b"")
RETRY_AFTER_HEADERS = [(b"Retry-After", b"%.3f" % WAIT_S), (b"Endpoint-Load-Metrics", b"TEXT x0=0.4, x1=250")]
REFUSED = encode_message(b"HTTP/1.1 429 Too Many Requests", RETRY_AFTER_HEADERS, b"")
UNAVAILABLE = encode_message(b"HTTP/1.1 503 X", RETRY_AFTER_HEADERS, b"")
CUT_BODY = encode_message(b"HTTP/1.1 429 Too Many Requests", RETRY_AFTER_HEADERS, b"b" * 50)[:-40]
RANDOM_BYTES = bytes(range(0x80, 0x90))
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


class Write(Struct, frozen=True):
    """Bytes that the endpoint writes, `after_s` seconds after the write before, or after the request."""

    data: bytes
    after_s: float = 0.0
    begins_wait: bool = False
    """The head of the response with the Retry-After is complete with this write."""


class Case(Struct, frozen=True):
    """What the endpoint writes for one call."""

    name: str
    writes: tuple[Write, ...]
    closes: bool = False
    """The endpoint closes the connection after the last write."""


def wait(data: bytes, after_s: float = 0.0) -> Write:
    """Returns the write that completes the head with the Retry-After."""
    return Write(data, after_s, begins_wait=True)


class PlayResult(Struct, frozen=True):
    """What the endpoints saw."""

    calls_in_wait: int
    calls_after_wait: int


class RetryAfterPlay:
    """One sender, two endpoints of one destination, and clients that submit without pause."""

    def __init__(self, folder: Path, case: Case) -> None:
        folder.mkdir(parents=True)
        self.case = case
        self.harness = SenderHarness(folder, endpoint_count=0)
        members = [self.harness.member(number) | {"cell": DESTINATION} for number in (1, 2)]
        self.harness.members = members
        self.harness.config["known"]["members"] = members
        self.harness.config["attempt_log"] = True
        self.harness.configure()
        self.harness.servers[0].set_handle(self._serve)
        self.arrivals: list[float] = []
        self.wait_began_at = 0.0
        self._is_triggered = False
        self._submitted = 0

    def play(self) -> PlayResult:
        """Runs the play and ends its processes."""
        try:
            self.harness.start()
            clients = [gevent.spawn(self._submit_steadily) for _ in range(4)]
            wait_until(lambda: self.wait_began_at)
            gevent.sleep(self.wait_began_at + WAIT_S + 1.0 - monotonic())
            gevent.killall(clients)
        finally:
            self.harness.stop()
        began = self.wait_began_at
        late = [at for at in self.arrivals if began + SLACK_S < at < began + WAIT_S - END_SLACK_S]
        after = [at for at in self.arrivals if at >= began + WAIT_S - END_SLACK_S]
        return PlayResult(len(late), len(after))

    def _submit_steadily(self) -> None:
        while True:
            self._submitted += 1
            self.harness.submit(f"m{self._submitted}", "free", "200", DESTINATION)
            gevent.sleep(4 * REQUEST_INTERVAL_S)

    def _serve(self, sock: socket.socket, _: object) -> None:
        connection = HttpConnection(sock, LIMITS.http)
        requests = 0
        try:
            while True:
                connection.read_request()
                requests += 1
                self.arrivals.append(monotonic())
                if requests > 1 and len(self.arrivals) > WARM_UP_CALLS and not self._is_triggered:
                    self._is_triggered = True
                    self._write_case(connection)
                else:
                    gevent.sleep(PROCESSING_S)
                    connection.write(DELIVERED)
        except (OSError, ConnectionClosedError, ProtocolError):
            connection.close()

    def _write_case(self, connection: HttpConnection) -> None:
        for write in self.case.writes:
            gevent.sleep(write.after_s)
            if write.begins_wait:
                self.wait_began_at = monotonic()  # also if the sender has closed the connection by now
            connection.write(write.data)
        if self.case.closes:
            raise ConnectionClosedError
