"""What the bench's wire calls the door's outcomes and listings."""

from __future__ import annotations

from typing import Any

from ashpath.core.interface import AttemptOutcome, EndpointRecord, EndpointStatus

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
STATUSES = {"IN": EndpointStatus.ACTIVE, "LAME": EndpointStatus.DRAINING, "OUT": EndpointStatus.REMOVED}


def endpoint_record(row: dict[str, Any]) -> EndpointRecord:
    """A directory line."""
    return EndpointRecord(
        endpoint_id=row["endpoint"],
        destination=row["cell"],
        kind=row.get("hw") or 0,
        zone=row.get("locality") or 0,
        status=STATUSES[row.get("availability") or "IN"],
        listed_rate=float(row.get("heft") or 0),
    )
