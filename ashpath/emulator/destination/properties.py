"""The properties of a destination. `scenario/schema.py` maps the keys of scenario files to them."""

from __future__ import annotations

from dataclasses import dataclass

from ashpath.core.time_units import SECOND


@dataclass(frozen=True, slots=True)
class DestinationProperties:
    """The properties of a destination that no fault changes.

    Times are in microseconds, rates in calls per second, and shares are fractions of 1.
    """

    workers: int = 4
    """The number of calls executed at the same time, per endpoint or, if shared, by all endpoints."""
    shares_workers: bool = False
    """Whether all endpoints share the workers."""
    service_times: tuple[int, ...] = (50_000,)
    """The median service time by traffic class; the last one applies to all further classes."""
    service_time_sigma: float = 0.3
    """The standard deviation of the logarithm of the service time."""
    tail_share: float = 0.0
    """The share of calls that take `tail_factor` times as long."""
    tail_factor: float = 10.0
    samples: tuple[int, ...] = ()
    """If not empty, service times are drawn from these values instead of the distribution."""
    queue_capacity: int = 8
    """The largest number of calls that wait at an endpoint; further ones are rejected as overload."""
    rate_limit: float = 0.0
    """The rate limit; 0 for none."""
    rate_window: int = 0
    """The length of the windows in which the rate limit counts calls; 0 for a token bucket."""
    rate_window_slides: bool = False
    """Whether the window slides; otherwise each fixed window starts when the previous one ends."""
    counts_rejected_calls: bool = False
    """Whether rejected calls count against the rate limit too."""
    burst_s: float = 0.5
    """The capacity of the token bucket, in seconds at the full rate."""
    retry_after: int = 0
    """The Retry-After of a call above the rate limit; 0 if none is sent."""
    retry_after_until_quota: bool = False
    """Whether Retry-After is instead the time until the window has quota again."""
    retry_after_share: float = 1.0
    """The share of rejections above the rate limit that carry Retry-After."""
    sends_load_reports: bool = False
    """Whether responses carry a load report: the remaining quota and the rate."""
    report_noise: float = 0.0
    """The standard deviation of the noise factor in load reports."""
    report_age: int = 0
    """The age of the values in load reports."""
    max_connections: int = 0
    """The largest number of connections to an endpoint, including idle ones; 0 for no limit."""
    connection_setup_time: int = 0
    """The time that a new connection adds to its first call."""
    slow_start_share: float = 0.2
    """The share of the full speed right after an outage."""
    slow_start_time: int = 10 * SECOND
    """The length of slow start, in which the speed rises from `slow_start_share` to 1."""
    overload_multiple: float = 2.0
    """The multiple of the reduced capacity in slow start above which calls overload the destination."""
    overload_duration: int = 3 * SECOND
    """The duration of an overload in slow start after which the destination collapses."""
    collapse_time: int = 15 * SECOND
    """The time for which the destination is silent after a collapse."""
    pause_interval: int = 0
    """The interval between pauses, such as those of a garbage collector; 0 for no pauses."""
    pause_time: int = 0  # the length of each pause, in which the execution of no call starts
    deduplication_window: int = 5 * SECOND
    """The time for which an idempotency key is remembered and duplicates are recognized."""
    completes_abandoned_calls: bool = True
    """Whether a call whose caller has disconnected is still executed; otherwise it leaves the queue."""
    error_share: float = 0.0
    """The share of calls that fail before their effect."""
    error_after_effect_share: float = 0.0
    """The share of calls that fail after their effect."""
