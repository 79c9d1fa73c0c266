"""One call at a destination, and what a destination saw of one client request over all its calls."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class CallResult(Enum):
    """What the caller of a call meets in the end."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    RESET = "reset"
    REFUSED = "refused"
    """No connection: the call never came in."""
    NO_RESPONSE = "nothing"


@dataclass(slots=True)
class RequestTally:
    """What a destination saw of one client request, over all messages that carried it."""

    calls: int = 0
    effects: int = 0
    """Runs that were no recognised repeat."""
    in_flight: int = 0
    overlapped: bool = False
    """A second call was in flight beside the first."""


@dataclass(eq=False, slots=True)
class DestinationCall:
    """One call, and what it meets. Times are microseconds."""

    result: CallResult
    responds_after: int = 0
    """From its arrival; NEVER: no response comes."""
    retry_after: int = 0
    remaining_quota: float = -1.0
    """Of the rate limit, as reported together with `rate_limit`; below 0: nothing is reported."""
    rate_limit: float = 0.0
    starts_at: int = 0
    """When a worker begins with it."""
    tally: RequestTally | None = None
    idempotency_key: str | None = None
    has_effect: bool = False
    """It had an effect, or will."""
    key_is_new: bool = False
    """It put its key among those remembered."""
