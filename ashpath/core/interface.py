"""The policy's interface: what its adapters report to it, and the actions they carry out for it.

Nothing here knows a wire format. Times are whole microseconds of a monotonic clock; ids are opaque and come
back unchanged. `wire_names.py` of each adapter maps these names to those of its wire.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from msgspec import Struct


class RetrySafety(Enum):
    """What a second run of a message would do."""

    IDEMPOTENT = "free to run again"
    DEDUPLICATED = "a repeat is recognised for a while"
    AT_MOST_ONCE = "must never run twice"


class EndpointStatus(Enum):
    """What service discovery says of an endpoint; it says nothing of its health."""

    ACTIVE = "listed"
    DRAINING = "draining"
    REMOVED = "gone"


class AttemptOutcome(Enum):
    """How an attempt ended."""

    DELIVERED = "completed"
    ERROR = "error"
    OVERLOADED = "full"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "no connection"
    CONNECTION_TABLE_FULL = "crowded"  # rejected together with its new connection
    CONNECTION_RESET = "reset"
    CANCELLED = "withdrawn"
    NOT_SENT = "unsent"
    LOCAL_FAULT = "local fault"  # this machine had no descriptor, buffer, address or route for it


NEVER_RAN = (
    AttemptOutcome.OVERLOADED,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.CONNECTION_TABLE_FULL,
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.LOCAL_FAULT,
)
"""Outcomes that prove that the attempt had no effect."""


class TrafficClassSettings(Struct, frozen=True):
    """One class of messages, as its operator wants it."""

    value: float
    """What a delivery counts beside other classes."""
    latency_objective: int
    """Microseconds from submission; a later delivery is worth less."""
    deadline: int
    """Microseconds from submission; a later delivery is worth nothing."""
    retry_safety: RetrySafety
    deduplication_window: int
    """DEDUPLICATED: microseconds from the first attempt that may have run in which a repeat is recognised."""
    deduplicates_across_zones: bool
    """DEDUPLICATED: every endpoint of the destination recognises a repeat, not only those of one zone."""
    late_value_share: float
    """The share of the value that is left at the deadline."""
    ordered: bool
    """Messages with the same ordering key are sent one at a time."""


class DestinationKindSettings(Struct, frozen=True):
    """One kind of destination."""

    limit_per_endpoint: bool
    """Each endpoint is a route of its own, with a concurrency limit of its own."""
    max_batch_size: int
    """Messages that may travel as one call."""


class PolicySettings(Struct, frozen=True):
    """All that a policy is told at its start, and again when the operators' settings change."""

    seed: int
    sender_index: int
    """This sender's own number in its fleet, from 0."""
    sender_count: int
    max_in_flight: int
    """Calls in flight at once, over all destinations."""
    queue_capacity: int
    """Messages queued or in flight at once."""
    max_attempts: int
    """Attempts of one message; 0: bounded by time alone."""
    may_cancel: bool
    max_retry_after: int
    """The longest Retry-After that clients heed, in microseconds; 0: they are given none."""
    connect_timeout: int
    idle_timeout: int
    """Far ends close a connection that is idle for so long, in microseconds; 0: not known."""
    reports_full_connection_table: bool
    """A full connection table ends as CONNECTION_TABLE_FULL: CONNECT_FAILED means an endpoint is down."""
    traffic_classes: tuple[TrafficClassSettings, ...]
    destination_kinds: tuple[DestinationKindSettings, ...]
    value_halves: bool
    """The value halves with each further latency objective; else it falls evenly up to the deadline."""
    drain_grace: int
    """Microseconds in which calls may still go to an endpoint that is draining."""
    initial_capacity_share: float
    """The share of its capacity that a destination has, at least, at the end of an outage."""
    warm_up_time: int
    """Microseconds from the end of an outage until all of the capacity is back."""
    overload_multiple: float
    """Load above this multiple of the capacity brings a warming destination down again; 0: none does."""
    overload_duration: int
    """Microseconds that the overload must last."""
    settle_time: int
    """Microseconds between an unresolved attempt and the next message of its ordering key."""
    poll_interval: int
    """The endpoint list has to be polled at least so often, in microseconds; 0: it is pushed."""
    has_load_reports: bool
    """Responses report the rate limit of their destination."""
    has_listed_rates: bool
    """The endpoint list has approximate rates."""
    gossip_enabled: bool
    zone_costs: tuple[float, ...]
    """By zone, for a message that an endpoint with a limit of its own takes there."""


class EndpointRecord(Struct, frozen=True):
    """One row of the endpoint list, or one change of it."""

    endpoint_id: str
    destination: int
    kind: int
    zone: int
    status: EndpointStatus
    listed_rate: float = 0.0
    """Calls a second that it takes from all senders, where `has_listed_rates`; 0: not listed."""


class LoadReport(Struct, frozen=True):
    """What a response reported of a destination's rate limit: noisy, and a little old."""

    remaining_quota: float
    """The share of the limit that is left."""
    rate_limit: float
    """Calls a second that all senders together may make."""


class PreviousAttempts(Struct, frozen=True):
    """What the previous incarnation of this sender did for a message that it has not finished."""

    attempts: int
    first_run_at: int | None
    """When the first attempt that may have run began, on this incarnation's clock."""
    first_run_endpoint: str
    unresolved: bool
    """An attempt was in flight as that incarnation ended; it may have run."""


class PolicyActions(Protocol):
    """What an adapter carries out for the policy, in the order of the calls."""

    def start_attempt(self, message_id: int, endpoint_id: str, timeout: int) -> None:
        """Sends a message to an endpoint; its outcome is due within `timeout` microseconds."""

    def reject(self, message_id: int, retry_after: int) -> None:
        """Final: not delivered, and harmless to submit again after `retry_after` microseconds."""

    def fail(self, message_id: int) -> None:
        """Final: not delivered as far as is known, and not to be submitted again."""

    def cancel_attempt(self, message_id: int, attempt: int) -> None:
        """Cancels an attempt, by its number from 0; its outcome still comes."""

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Closes connections to an endpoint that carry no call."""

    def schedule_timer(self, at: int, token: str) -> None:
        """Calls `timer_fired` with the token at that time or later."""

    def poll_endpoints(self) -> None:
        """Asks for the endpoint list; `update_endpoints` or `endpoint_poll_failed` answers."""

    def publish(self, message: bytes) -> None:
        """Gossips to all other senders, which receive it by `receive_gossip`, or not at all."""

    def mode_changed(self, text: str, destination: int, endpoint_id: str, down: bool, rate: float) -> None:
        """A change of mode of a destination, or of one route if `endpoint_id` names it.

        `down`: to this sender it is in an outage, and had `rate` calls a second from it before; the next
        incarnation is told so, by `restore_outage`.
        """
