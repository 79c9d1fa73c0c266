"""Passes on what a response says of its destination, whatever becomes of the request.

A response says two things: what became of one request, which depends on whether the response belongs to it,
and how its destination fares, which does not: the connection gives the endpoint, and the endpoint its
destination. This module takes the second from each head that was read whole, on whichever way it came, before
anything is decided on the request. The policy decides what is done with it (`policy/retry_after.py`).

Of what a response says, the Retry-After is passed on. Load reports come with the outcome of the attempt only.
"""

from __future__ import annotations

from enum import Enum
from time import monotonic
from typing import Protocol

from msgspec import Struct

from ashpath.core.time_units import SECOND
from ashpath.server.delivery.retry_after import retry_after
from ashpath.server.http.messages import HttpResponse
from ashpath.server.logs import Logger


class NoticeSource(Enum):
    """Where the head of a response was read."""

    RESPONSE = "response"
    """To the request that was out: an outcome of its attempt follows."""
    EXTRA = "extra"
    """On a connection without a request out."""
    GIVEN_UP = "given up"
    """On a connection whose request was given up."""


class NoticeOrigin(Protocol):
    """The connection on which a response came."""

    endpoint_id: str
    destination: int
    number: int
    requests: int
    last_trace_id: str


class RetryAfterNotice(Struct, frozen=True):
    """A destination asks not to be called."""

    destination: int
    endpoint_id: str
    retry_after: int
    """Microseconds from now."""
    outcome_follows: bool
    """The outcome of an attempt, which this response ended, is reported next."""


class NoticeReceiver(Protocol):
    """Receives the notices: the runner of the policy."""

    def retry_after_noticed(self, notice: RetryAfterNotice) -> int:
        """Returns for how many microseconds the notice binds. Does not switch greenlets."""


class HeardWaits:
    """The waits that this process has heard and that are in force, for a check of the policy's gates."""

    def __init__(self) -> None:
        self._until: dict[int, dict[str, float]] = {}  # by destination and endpoint; monotonic seconds

    def add(self, destination: int, endpoint_id: str, wait_s: float) -> None:
        """Adds a wait that begins now, and forgets destinations whose waits are over."""
        time = monotonic()
        self._until = {number: waits for number, waits in self._until.items() if max(waits.values()) > time}
        waits = self._until.setdefault(destination, {})
        waits[endpoint_id] = max(time + wait_s, waits.get(endpoint_id, 0.0))

    def is_in_force(self, destination: int, route: str | None) -> bool:
        """Returns whether a wait of the destination is in force, or of one endpoint if that is a `route`."""
        time = monotonic()
        waits = self._until.get(destination, {})
        return any(until > time and route in {None, endpoint_id} for endpoint_id, until in waits.items())


class ResponseNotices:
    """Reads, counts and logs the notices of all connections of one sender."""

    def __init__(self, logger: Logger) -> None:
        self.logger = logger
        self.receiver: NoticeReceiver | None = None
        self.waits = HeardWaits()
        self.heard: dict[NoticeSource, int] = dict.fromkeys(NoticeSource, 0)
        """Number of responses with a Retry-After."""
        self.dropped = 0
        """Number of connections that were closed within the head of a response."""

    def subscribe(self, receiver: NoticeReceiver) -> None:
        """Passes the notices to `receiver` from now on."""
        self.receiver = receiver

    def head_received(self, origin: NoticeOrigin, response: HttpResponse, source: NoticeSource) -> None:
        """Takes the head of a final response, before anything else is done with it."""
        wait = retry_after(response)
        if not wait or self.receiver is None:
            return
        self.heard[source] += 1
        notice = RetryAfterNotice(
            origin.destination, origin.endpoint_id, wait, outcome_follows=source is NoticeSource.RESPONSE
        )
        binds = self.receiver.retry_after_noticed(notice)
        self.waits.add(origin.destination, origin.endpoint_id, binds / SECOND)
        self.logger.info(
            "retry-after received",
            endpoint=origin.endpoint_id,
            destination=origin.destination,
            seconds=wait / SECOND,
            binds_s=binds / SECOND,
            source=source.value,
            connection=origin.number,
            requests=origin.requests,
            trace_id=origin.last_trace_id,
        )

    def head_dropped(self, origin: NoticeOrigin) -> None:
        """Records that a connection was closed within what may be the head of a response."""
        self.dropped += 1
        self.logger.info(
            "response head dropped",
            endpoint=origin.endpoint_id,
            destination=origin.destination,
            connection=origin.number,
            requests=origin.requests,
            trace_id=origin.last_trace_id,
        )
