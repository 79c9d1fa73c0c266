"""The bench's wire: its names for events, actions and outcomes, and what stands in the body of each.

Times are milliseconds there, and whole microseconds in the policy.
"""

from __future__ import annotations

from typing import Any, TypedDict

from ashpath.core.interface import AttemptOutcome, EndpointRecord, EndpointStatus

Row = dict[str, Any]
"""A JSON object as it came in, or goes out."""


class EventName:
    """What happens to an instance."""

    LIST_REGISTERED = "Register"  # for all instances of the process
    INSTANCE_STARTED = "Hello"
    INSTANCE_STOPPED = "PowerOff"
    SUBMITTED = "JobIn"
    ATTEMPT_FINISHED = "Returned"
    TIMER_FIRED = "Wake"
    CLIENT_DISCONNECTED = "Gone"
    ENDPOINTS_CHANGED = "BackendsChanged"
    GOSSIP_RECEIVED = "Memo"
    CONNECTION_ESTABLISHED = "Established"
    LOAD_SAMPLED = "Sampled"


IGNORED_EVENTS = (EventName.CONNECTION_ESTABLISHED, EventName.LOAD_SAMPLED)


class ActionName:
    """What an instance does."""

    START_ATTEMPT = "CallOut"
    REJECT = "TurnAway"
    FAIL = "Fail"
    CANCEL_ATTEMPT = "Withdraw"
    CLOSE_IDLE_CONNECTIONS = "Release"
    SCHEDULE_TIMER = "Timer"
    POLL_ENDPOINTS = "Observe"
    PUBLISH = "Notify"
    LOG = "WriteLog"
    FAULT = "BailOut"


OUTCOMES = {
    "Ok": AttemptOutcome.DELIVERED,
    "Failed": AttemptOutcome.ERROR,
    "QueueFull": AttemptOutcome.OVERLOADED,
    "TimedOut": AttemptOutcome.TIMED_OUT,
    "ConnectError": AttemptOutcome.CONNECT_FAILED,
    "ResetByPeer": AttemptOutcome.CONNECTION_RESET,
    "Canceled": AttemptOutcome.CANCELLED,
    "Ignored": AttemptOutcome.NOT_SENT,
}
OVERLOADED = "QueueFull"
STATUSES = {"IN": EndpointStatus.ACTIVE, "LAME": EndpointStatus.DRAINING, "OUT": EndpointStatus.REMOVED}
POLL_FAILED = "failed"
"""Of a change of endpoints: the list could not be had."""
LIST_CHANGED = "delta"
"""Of a change of endpoints: only what changed; else the list is whole."""
ALL_SENDERS = -1

SubmittedBody = TypedDict(
    "SubmittedBody", {"rid": int, "addressee-no": int, "priority": int, "key": int | None, "ttl": float}
)
AttemptFinishedBody = TypedDict(
    "AttemptFinishedBody",
    {"rid": int, "outcome": str, "remark-ms": float | None, "complete": bool, "stats": list[float] | None},
)
"""`remark-ms` is a Retry-After where the outcome is OVERLOADED; `stats` the fields of a load report."""


class TimerFiredBody(TypedDict):
    """The token that the policy gave the timer."""

    ref: str


class ClientDisconnectedBody(TypedDict):
    """The message that nobody wants any more."""

    rid: int


class GossipReceivedBody(TypedDict):
    """Hexadecimal digits."""

    contents: str


class EndpointsChangedBody(TypedDict):
    """`sheet` is the number of a registered list."""

    kind: str
    sheet: int


def endpoint_record(row: Row) -> EndpointRecord:
    """A row of an endpoint list."""
    return EndpointRecord(
        endpoint_id=row["endpoint"],
        destination=row["cell"],
        kind=row.get("hw") or 0,
        zone=row.get("locality") or 0,
        status=STATUSES[row.get("availability") or "IN"],
        listed_rate=float(row.get("heft") or 0),
    )
