"""All sizes, counts and times of the sender on sockets, in one type that is created at the start.

In the platform's file, the table `limits` has the number of descriptors (`sockets`) and megabytes of disk
(`disk_mb`). A sender's own file can also set the fields of `ServerLimits` by name, under `own`. All other
values are fixed. A name ends in its unit, `_s` for seconds or `_bytes`; names without a unit are counts.
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct
from msgspec.structs import replace

from ashpath.core.interface import PolicySettings
from ashpath.core.time_units import SECOND

RESERVED_DESCRIPTORS = 48
"""Descriptors for the listener, the write-ahead log, discovery, notifications, the log and the event loop."""

# Defaults for values that the platform's file lacks. They are small, as the machine may be.
DEFAULT_DESCRIPTORS = 1024
DEFAULT_DISK_MB = 1
DEFAULT_IDLE_TIMEOUT_US = 5_000_000
DEFAULT_CONNECT_TIMEOUT_US = 1_000_000

MIN_DESCRIPTORS = 64
MIN_ENDPOINT_CONNECTIONS = 64
CONNECTIONS_PER_ATTEMPT = 2  # one connection in use, and one idle
MAX_ENDPOINT_SHARE = (3, 4)  # of the free descriptors; the rest is for clients
# One descriptor in six may be held by an idle client connection. That is about half of the client
# connections, so that clients can always open others.
IDLE_CLIENT_SHARE = 6
DISK_BYTES_PER_MB = 970_000  # a megabyte may mean a million bytes, and a file system has overhead
IDLE_MARGIN_S = 0.2  # how long before the far end the sender closes an idle connection


class ServerLimits(Struct, frozen=True):
    """Counts, bytes and seconds, grouped by concern."""

    # Descriptors and disk, allotted at the start.
    client_connections: int
    """Client connections."""
    idle_client_connections: int
    """Client connections without a request."""
    endpoint_connections: int
    """Connections to endpoints, including idle ones."""
    disk_bytes: int
    """Disk space of the write-ahead log, its old and its new file together, with the shared memory and the
    outages."""

    # Connections to endpoints.
    endpoint_idle_s: float
    """Idle time after which a connection is closed, before the far end can close it during a request."""
    connect_s: float
    """Timeout for establishing a connection."""
    min_endpoint_idle_s: float = 0.1
    """The lower bound of the idle time, which is shortened after resets."""
    idle_distrust_s: float = 10.0
    """Time after a reset during which the idle time of that endpoint's connections is shortened."""
    pool_sweep_s: float = 0.25
    """Interval between checks of idle connections."""
    forget_destination_s: float = 60.0
    """Time for which a destination without endpoints is still known, as a replacement endpoint may be listed
    late."""

    # HTTP messages, of clients and of endpoints.
    head_bytes: int = 16 << 10
    """The largest size of the first line and the headers together."""
    body_bytes: int = 64 << 10
    """The largest size of a body. A request with a larger body is rejected; a response with a larger one ends
    its connection."""
    interim_responses: int = 20
    """The largest number of 1xx responses before the final response."""
    response_rest_s: float = 0.5
    """Timeout from a response's first line to its end, where the rest of the response is needed."""
    buffer_bytes: int = 4 << 10
    """The initial size of a connection's receive buffer, to which it returns when it is empty."""

    # Connections of clients.
    request_s: float = 2.4
    """Timeout from a request's first byte to its last; for the first request, from the connection's start."""
    client_idle_s: float = 2.2
    """Time without a request after which a connection is closed."""
    silent_eviction_s: float = 0.3
    """Time after which a connection that has sent nothing may be evicted in favor of another."""
    eviction_candidates: int = 16
    """Connections that are considered for eviction, as a request may just have arrived on the first ones."""
    stalled_request_s: float = 0.5
    """Time after which a connection whose request is incomplete may be evicted."""
    response_write_s: float = 2.0
    """Timeout for a client to receive its response."""
    drain_bytes: int = 256 << 10
    """Bytes that are read and discarded after a rejection. Closing a connection with unread bytes would reset
    it, and the client could lose the response."""
    drain_clients_s: float = 1.5
    """Time during which drained clients may send one more request on an idle connection."""

    # Service discovery.
    watch_s: float = 2.0
    """Time for which the service holds a watch open."""
    watch_grace_s: float = 0.6
    """Additional time before the sender gives up a watch."""
    retry_s: float = 0.1
    """The first pause after a failure of discovery, of a notification or of a service of the sender."""
    snapshot_s: float = 1.0
    """The minimum timeout of a poll for a snapshot, which the service answers at once."""
    pushed_snapshot_s: float = 0.2
    """The timeout of a poll for a snapshot if the platform pushes lists. The agent then either answers at
    once and at no cost, or is down. The list that it has when it comes back counts as reported at once, and a
    poll sent before is not answered, so that the next poll must follow soon."""
    pushed_pause_s: float = 0.1
    """The longest pause after a poll without a response if the platform pushes lists."""
    late_poll_s: float = 4.0
    """Time from the start of a poll during which a late response is still read, after the next poll may have
    begun."""
    list_lease_s: float = 5.4
    """Time within which the endpoint list is read again. With the duration of a poll, the total stays below
    the 6 s in which a change counts as reported."""
    moved_list_lease_s: float = 3.4
    """The same time after the address of the service has changed: below 4 s."""
    discovery_backoff_s: float = 0.5
    """The longest pause between polls of a service that does not respond."""
    discovery_rejected_backoff_s: float = 4.5
    """The longest pause between polls of a service that rejects them, after the end of a lease."""
    discovery_jitter: float = 2 / 3
    """The random share of a pause after a rejected poll."""
    first_poll_spacing_s: float = 0.05
    """Time between the first polls of a fleet's senders, in the order of their numbers. All first polls are
    within the duration of one watch."""
    initial_snapshot_s: float = 0.25
    """Timeout of a poll at the start, before any attempt, if the platform pushes lists."""
    initial_silence_s: float = 0.7
    """Time at the start after which a service that does not respond is taken to have no list. The sender then
    uses the configuration's list."""
    initial_snapshots_s: float = 3.0
    """Time at the start during which a service that fails in another way is polled. It is well below the 10 s
    within which a sender has to be ready."""

    # The write-ahead log.
    log_repair_s: float = 0.25
    """Interval between checks for records that could not be written to disk."""

    # Notifications.
    notification_backoff_s: float = 0.15
    """The longest pause after a failed notification."""
    notification_s: float = 0.5
    """Timeout for the response to a notification."""
    notification_batch: int = 200
    """The largest number of lines in one call."""
    notification_file_bytes: int = 0
    """The size of one file of notifications. A sender's own file sets it."""
    notification_files: int = 0
    """The number of older files that are kept. A sender's own file sets it."""

    # Final outcomes that are kept for queries of clients. A sender's own file sets these limits.
    outcome_store_bytes: int = 0
    """Bytes on disk, and as many in memory."""
    outcome_retention_s: float = 0.0
    """Time for which a final outcome is kept."""

    # The start.
    start_retries_s: float = 3.0
    """Time during which opening a listening socket is retried while the machine lacks a descriptor or
    buffer."""

    # Graceful shutdown. All times count from SIGTERM.
    accept_after_term_s: float = 0.4
    """Time during which connections and messages are still accepted, as clients learn of the shutdown
    late."""
    attempts_after_term_s: float = 3.0
    """The latest time at which an attempt may start."""
    requests_after_term_s: float = 3.2
    """The time at which incomplete requests are answered 503."""
    end_after_term_s: float = 3.5
    """The latest end of the shutdown."""

    # Hot upgrade, and the operators' address.
    adoption_interval_s: float = 0.5
    """Interval between checks for write-ahead logs of processes that have ended."""
    control_timeout_s: float = 5.0
    """Timeout for receiving an operator's complete command."""
    control_connections: int = 16
    """Concurrent connections of operators. A further connection evicts another one."""

    @classmethod
    def from_configuration(cls, configured: dict[str, Any], settings: PolicySettings) -> ServerLimits:
        """Derives the limits from the table `limits` of the platform's file and from the settings of the
        policy."""
        descriptors = max(MIN_DESCRIPTORS, int(configured.get("sockets") or DEFAULT_DESCRIPTORS))
        free = descriptors - RESERVED_DESCRIPTORS
        numerator, denominator = MAX_ENDPOINT_SHARE
        wanted = max(MIN_ENDPOINT_CONNECTIONS, CONNECTIONS_PER_ATTEMPT * settings.max_in_flight)
        endpoint_connections = min(wanted, free * numerator // denominator)
        idle_timeout_s = (settings.idle_timeout or DEFAULT_IDLE_TIMEOUT_US) / SECOND
        limits = cls(
            client_connections=free - endpoint_connections,
            idle_client_connections=descriptors // IDLE_CLIENT_SHARE,
            endpoint_connections=endpoint_connections,
            disk_bytes=int(float(configured.get("disk_mb") or DEFAULT_DISK_MB) * DISK_BYTES_PER_MB),
            endpoint_idle_s=max(idle_timeout_s - IDLE_MARGIN_S, idle_timeout_s / 2),
            connect_s=(settings.connect_timeout or DEFAULT_CONNECT_TIMEOUT_US) / SECOND,
        )
        return replace(limits, **(configured.get("own") or {}))
