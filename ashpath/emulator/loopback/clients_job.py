"""The interface between a run on loopback and its client process: a job in a file, and events, one a line."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct, field

ATTEMPT_SEPARATOR = "."
"""Separates the request's id from the number of the resubmission in the id of a resubmitted message."""


def request_id(message_id: str) -> str:
    """Returns the id of the request that a message carries."""
    return message_id.partition(ATTEMPT_SEPARATOR)[0]


class PlannedRequest(Struct, array_like=True, frozen=True):
    """One request, and the time of its first submission. Times are microseconds of the run's clock."""

    at: int
    id: str
    traffic_class_name: str
    traffic_class: int
    destination: int
    ordering_key: int | None
    deadline: int
    """Time from the first submission to the deadline."""


class ClientsJob(Struct, frozen=True):
    """The job of the clients of a run."""

    began: int
    """Start of the run on the monotonic clock, in microseconds."""
    seed: int
    senders: list[tuple[str, int]]
    notice_port: int = field(name="notices")
    requests: list[PlannedRequest] = field(name="rows")
    max_resubmissions: int = field(name="retries")
    backoff: int
    """Microseconds before the first resubmission without a Retry-After; doubled with each resubmission."""
    retry_after_share: float = field(name="heeds")
    """Share of the resubmissions that wait for Retry-After."""


class ClientEventKind(StrEnum):
    """Kinds of client events.

    The values are written in the output lines of the process and in the test cases.
    """

    REQUESTED = "asked"
    """A request was created."""
    UNANSWERED = "unanswered"
    """A submission received no response; the sender may have read it."""
    ANSWERED = "taken"
    """A submission received a response; the time of the event is that of the submission."""
    REJECTED = "bounced"
    FAILED = "aborted"
    GIVEN_UP = "lost"
    """The request is not submitted again."""


class ClientEvent(Struct, array_like=True, frozen=True):
    """One event. `message_id` is the request's own id for REQUESTED and GIVEN_UP."""

    at: int
    kind: ClientEventKind
    message_id: str
    sender: int = -1
    """Negative if no sender is known."""
