"""One call at a destination, and the counts that a destination keeps for each client request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class CallResult(Enum):
    """The result of a call, as its caller sees it."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    RESET = "reset"
    REFUSED = "refused"
    """The connection was refused; the call did not reach the destination."""
    NO_RESPONSE = "nothing"


@dataclass(slots=True)
class RequestTally:
    """The counts of one client request at a destination, over all messages that carry it."""

    calls: int = 0
    effects: int = 0
    """Executions, without calls that were recognized as duplicates."""
    in_flight: int = 0
    overlapped: bool = False
    """Whether two calls were in flight at the same time."""


@dataclass(eq=False, slots=True)
class DestinationCall:
    """One call and its result. Times are in microseconds."""

    result: CallResult
    responds_after: int = 0
    """Time from the arrival to the response; NEVER if no response is sent."""
    retry_after: int = 0
    remaining_quota: float = -1.0
    """The remaining share of the rate limit, reported with `rate_limit`; negative if nothing is reported."""
    rate_limit: float = 0.0
    starts_at: int = 0
    """The time at which a worker starts the call."""
    tally: RequestTally | None = None
    idempotency_key: str | None = None
    has_effect: bool = False
    """Whether the call has had an effect or will have one."""
    key_is_new: bool = False
    """Whether this call was the one that stored its idempotency key."""
