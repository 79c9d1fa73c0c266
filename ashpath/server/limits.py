"""Every size, count and time of the sockets, in one type, filled at the start and handed down."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from ashpath.core.interface import PolicySettings

SPARE = 48  # descriptors for the listener, the ledger, the directory, notices, logs and the event loop


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Counts, bytes, and seconds."""

    client_connections: int  # connections of clients
    idle_client_connections: (
        int  # of them without a request: half of what clients may hold, or they could open no other
    )
    endpoint_connections: int  # connections to endpoints, idle ones counted
    disk_bytes: int  # bytes of the ledger, old and new file together
    endpoint_idle_s: (
        float  # an own idle connection to an endpoint is closed after this: before the far end does
    )
    connect_s: float  # a connection not up by then has failed
    min_endpoint_idle_s: float = 0.1  # no reset makes a shorter life of idle connections
    idle_distrust_s: float = 10.0  # for so long after a reset an endpoint's idle connections live shorter
    head_bytes: int = 16 << 10  # of a message, in bytes
    body_bytes: int = 64 << 10  # a longer answer ends its connection
    interim_responses: int = 20  # 1xx answers before one that counts
    response_rest_s: float = 0.5  # from an answer's first line to its end, where that end matters
    buffer_bytes: int = 4 << 10  # a connection's buffer to begin with, and again once it is empty
    request_s: float = 2.4  # from a request's first byte to its last, from connecting for the first one
    client_idle_s: float = 2.2  # a client's connection without a request for so long is closed
    silent_eviction_s: float = 0.3  # one that has not said a word for so long may make room
    eviction_candidates: int = (
        16  # connections looked at for one that makes room: the first may just have a request
    )
    stalled_request_s: float = (
        0.5  # a client this long within a request has left: its connection may make room
    )
    response_write_s: float = 2.0  # for a client to take its answer
    drain_bytes: int = 256 << 10  # bytes read on behind a refusal, so that it can be read before the close
    forget_destination_s: float = 60.0  # a destination without endpoints for so long is unknown
    watch_s: float = 2.0  # a watch of the directory waits so long
    watch_grace_s: float = 1.0  # and is given up so much later
    retry_s: float = 0.1  # between tries at the directory and at notices that failed, the first time
    discovery_backoff_s: float = 1.0  # the longest pause between tries at a directory that is silent
    # At one that turns calls away: with the call itself under the 6 s in which a change counts as told.
    discovery_rejected_backoff_s: float = 4.5
    discovery_jitter: float = 2 / 3  # the part of such a pause that is drawn
    first_poll_spacing_s: float = (
        0.05  # senders of a fleet ask first so far apart, by number, but all within a watch
    )
    initial_snapshot_s: float = (
        0.25  # for the directory's answer before anything is sent, where lists are pushed
    )
    notification_backoff_s: float = 0.3  # and at notices
    notification_s: float = 0.5  # for the answer to a notice
    notification_batch: int = 200  # lines of one call
    pool_sweep_s: float = 0.25  # how often idle connections are looked at
    accept_after_term_s: float = 0.4  # connections still come for so long after SIGTERM
    attempts_after_term_s: float = 3.0  # no shot is begun later than this after SIGTERM
    requests_after_term_s: float = 3.2  # a request that is not whole by then is answered 503
    end_after_term_s: float = 3.5  # all is over by then
    drain_clients_s: float = 1.5  # clients sent away may ask once more on an idle connection for so long
    adoption_interval_s: float = 0.5  # how often journals of processes gone in a hot upgrade are looked for
    control_timeout_s: float = 5.0  # a caller of the control address has so long to send its line
    control_connections: int = (
        16  # callers of the control address at once; for a further one another gives way
    )
    outcome_store_bytes: int = 0  # bytes of ends kept for clients that ask, on disk, and as much memory
    outcome_retention_s: float = 0.0  # and for how long
    notification_file_bytes: int = 0  # bytes of one file of notices
    notification_files: int = 0  # older ones kept beside it

    @classmethod
    def of(cls, given: dict[str, Any], terms: PolicySettings) -> ServerLimits:
        """From the deployment's `limits` and the terms; a limit that is not told is taken for small."""
        sockets = max(64, int(given.get("sockets") or 1024))
        free = sockets - SPARE
        outward = min(max(64, 2 * terms.max_in_flight), free * 3 // 4)
        idle = (terms.idle_timeout or 5_000_000) / 1e6
        told = cls(
            client_connections=free - outward,
            idle_client_connections=sockets // 6,
            endpoint_connections=outward,
            disk_bytes=int(float(given.get("disk_mb") or 1) * 970_000),  # a megabyte may be a million bytes
            endpoint_idle_s=max(idle - 0.2, idle / 2),
            connect_s=(terms.connect_timeout or 1_000_000) / 1e6,
        )
        return replace(told, **(given.get("own") or {}))
