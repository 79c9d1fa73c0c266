"""A message as it is stored: what the client sent, and what a later incarnation must know of its attempts."""

from __future__ import annotations

from msgspec import Struct


class StoredMessage(Struct, eq=False):
    """One accepted message, from the log's first record of it until its last.

    All times are microseconds of the stored clock (`stored_clock.py`), since they have to outlive the
    process. The fields before `attempts` never change, but for the id of a message that is adopted from
    another process's log.
    """

    message_id: int
    """Number of the message in this log, and towards the policy. 0 until it is submitted."""

    trace_id: str
    """The client's id of the message: at most one message with it is live."""

    traffic_class: int
    """Number of its traffic class; the state directory has the names."""

    destination: int
    """Number of the destination that it is for."""

    ordering_key: int | None
    """Messages of one key are delivered in order; None where order does not matter."""

    idempotency_key: str | None
    """Handed to the endpoint with each attempt; None where the traffic class has none."""

    deadline: int
    """When its delivery is of no more use."""

    body: bytes
    """The payload of the request, unchanged."""

    attempts: int = 0
    """How many attempts were started."""

    first_run_at: int | None = None
    """Start of the first attempt that may have run at an endpoint; None while none may have."""

    first_run_endpoint: str = ""
    """The endpoint of that attempt."""

    in_flight_since: int | None = None
    """Start of the attempt that is in flight; None between attempts."""

    in_flight_endpoint: str = ""
    """The endpoint of that attempt."""

    notice: str | None = None
    """The line that reports its final state; kept until the receiver of notices has it."""

    finished: bool = False
    """It has its final state, and only its notice keeps it in the log."""

    reserved_bytes: int = 0
    """What it may take in a log that is rewritten, at most. Not stored."""
