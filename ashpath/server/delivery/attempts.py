"""One attempt at delivering a message: what is known of it on its way, and how it ended.

The policy runner creates an `Attempt` and hands it to `AttemptRunner.start` together with its `AttemptOwner`;
each attempt ends in exactly one call of `AttemptOwner.attempt_finished`, whatever happens on the way.
"""

from __future__ import annotations

from typing import Protocol

from gevent import Greenlet
from msgspec import Struct

from ashpath.core.interface import AttemptOutcome, LoadReport
from ashpath.server.delivery.errors import AttemptCancelledError, AttemptError
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.messages import HttpResponse
from ashpath.server.storage.stored_message import StoredMessage


class Attempt(Struct, eq=False):
    """An attempt on its way: it ends with a `response`, with a `failure`, or with both (a late success)."""

    message: StoredMessage
    endpoint_id: str
    deadline: int
    """Microseconds of the monotonic clock."""
    timeout: int
    """Microseconds from its start to its deadline."""
    written: bool = False
    """The last byte of the request is out, so that it may have run."""
    new_connection: bool = False
    """It is the first request on its connection."""
    ordered: bool = False
    """Messages of its ordering key are sent one at a time."""
    connection: HttpConnection | None = None
    """What carries it; the runner gives it back to the pool or closes it."""
    response: HttpResponse | None = None
    failure: AttemptError | None = None
    greenlet: Greenlet[..., None] | None = None
    """What carries it, once it was started."""
    greenlet_started: bool = False
    """Its greenlet has run."""

    def cancel(self) -> None:
        """Ends it as soon as its greenlet runs again, unless it has ended by then; does not switch."""
        if self.greenlet is None or not self.greenlet_started:
            self.failure = AttemptCancelledError()
        elif self.response is None and self.failure is None:
            self.greenlet.kill(AttemptCancelledError, block=False)


class AttemptResult(Struct, frozen=True):
    """How an attempt ended, in the policy's terms."""

    outcome: AttemptOutcome
    retry_after: int = 0
    """Microseconds in which the endpoint wants no further attempt; 0: it named none."""
    final: bool = False
    """The message is over with this attempt."""
    load_report: LoadReport | None = None


class AttemptOwner(Protocol):
    """Who starts an attempt: it is asked once more before the first byte, and told the end."""

    def still_valid(self, message: StoredMessage) -> bool:
        """Whether the attempt may still be written, now that its connection is up."""

    def attempt_finished(self, attempt: Attempt, result: AttemptResult) -> None:
        """Called exactly once an attempt, in the attempt's own greenlet."""
