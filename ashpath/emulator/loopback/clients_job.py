"""What passes between a run on loopback and the process of its clients: a job in a file, and events line
by line."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct, field

ATTEMPT_SEPARATOR = "."
"""A request that is submitted again has an id of its own: the request's, this, and the number of the
resubmission."""


def request_id(message_id: str) -> str:
    """The id of the request that a message carries."""
    return message_id.partition(ATTEMPT_SEPARATOR)[0]


class PlannedRequest(Struct, array_like=True, frozen=True):
    """One request, and when it is submitted first. Times are microseconds of the run's clock."""

    at: int
    id: str
    traffic_class_name: str
    traffic_class: int
    destination: int
    ordering_key: int | None
    deadline: int
    """From its submission."""


class ClientsJob(Struct, frozen=True):
    """What the clients of a run do."""

    began: int
    """The run's beginning on the machine's monotonic clock, in microseconds."""
    seed: int
    senders: list[tuple[str, int]]
    notice_port: int = field(name="notices")
    requests: list[PlannedRequest] = field(name="rows")
    max_resubmissions: int = field(name="retries")
    backoff: int
    """Microseconds before the first resubmission, where there is no Retry-After; doubled each time."""
    retry_after_share: float = field(name="heeds")
    """Of clients that heed Retry-After."""


class ClientEventKind(StrEnum):
    """What a client did or learned.

    The values are the names in lines of the process and in the tests' cases.
    """

    REQUESTED = "asked"
    """A request was created."""
    UNANSWERED = "unanswered"
    """A submission went out, and whether it was read nobody knows."""
    ANSWERED = "taken"
    """A submission has an answer; the time is that of the submission."""
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
    """Below 0 where no sender is known."""
