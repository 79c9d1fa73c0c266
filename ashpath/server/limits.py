"""Every size, count and time of the sender on sockets, in one type, filled at the start and handed down.

Of the platform's file `limits` has descriptors (`sockets`) and megabytes of disk (`disk_mb`); a sender's own
file adds, under `own`, fields by their names here. Everything else is fixed, for the reason beside it. Names
end in their unit where they have one: `_s` for seconds, `_bytes`; the others are counts.
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct
from msgspec.structs import replace

from ashpath.core.interface import PolicySettings

RESERVED_DESCRIPTORS = 48
"""For the listener, the write-ahead log, discovery, notifications, the log and the event loop."""

# What counts where the platform's file does not say: taken for small.
DEFAULT_DESCRIPTORS = 1024
DEFAULT_DISK_MB = 1
DEFAULT_IDLE_TIMEOUT_US = 5_000_000
DEFAULT_CONNECT_TIMEOUT_US = 1_000_000

MIN_DESCRIPTORS = 64
MIN_ENDPOINT_CONNECTIONS = 64
CONNECTIONS_PER_ATTEMPT = 2  # a connection in use, and an idle one
MAX_ENDPOINT_SHARE = (3, 4)  # of the free descriptors: the rest is for clients
IDLE_CLIENT_SHARE = (
    6  # one in so many descriptors: half of what clients may hold, or they could open no other
)
DISK_BYTES_PER_MB = 970_000  # a megabyte may be a million bytes, and a file system has overhead
IDLE_MARGIN_S = 0.2  # an idle connection is closed so long before the far end does
MICROSECONDS_PER_SECOND = 1e6  # in a second


class ServerLimits(Struct, frozen=True):
    """Counts, bytes and seconds, by concern."""

    # Descriptors and disk, shared out at the start.
    client_connections: int
    """Connections of clients."""
    idle_client_connections: int
    """Of them without a request."""
    endpoint_connections: int
    """Connections to endpoints, idle ones counted."""
    disk_bytes: int
    """The write-ahead log, its old and its new file together."""

    # Connections to endpoints.
    endpoint_idle_s: float
    """An idle connection is closed after this, before the far end closes it under a request."""
    connect_s: float
    """A connection that is not up by then has failed."""
    min_endpoint_idle_s: float = 0.1
    """Resets make the life of idle connections no shorter than this."""
    idle_distrust_s: float = 10.0
    """For so long after a reset an endpoint's idle connections live shorter."""
    pool_sweep_s: float = 0.25
    """Between two looks at idle connections."""
    forget_destination_s: float = 60.0
    """A destination without endpoints for so long is unknown: a successor may be listed late."""

    # HTTP messages, of clients and of endpoints.
    head_bytes: int = 16 << 10
    """The first line and the headers."""
    body_bytes: int = 64 << 10
    """A request with more is rejected; a response with more ends its connection."""
    interim_responses: int = 20
    """1xx responses before one that counts."""
    response_rest_s: float = 0.5
    """From a response's first line to its end, where that end matters."""
    buffer_bytes: int = 4 << 10
    """A connection's receive buffer at first, and again once it is empty."""

    # Connections of clients.
    request_s: float = 2.4
    """From a request's first byte to its last; for the first request, from connecting."""
    client_idle_s: float = 2.2
    """A connection without a request for so long is closed."""
    silent_eviction_s: float = 0.3
    """A connection that has sent nothing for so long may be evicted for another."""
    eviction_candidates: int = 16
    """Connections looked at for one to evict, as a request may just have come on the first."""
    stalled_request_s: float = 0.5
    """A connection that is stuck within a request for so long may be evicted."""
    response_write_s: float = 2.0
    """For a client to take its response."""
    drain_bytes: int = 256 << 10
    """Read on behind a refusal, as closing on unread bytes would take the refusal back."""
    drain_clients_s: float = 1.5
    """Clients that are drained may send one more request on an idle connection for so long."""

    # Service discovery.
    watch_s: float = 2.0
    """The service holds a watch open for so long."""
    watch_grace_s: float = 0.6
    """A watch is given up so much later."""
    retry_s: float = 0.1
    """The first pause after a failure, of discovery, of notifications and of a service of the sender."""
    snapshot_s: float = 1.0
    """A poll for a snapshot, which is answered at once, has at least so long."""
    pushed_snapshot_s: float = 0.2
    """The same where the agent pushes lists: it answers at once and at no cost, or it is down. What it has as
    it comes back counts at once, and a poll that was out by then is not answered: the next must be soon."""
    pushed_pause_s: float = 0.1
    """The longest pause there after silence."""
    late_poll_s: float = 4.0
    """A poll that is not waited for any more is still heard for so long from its start."""
    list_lease_s: float = 5.4
    """The list is read anew within so long of the last time: with what a poll takes, below the 6 s in which a
    change counts as reported."""
    moved_list_lease_s: float = 3.4
    """The same once the service moved: below 4 s."""
    discovery_backoff_s: float = 0.5
    """The longest pause between polls of a service that is silent."""
    discovery_rejected_backoff_s: float = 4.5
    """The same where it rejects polls, past the end of a lease."""
    discovery_jitter: float = 2 / 3
    """The share of such a pause that is random."""
    first_poll_spacing_s: float = 0.05
    """Between the first polls of a fleet's senders, by their number; all are within a watch."""
    initial_snapshot_s: float = 0.25
    """For the service's response before anything is sent, where lists are pushed."""
    initial_silence_s: float = 0.7
    """A service that is silent for so long then has no list to give; the configuration's serves."""
    initial_snapshots_s: float = 3.0
    """And one that fails otherwise is polled for so long: well below the 10 s in which to be ready."""

    # The write-ahead log.
    log_repair_s: float = 0.25
    """Between two looks whether it lacks records that the disk did not take."""

    # Notifications.
    notification_backoff_s: float = 0.15
    """The longest pause after a failure."""
    notification_s: float = 0.5
    """For the response."""
    notification_batch: int = 200
    """Lines of one call."""
    notification_file_bytes: int = 0
    """One file of notifications; a sender's own file sets it."""
    notification_files: int = 0
    """Older ones kept beside it; a sender's own file sets it."""

    # Final outcomes kept for clients that ask: a sender's own file sets them.
    outcome_store_bytes: int = 0
    """On disk, and as much memory."""
    outcome_retention_s: float = 0.0
    """And for how long."""

    # The start.
    start_retries_s: float = 3.0
    """For a listening socket, while this machine has no descriptor or buffer for it."""

    # Graceful shutdown: all are counted from SIGTERM.
    accept_after_term_s: float = 0.4
    """Connections and messages are still accepted for so long, as clients learn of it late."""
    attempts_after_term_s: float = 3.0
    """No attempt begins later."""
    requests_after_term_s: float = 3.2
    """A request that is not whole by then is answered 503."""
    end_after_term_s: float = 3.5
    """All is over by then."""

    # Hot upgrade, and the operators' address.
    adoption_interval_s: float = 0.5
    """Between two looks for write-ahead logs of processes that are gone."""
    control_timeout_s: float = 5.0
    """For an operator to send a command whole."""
    control_connections: int = 16
    """Of operators at once; for a further one another is evicted."""

    @classmethod
    def from_configuration(cls, configured: dict[str, Any], settings: PolicySettings) -> ServerLimits:
        """From the `limits` of the platform's file, and from the settings of the policy."""
        descriptors = max(MIN_DESCRIPTORS, int(configured.get("sockets") or DEFAULT_DESCRIPTORS))
        free = descriptors - RESERVED_DESCRIPTORS
        numerator, denominator = MAX_ENDPOINT_SHARE
        wanted = max(MIN_ENDPOINT_CONNECTIONS, CONNECTIONS_PER_ATTEMPT * settings.max_in_flight)
        endpoint_connections = min(wanted, free * numerator // denominator)
        idle_timeout_s = (settings.idle_timeout or DEFAULT_IDLE_TIMEOUT_US) / MICROSECONDS_PER_SECOND
        limits = cls(
            client_connections=free - endpoint_connections,
            idle_client_connections=descriptors // IDLE_CLIENT_SHARE,
            endpoint_connections=endpoint_connections,
            disk_bytes=int(float(configured.get("disk_mb") or DEFAULT_DISK_MB) * DISK_BYTES_PER_MB),
            endpoint_idle_s=max(idle_timeout_s - IDLE_MARGIN_S, idle_timeout_s / 2),
            connect_s=(settings.connect_timeout or DEFAULT_CONNECT_TIMEOUT_US) / MICROSECONDS_PER_SECOND,
        )
        return replace(limits, **(configured.get("own") or {}))
