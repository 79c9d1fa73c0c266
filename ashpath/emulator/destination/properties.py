"""What a destination is like. The fields bear the names of the keys in scenario files."""

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
    shared: bool = False
    """The endpoints share the workers."""
    service: tuple[int, ...] = (50_000,)
    """The median time of a call, by traffic class; the last one for all further classes."""
    spread: float = 0.3
    """Sigma of the time's logarithm."""
    tail: float = 0.0
    """Share of calls that take `tail_factor` times as long."""
    tail_factor: float = 10.0
    samples: tuple[int, ...] = ()
    """Times are drawn from these instead."""
    queue: int = 8
    """Calls that wait at an endpoint; further ones are rejected as overload."""
    rate: float = 0.0
    """The rate limit; 0: none."""
    span: int = 0
    """The rate limit counts calls in windows of this; 0: a token bucket."""
    sliding: bool = False
    """The window is always the latest one; else one begins as the other ends."""
    refused_count: bool = False
    """Rejected calls use the rate limit up as well."""
    burst: float = 0.5
    """Token bucket: seconds of the rate that may come at once."""
    wait: int = 0
    """Retry-After of a call above the rate limit; 0: none is sent."""
    to_room: bool = False
    """Retry-After is instead the time until the window has quota again."""
    tells: float = 1.0
    """The share of calls above the rate limit that are answered with Retry-After."""
    reports: bool = False
    """Answers carry a limit report: the remaining quota, and the rate."""
    noise: float = 0.0
    """Sigma of what is reported."""
    late: int = 0
    """What is reported is as old as this."""
    connections: int = 0
    """Connections that an endpoint holds, idle ones counted; 0: any number."""
    connect_work: int = 0
    """What a new connection adds to the time of its first call."""
    cold_share: float = 0.2
    """The share of its speed that it has right after an outage."""
    ramp: int = 10 * SECOND
    """Length of the recovery ramp, from `cold_share` to full speed."""
    fall_multiple: float = 2.0
    """In slow start, more calls than so many times its capacity,"""
    fall_time: int = 3 * SECOND
    """for so long, make it collapse,"""
    fall_down: int = 15 * SECOND
    """and it is silent for so long."""
    pause_every: int = 0
    """It pauses this often, for a garbage collection say; 0: never."""
    pause_for: int = 0
    window: int = 5 * SECOND
    """Deduplication window: for so long a repeated key is recognised."""
    runs_on: bool = True
    """A call whose caller has gone is worked on all the same; else it leaves the queue."""
    errors: float = 0.0
    """Share of calls that fail before they had an effect."""
    errors_after: float = 0.0
    """And after it."""
