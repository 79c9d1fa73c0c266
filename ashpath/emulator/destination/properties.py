"""What a destination is like. The keys of scenario files are mapped in `scenario/schema.py`."""

from __future__ import annotations

from dataclasses import dataclass

from ashpath.emulator.units import SECOND


@dataclass(frozen=True, slots=True)
class DestinationProperties:
    """The properties of a destination that no fault changes.

    Times are microseconds, rates calls a second, shares parts of one.
    """

    workers: int = 4
    """Calls that run at once, at each endpoint or at all of them together."""
    shares_workers: bool = False
    """The endpoints share the workers."""
    service_times: tuple[int, ...] = (50_000,)
    """The median time of a call, by traffic class; the last one for all further classes."""
    service_time_sigma: float = 0.3
    """Sigma of the time's logarithm."""
    tail_share: float = 0.0
    """Share of calls that take `tail_factor` times as long."""
    tail_factor: float = 10.0
    samples: tuple[int, ...] = ()
    """Times are drawn from these instead."""
    queue_capacity: int = 8
    """Calls that wait at an endpoint; further ones are rejected as overload."""
    rate_limit: float = 0.0
    """The rate limit; 0: none."""
    rate_window: int = 0
    """The rate limit counts calls in windows of this; 0: a token bucket."""
    rate_window_slides: bool = False
    """The window is always the latest one; else one begins as the other ends."""
    counts_rejected_calls: bool = False
    """Rejected calls use the rate limit up as well."""
    burst_s: float = 0.5
    """Token bucket: seconds of the rate that may come at once."""
    retry_after: int = 0
    """Retry-After of a call above the rate limit; 0: none is sent."""
    retry_after_until_quota: bool = False
    """Retry-After is instead the time until the window has quota again."""
    retry_after_share: float = 1.0
    """The share of calls above the rate limit that are answered with Retry-After."""
    sends_load_reports: bool = False
    """Answers carry a limit report: the remaining quota, and the rate."""
    report_noise: float = 0.0
    """Sigma of what is reported."""
    report_age: int = 0
    """What is reported is as old as this."""
    max_connections: int = 0
    """Connections that an endpoint holds, idle ones counted; 0: any number."""
    connection_setup_time: int = 0
    """What a new connection adds to the time of its first call."""
    slow_start_share: float = 0.2
    """The share of its speed that it has right after an outage."""
    slow_start_time: int = 10 * SECOND
    """Length of the recovery ramp, from `slow_start_share` to full speed."""
    overload_multiple: float = 2.0
    """In slow start, more calls than so many times its capacity,"""
    overload_duration: int = 3 * SECOND
    """for so long, make it collapse,"""
    collapse_time: int = 15 * SECOND
    """and it is silent for so long."""
    pause_interval: int = 0
    """It pauses this often, for a garbage collection say; 0: never."""
    pause_time: int = 0
    deduplication_window: int = 5 * SECOND
    """Deduplication window: for so long a repeated key is recognised."""
    completes_abandoned_calls: bool = True
    """A call whose caller has gone is worked on all the same; else it leaves the queue."""
    error_share: float = 0.0
    """Share of calls that fail before they had an effect."""
    error_after_effect_share: float = 0.0
    """And after it."""
