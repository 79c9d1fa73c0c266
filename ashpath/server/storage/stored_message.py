"""A message as it is stored: the client's data, and the state of its attempts for a later incarnation."""

from __future__ import annotations

from msgspec import Struct


class StoredMessage(Struct, eq=False):
    """One accepted message, from its first record in the log until its last.

    All times are microseconds of the stored clock (`stored_clock.py`), since they have to outlive the
    process. The fields before `attempts` never change, except for the id of a message that an earlier
    release accepted, when it is adopted.
    """

    message_id: int
    """Id of the message in the log and in calls to the policy; 0 until the message is submitted. Ids grow in
    the order of acceptance, over all processes of the sender and over its starts."""

    trace_id: str
    """The client's id of the message; at most one message with this id is live."""

    traffic_class: int
    """Id of the traffic class; the state directory has the names."""

    destination: int
    """Number of the destination."""

    ordering_key: int | None
    """Messages with the same key are delivered in order; None if order does not matter."""

    idempotency_key: str | None
    """Sent to the endpoint with each attempt; None if the traffic class has none."""

    deadline: int
    """Time from which delivery has no value."""

    body: bytes
    """The payload of the request, unchanged."""

    attempts: int = 0
    """Number of attempts started."""

    first_run_at: int | None = None
    """Start of the first attempt that may have run at an endpoint; None if no attempt may have run."""

    first_run_endpoint: str = ""
    """The endpoint of that attempt."""

    in_flight_since: int | None = None
    """Start of the attempt that is in flight; None between attempts."""

    in_flight_endpoint: str = ""
    """The endpoint of that attempt."""

    notice: str | None = None
    """The line that reports the final state; kept until the receiver of notices has accepted it."""

    finished: bool = False
    """Whether the message has its final state, and stays in the log only for its notice."""

    predecessors: tuple[str, ...] = ()
    """Trace ids of the messages of the same ordering key that another process of this sender had as this one
    was accepted, and has not ended. Not stored."""

    reserved_bytes: int = 0
    """Upper bound of the bytes that the message takes in a rewritten log. Not stored."""


def acceptance_order(message: StoredMessage) -> int:
    """Returns the key by which messages are sorted in the order of acceptance."""
    return message.message_id
