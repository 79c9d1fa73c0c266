"""One attempt to deliver a message: its progress and its result.

The policy runner creates an `Attempt` and passes it to `AttemptRunner.start` together with its
`AttemptOwner`. Each attempt ends in exactly one call of `AttemptOwner.attempt_finished`, also after an
unexpected error.
"""

from __future__ import annotations

from typing import Protocol

from gevent import Greenlet
from msgspec import Struct

from ashpath.core.interface import AttemptOutcome, LoadReport
from ashpath.server.delivery.endpoint_connection import EndpointConnection
from ashpath.server.delivery.errors import AttemptCancelledError, AttemptError
from ashpath.server.delivery.response_attribution import ResultOwner
from ashpath.server.http.messages import HttpResponse
from ashpath.server.storage.stored_message import StoredMessage


class Attempt(Struct, eq=False):
    """An attempt in progress: it ends with a `response`, with a `failure`, or with both (a late success)."""

    message: StoredMessage
    endpoint_id: str
    deadline: int
    """Microseconds of the monotonic clock."""
    timeout: int
    """Microseconds from the start of the attempt to its deadline."""
    written: bool = False
    """The request was written to its last byte, so the endpoint may have run it."""
    new_connection: bool = False
    """The request is the first one on its connection."""
    response_time: int = 0
    """Microseconds from the request to the response."""
    provisional: bool = False
    """The response may be that of the request before this one on the connection."""
    ordered: bool = False
    """Messages with the ordering key of this message are sent one at a time."""
    settle_time: int = 0
    """Microseconds for which the key rests after an attempt of another message that may still run."""
    needs_certainty: bool = False
    """Other messages wait for the result, and would wait longer for one that is provisional."""
    connection: EndpointConnection | None = None
    """The connection of the attempt; the runner returns it to the pool or closes it."""
    response: HttpResponse | None = None
    failure: AttemptError | None = None
    greenlet: Greenlet[..., None] | None = None
    """The greenlet that runs the attempt; None before the start."""
    greenlet_started: bool = False
    """The greenlet has run for the first time; a kill before that would end it without a report."""

    def cancel(self) -> None:
        """Ends the attempt when its greenlet runs next, unless it has ended by then; does not switch."""
        if self.greenlet is None or not self.greenlet_started:
            self.failure = AttemptCancelledError()
        elif self.response is None and self.failure is None:
            self.greenlet.kill(AttemptCancelledError, block=False)


class AttemptResult(Struct, frozen=True):
    """How an attempt ended, in the policy's terms."""

    outcome: AttemptOutcome
    retry_after: int = 0
    """Microseconds in which the endpoint asks for no further attempt; 0 if it sent no Retry-After."""
    final: bool = False
    """This attempt is the last one of its message."""
    load_report: LoadReport | None = None
    provisional: bool = False
    """The response may be another request's: the result may still be put in doubt."""


class AttemptOwner(ResultOwner, Protocol):
    """The starter of an attempt: confirms the attempt before its first byte, and receives the result."""

    def still_valid(self, message: StoredMessage) -> bool:
        """Whether the attempt may still be written, now that its connection is established."""

    def record_attempt(self, attempt: Attempt) -> bool:
        """Records the attempt just before its first byte; returns False if that fails."""

    def before_first_byte(self, attempt: Attempt) -> None:
        """Checks the sender's own books; changes nothing, and does not switch greenlets."""

    def attempt_finished(self, attempt: Attempt, result: AttemptResult) -> None:
        """Receives the result; called exactly once for each attempt, in the attempt's own greenlet."""
