"""A client that sends ordinary requests beside a crowd, and measures how it is served."""

from __future__ import annotations

from collections import Counter
from time import monotonic

import gevent
from gevent import Timeout
from msgspec import Struct, field

from ashpath.emulator.crowd.shapes import submit_head
from ashpath.server.http.connection import HttpConnection, open_connection
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.limits.http import HttpLimits

REQUEST_INTERVAL_S = 0.02
RESPONSE_TIMEOUT_S = 0.4
FIRST_NUMBER = 10_000_000  # of its messages, apart from those of a crowd
BODY_BYTES = 200
CONNECTION_ENDED = "connection ended"
TIMED_OUT = "timed out"


class ClientMeasurement(Struct):
    """How requests of the measured client ended."""

    outcomes: Counter[str] = field(default_factory=Counter)
    """Statuses, `CONNECTION_ENDED` and `TIMED_OUT`, by number of requests."""
    latencies_s: list[float] = field(default_factory=list)
    """Of requests with a response."""

    @property
    def requests(self) -> int:
        """Number of requests."""
        return self.outcomes.total()

    def share(self, outcome: str) -> float:
        """Returns the share of requests that ended so."""
        return self.outcomes[outcome] / max(1, self.requests)

    def percentile_s(self, percent: int) -> float:
        """Returns a percentile of the latencies; infinity without any."""
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)] if ordered else float("inf")


class MeasuredClient:
    """Sends a request each `REQUEST_INTERVAL_S` on a connection that it keeps, and sends each one once."""

    def __init__(self, address: tuple[str, int], limits: HttpLimits) -> None:
        self.address = address
        self.limits = limits
        self.connection: HttpConnection | None = None
        self.measurement = ClientMeasurement()
        self.number = FIRST_NUMBER

    def run(self, until: float) -> ClientMeasurement:
        """Sends requests until `until`, in seconds of the monotonic clock."""
        while monotonic() < until:
            due = monotonic() + REQUEST_INTERVAL_S
            self.submit()
            gevent.sleep(max(0.0, due - monotonic()))
        return self.measurement

    def submit(self) -> None:
        """Sends one request and records how it ended."""
        self.number += 1
        body = b"b" * BODY_BYTES
        request = submit_head(self.number, b"Content-Length: %d" % len(body)) + b"\r\n" + body
        began = monotonic()
        try:
            with Timeout(RESPONSE_TIMEOUT_S):
                if self.connection is None:
                    self.connection = open_connection(self.address, self.limits)
                self.connection.write(request)
                response = self.connection.read_response()
        except (OSError, ConnectionClosedError, ProtocolError):
            self.measurement.outcomes[CONNECTION_ENDED] += 1
            self.drop_connection()
            return
        except Timeout:
            self.measurement.outcomes[TIMED_OUT] += 1
            self.drop_connection()
            return
        self.measurement.latencies_s.append(monotonic() - began)
        self.measurement.outcomes[str(response.status)] += 1
        if not response.keep_alive:
            self.drop_connection()

    def drop_connection(self) -> None:
        """Closes the connection, so that the next request opens another one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
