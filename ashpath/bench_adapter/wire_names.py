"""Names of events, actions and outcomes in the bench's protocol, and the fields of event bodies.

Times are milliseconds in the protocol and whole microseconds in the policy.
"""

from __future__ import annotations

from typing import Any, TypedDict

from ashpath.core.interface import AttemptOutcome, EndpointRecord, EndpointStatus

Row = dict[str, Any]
"""A JSON object of the protocol."""


class EventName:
    """Events that the bench sends to an instance."""

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
    """Actions that an instance returns."""

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
"""Kind of an endpoint change: the poll of the list failed."""
LIST_CHANGED = "delta"
"""Kind of an endpoint change: the list has the changed rows alone; with other kinds it is complete."""
ALL_SENDERS = -1

SubmittedBody = TypedDict(
    "SubmittedBody", {"rid": int, "addressee-no": int, "priority": int, "key": int | None, "ttl": float}
)
AttemptFinishedBody = TypedDict(
    "AttemptFinishedBody",
    {"rid": int, "outcome": str, "remark-ms": float | None, "complete": bool, "stats": list[float] | None},
)
"""`remark-ms` is the Retry-After if the outcome is OVERLOADED; `stats` has the fields of a load report."""


class TimerFiredBody(TypedDict):
    """`ref` is the token that the policy passed with the timer."""

    ref: str


class ClientDisconnectedBody(TypedDict):
    """`rid` is the message whose client disconnected."""

    rid: int


class GossipReceivedBody(TypedDict):
    """`contents` is the gossip message in hexadecimal digits."""

    contents: str


class EndpointsChangedBody(TypedDict):
    """`sheet` is the number of a registered endpoint list."""

    kind: str
    sheet: int


def endpoint_record(row: Row) -> EndpointRecord:
    """Converts a row of an endpoint list."""
    return EndpointRecord(
        endpoint_id=row["endpoint"],
        destination=row["cell"],
        kind=row.get("hw") or 0,
        zone=row.get("locality") or 0,
        status=STATUSES[row.get("availability") or "IN"],
        listed_rate=float(row.get("heft") or 0),
    )
