"""Clients of a run: requests at a constant mean rate over persistent connections."""

from __future__ import annotations

from random import Random
from time import monotonic

import gevent

from ashpath.emulator.soak.records import Effect, SoakRecords, Submission
from ashpath.server import wire_names
from ashpath.server.http.connection import HttpConnection, open_connection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.limits.http import HttpLimits

RESPONSE_TIMEOUT_S = 0.4
MAX_IDLE_CONNECTIONS = 6
DEADLINES_S = (1.0, 2.5, 6.0)
CROWD_INTERVAL_S = 1.0  # between two replacements of idle connections that the sender closed
ORDERING_KEYS = ("", "", "a", "b")


class SoakClients:
    """The clients of one sender. They submit requests from `run` on until their greenlet is killed.

    `rate`: mean requests per second; `destinations`: the number of destinations; `body_bytes`: the least
    size of a body.
    """

    def __init__(
        self,
        sender: int,
        address: tuple[str, int],
        rate: float,
        destinations: int,
        records: SoakRecords,
        random: Random,
        limits: HttpLimits,
        body_bytes: int = 0,
    ) -> None:
        self.sender = sender
        self.address = address
        self.rate = rate
        self.destinations = destinations
        self._records = records
        self._random = random
        self._limits = limits
        self._body_bytes = body_bytes
        self._idle: list[HttpConnection] = []
        self._silent_connections: list[HttpConnection] = []
        self._number = 0

    def run(self) -> None:
        """Submits requests as a Poisson process. Never returns."""
        while True:
            gevent.sleep(self._random.expovariate(self.rate))
            gevent.spawn(self._submit, self._draw_submission())

    def connect_idle(self, count: int) -> None:
        """Opens `count` connections that send no request, or fewer if a connection fails."""
        for _ in range(count):
            try:
                self._silent_connections.append(open_connection(self.address, self._limits))
            except OSError:
                return

    def crowd(self, count: int) -> None:
        """Keeps `count` connections open that send no request, and replaces closed ones. Never returns."""
        while True:
            for connection in self._silent_connections:
                if not connection.is_idle():
                    connection.close()
            self._silent_connections = [one for one in self._silent_connections if not one.unusable]
            self.connect_idle(count - len(self._silent_connections))
            gevent.sleep(CROWD_INTERVAL_S)

    def _draw_submission(self) -> Submission:
        self._number += 1
        effect = self._random.choice(tuple(Effect))
        now = monotonic()
        return Submission(
            message_id=f"s{self.sender}-{self._number}",
            sender=self.sender,
            effect=effect,
            destination=self._random.randrange(self.destinations),
            ordering_key=self._random.choice(ORDERING_KEYS) if effect is Effect.DEDUPLICATED else "",
            sent_at=now,
            deadline_at=now + self._random.choice(DEADLINES_S),
        )

    def _submit(self, submission: Submission) -> None:
        connection = self._take_idle()
        submission.connection_is_new = connection is None
        try:
            with gevent.Timeout(RESPONSE_TIMEOUT_S):
                if connection is None:
                    connection = open_connection(self.address, self._limits)
                submission.sent_at = monotonic()
                self._records.submissions[submission.message_id] = submission
                connection.write(self._request(submission))
                submission.written = True
                response = connection.read_response()
                submission.status = response.status
                if response.status == 200:
                    connection.finish_response()
        except (ConnectionClosedError, ProtocolError, OSError) as error:
            submission.closed_unanswered = not isinstance(error, TimeoutError)
        except gevent.Timeout:
            pass
        submission.answered_at = monotonic()
        if connection is not None and submission.status and not connection.unusable and response.keep_alive:
            self._idle.append(connection)
        elif connection is not None:
            connection.close()

    def _take_idle(self) -> HttpConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_idle() and len(self._idle) < MAX_IDLE_CONNECTIONS:
                return connection
            connection.close()
        return None

    def _request(self, submission: Submission) -> bytes:
        left_ms = int((submission.deadline_at - submission.sent_at) * 1000)
        headers = [
            (wire_names.TRACE_ID_HEADER, submission.message_id.encode()),
            (wire_names.TRAFFIC_CLASS_HEADER, submission.effect.value.encode()),
            (wire_names.TIME_LEFT_HEADER, b"%d" % left_ms),
            (wire_names.DESTINATION_HEADER, b"dest=%d" % submission.destination),
            (wire_names.IDEMPOTENCY_KEY_HEADER, submission.message_id.encode()),
        ]
        if submission.ordering_key:
            headers.append((b"cookie", f"about={submission.ordering_key}".encode()))
        body = submission.message_id.encode().ljust(self._body_bytes)
        return encode_message(b"POST %s HTTP/1.1" % wire_names.SUBMIT_PATH, headers, body)
