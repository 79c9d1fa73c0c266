"""The policy's interface: the data that adapters pass to the policy, and the actions they perform for it.

The interface is independent of any wire format. Times are integer microseconds of a monotonic clock; ids are
opaque and are returned unchanged. Each adapter's `wire_names.py` maps these names to those of its wire.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from msgspec import Struct


class RetrySafety(Enum):
    """Whether the destination may run a message more than once."""

    IDEMPOTENT = "free to run again"
    DEDUPLICATED = "a repeat is recognized for a while"
    AT_MOST_ONCE = "must never run twice"


class EndpointStatus(Enum):
    """The status of an endpoint in service discovery, which is independent of its health."""

    ACTIVE = "listed"
    DRAINING = "draining"
    REMOVED = "gone"


class AttemptOutcome(Enum):
    """The result of an attempt."""

    DELIVERED = "completed"
    ERROR = "error"
    OVERLOADED = "full"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "no connection"
    CONNECTION_TABLE_FULL = "crowded"  # the endpoint rejected the new connection along with the request
    CONNECTION_RESET = "reset"
    CANCELLED = "withdrawn"
    NOT_SENT = "unsent"
    LOCAL_FAULT = "local fault"  # no file descriptor, buffer, address or route on this machine


NEVER_RAN = (
    AttemptOutcome.OVERLOADED,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.CONNECTION_TABLE_FULL,
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.LOCAL_FAULT,
)
"""Outcomes after which the destination is certain not to have run the message."""


class TrafficClassSettings(Struct, frozen=True):
    """The operator's settings for one traffic class."""

    value: float
    """The value of a timely delivery, relative to other classes."""
    latency_objective: int
    """Microseconds from submission; a later delivery has a lower value."""
    deadline: int
    """Microseconds from submission; a later delivery has no value."""
    retry_safety: RetrySafety
    deduplication_window: int
    """DEDUPLICATED: duplicates are detected for this many microseconds from the first possible run."""
    deduplicates_across_zones: bool
    """DEDUPLICATED: all endpoints of the destination detect a duplicate, not only those in the same zone."""
    late_value_share: float
    """The fraction of the value that remains at the deadline."""
    ordered: bool
    """Messages with the same ordering key are sent one at a time."""


class DestinationKindSettings(Struct, frozen=True):
    """Settings of one kind of destination."""

    limit_per_endpoint: bool
    """Each endpoint is a separate route with its own concurrency limit."""
    max_batch_size: int
    """The maximum number of messages in one call."""


class PolicySettings(Struct, frozen=True):
    """The policy's settings, passed at its start and again when the operators change their settings."""

    seed: int
    sender_index: int
    """The index of this sender in its fleet, from 0."""
    sender_count: int
    max_in_flight: int
    """The maximum number of concurrent calls, over all destinations."""
    queue_capacity: int
    """The maximum number of messages that are queued or in flight."""
    max_attempts: int
    """The maximum number of attempts per message; 0: limited only by the deadline."""
    may_cancel: bool
    max_retry_after: int
    """The longest Retry-After that clients honor, in microseconds; 0: rejections carry no Retry-After."""
    connect_timeout: int
    idle_timeout: int
    """Microseconds after which endpoints close an idle connection; 0: unknown."""
    reports_full_connection_table: bool
    """A full connection table gives CONNECTION_TABLE_FULL; CONNECT_FAILED means that the endpoint is down."""
    traffic_classes: tuple[TrafficClassSettings, ...]
    destination_kinds: tuple[DestinationKindSettings, ...]
    value_halves: bool
    """The value halves with each further latency objective; otherwise it falls linearly to the deadline."""
    drain_grace: int
    """Microseconds during which calls may still be sent to a draining endpoint."""
    initial_capacity_share: float
    """The minimum fraction of its capacity that a destination has at the end of an outage."""
    warm_up_time: int
    """Microseconds from the end of an outage until the destination has its full capacity."""
    overload_multiple: float
    """Load above this multiple of the capacity causes a new outage during warm-up; 0: no load does."""
    overload_duration: int
    """Microseconds for which the overload must last to cause the outage."""
    settle_time: int
    """Minimum microseconds between an unresolved attempt and the next message with the same ordering key."""
    poll_interval: int
    """The maximum interval between polls of the endpoint list, in microseconds; 0: the list is pushed."""
    has_load_reports: bool
    """Responses report the rate limit of their destination."""
    has_listed_rates: bool
    """The endpoint list contains approximate rates."""
    gossip_enabled: bool
    zone_costs: tuple[float, ...]
    """The cost of a message per zone, for endpoints that have their own concurrency limit."""


class EndpointRecord(Struct, frozen=True):
    """One row of the endpoint list, or one change to the list."""

    endpoint_id: str
    destination: int
    kind: int
    zone: int
    status: EndpointStatus
    listed_rate: float = 0.0
    """Calls per second that the endpoint accepts from all senders, if `has_listed_rates`; 0: not listed."""


class LoadReport(Struct, frozen=True):
    """A destination's rate limit as reported in a response: noisy and slightly out of date."""

    remaining_quota: float
    """The fraction of the rate limit that is unused."""
    rate_limit: float
    """Calls per second allowed for all senders together."""


class PreviousAttempts(Struct, frozen=True):
    """The attempts that the previous incarnation of this sender made for an unfinished message."""

    attempts: int
    first_run_at: int | None
    """The start of the first attempt that may have run, on this incarnation's clock."""
    first_run_endpoint: str
    unresolved: bool
    """An attempt was in flight when that incarnation ended; the attempt may have run."""


class PolicyActions(Protocol):
    """The actions that an adapter performs for the policy, in the order of the calls."""

    def start_attempt(self, message_id: int, endpoint_id: str, timeout: int) -> None:
        """Sends a message to an endpoint; the attempt times out after `timeout` microseconds."""

    def reject(self, message_id: int, retry_after: int) -> None:
        """Final outcome: not delivered, and safe to submit again after `retry_after` microseconds."""

    def fail(self, message_id: int) -> None:
        """Final outcome: not known to be delivered, and not safe to submit again."""

    def cancel_attempt(self, message_id: int, attempt: int) -> None:
        """Cancels the attempt with this number, counted from 0; its outcome is still reported."""

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Closes the idle connections to an endpoint."""

    def schedule_timer(self, at: int, token: str) -> None:
        """Calls `timer_fired` with `token` at time `at` or later."""

    def poll_endpoints(self) -> None:
        """Requests the endpoint list; the result arrives by `update_endpoints` or `endpoint_poll_failed`."""

    def publish(self, message: bytes) -> None:
        """Sends a gossip message to all other senders, which receive it by `receive_gossip` unless lost."""

    def mode_changed(self, text: str, destination: int, endpoint_id: str, down: bool, rate: float) -> None:
        """Reports a mode change of a destination, or of one route if `endpoint_id` is not empty.

        `down`: this sender considers the destination or route to be in an outage. `rate`: deliveries a second
        before the outage. The next incarnation receives both by `restore_outage`.
        """
