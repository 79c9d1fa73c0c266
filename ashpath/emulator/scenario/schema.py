"""The schema of a scenario file: the fleet, destinations, clients, network, and a script of faults.

An attribute is named by the standard term. If the key that users write differs, `field(name=...)` gives the
key. `ashpath check` validates these files. The scenarios of the project are in `ashpath/emulator/scenarios`.
"""

from typing import Annotated, Literal, get_args

from msgspec import Struct, field

from ashpath.config.schema import Rules, TrafficClass
from ashpath.config.schema_types import MIN, MS, D, H, Key, S
from ashpath.config.units import Duration, Name

DestinationFaultKind = Literal[
    "silent",
    "hung",
    "down",
    "shut",
    "slow",
    "errors",
    "errors-after",
    "lost",
    "resets",
    "limit",
    "replace",
]
EnvironmentFaultKind = Literal["directory", "kill", "network", "split", "clock", "traffic"]
FaultKind = Literal[DestinationFaultKind, EnvironmentFaultKind]
DESTINATION_FAULTS = get_args(DestinationFaultKind)


class About(Struct):
    """The purpose of the scenario."""

    lesson: Annotated[str, Key("one line on what it teaches", 1, 200)]
    incident: Annotated[str, Key("the page of docs/incidents that it rebuilds", 0, 100)] = ""


class Fleet(Struct):
    """The senders of the scenario."""

    senders: Annotated[int, Key("how many", 1, 1000)] = 3
    rank_exponent: Annotated[
        float, Key("their traffic falls by rank to this power; 0: all the same", 0, 3)
    ] = field(name="busiest", default=0.0)
    queue_capacity: Annotated[
        int, Key("messages that each may hold at once; 0: any number", 0, 1_000_000)
    ] = field(name="room", default=400)
    removal_delay: Annotated[
        Duration, Key("so long after a sender was killed its clients are still sent to it", 0, MIN)
    ] = field(name="front", default=Duration(1 * S))


class DestinationGroup(Struct):
    """The destinations of one kind."""

    count: Annotated[int, Key("how many destinations", 1, 100_000)]
    traffic_share: Annotated[
        float, Key("the part of the traffic that goes to all of them, beside other kinds", 0, 1e6)
    ] = field(name="share")
    endpoints: Annotated[int, Key("of each destination", 1, 100)] = 1
    rank_exponent: Annotated[
        float, Key("their traffic falls by rank to this power; 0: all the same", 0, 3)
    ] = field(name="busiest", default=0.0)
    limit_per_endpoint: Annotated[bool, Key("endpoints are separate routes")] = field(
        name="apart", default=False
    )
    workers: Annotated[int, Key("calls that run at once, at each endpoint or at all together", 1, 10_000)] = 4
    shares_workers: Annotated[bool, Key("endpoints share the workers")] = field(name="shared", default=False)
    service_times: Annotated[
        list[Duration], Key("median time of a call, by traffic class; the last for the rest", 1, 16)
    ] = field(name="service", default_factory=lambda: [Duration(50 * MS)])
    service_time_sigma: Annotated[float, Key("sigma of its logarithm", 0, 3)] = field(
        name="spread", default=0.3
    )
    tail_share: Annotated[float, Key("share of calls that take much longer", 0, 1)] = field(
        name="tail", default=0.0
    )
    tail_factor: Annotated[float, Key("how many times as long", 1, 1000)] = 10.0
    samples: Annotated[
        str, Key("a file with a duration on each line: times are drawn from these", 0, 400)
    ] = ""
    queue_capacity: Annotated[int, Key("calls that wait at an endpoint", 0, 100_000)] = field(
        name="queue", default=8
    )
    rate_limit: Annotated[float, Key("calls a second that its rate limit admits; 0: no limit", 0, 1e6)] = (
        field(name="rate", default=0.0)
    )
    rate_window: Annotated[
        Duration, Key("the rate limit counts in windows of this; 0s: a token bucket", 0, H)
    ] = field(name="span", default=Duration(0))
    rate_window_slides: Annotated[bool, Key("the window is always the latest one")] = field(
        name="sliding", default=False
    )
    counts_rejected_calls: Annotated[bool, Key("rejected calls use the rate limit up")] = field(
        name="refused_count", default=False
    )
    retry_after: Annotated[Duration, Key("Retry-After of a call above the rate limit; 0s: none", 0, MIN)] = (
        field(name="wait", default=Duration(0))
    )
    retry_after_until_quota: Annotated[
        bool, Key("Retry-After is instead the time until the window has quota again")
    ] = field(name="to_room", default=False)
    retry_after_share: Annotated[
        float, Key("share of rejections above the rate limit with Retry-After", 0, 1)
    ] = field(name="tells", default=1.0)
    sends_load_reports: Annotated[bool, Key("responses carry limit reports")] = field(
        name="reports", default=False
    )
    report_noise: Annotated[float, Key("sigma of what they report", 0, 1)] = field(name="noise", default=0.0)
    report_age: Annotated[Duration, Key("what they report is so old", 0, MIN)] = field(
        name="late", default=Duration(0)
    )
    max_connections: Annotated[int, Key("that an endpoint holds; 0: any number", 0, 1_000_000)] = field(
        name="connections", default=0
    )
    connection_setup_time: Annotated[
        Duration, Key("that a new connection adds to its first call", 0, MIN)
    ] = field(name="connect_work", default=Duration(0))
    slow_start_share: Annotated[float, Key("of its speed after an outage", 0.01, 1)] = field(
        name="cold_share", default=0.2
    )
    slow_start_time: Annotated[Duration, Key("until it has all of it", 0, H)] = field(
        name="ramp", default=Duration(10 * S)
    )
    overload_multiple: Annotated[
        float, Key("in slow start, more calls than so many times its capacity", 1, 1000)
    ] = field(name="fall_multiple", default=2.0)
    overload_duration: Annotated[Duration, Key("for so long make it collapse", MS, H)] = field(
        name="fall_time", default=Duration(3 * S)
    )
    collapse_time: Annotated[Duration, Key("and it stays silent for this", 0, D)] = field(
        name="fall_down", default=Duration(15 * S)
    )
    pause_interval: Annotated[Duration, Key("it pauses so often; 0s: never", 0, D)] = field(
        name="pause_every", default=Duration(0)
    )
    pause_time: Annotated[Duration, Key("for this long", 0, H)] = field(name="pause_for", default=Duration(0))
    deduplication_window: Annotated[Duration, Key("a key is remembered so long", 0, D)] = field(
        name="window", default=Duration(5 * S)
    )
    completes_abandoned_calls: Annotated[bool, Key("it works on calls whose caller has gone")] = field(
        name="runs_on", default=True
    )
    error_share: Annotated[float, Key("share of calls that fail before an effect", 0, 1)] = field(
        name="errors", default=0.0
    )
    error_after_effect_share: Annotated[float, Key("and after it", 0, 1)] = field(
        name="errors_after", default=0.0
    )


class Span(Struct):
    """A period of the scenario.

    A quiet period may be simulated for less than its length; its requests then have a larger weight.
    """

    length: Annotated[Duration, Key("how long it is", MS, 400 * D)] = field(name="lasts")
    rate: Annotated[float, Key("requests a second as it begins, over the whole fleet", 0, 1e6)]
    end_rate: Annotated[float, Key("and as it ends; below 0: the same", -1, 1e6)] = field(
        name="to", default=-1.0
    )
    simulated_length: Annotated[Duration, Key("how much of it is played; 0s: all", 0, 400 * D)] = field(
        name="played", default=Duration(0)
    )
    name: Annotated[str, Key("for the table, `tue 17h` say", 0, 40)] = ""


class Clients(Struct):
    """The clients, which submit requests."""

    traffic_class_shares: Annotated[dict[Name, float], Key("share of each traffic class", 1, 64)] = field(
        name="mix"
    )
    clump_size: Annotated[int, Key("requests that come at once, for one destination", 1, 10_000)] = field(
        name="clump", default=1
    )
    max_resubmissions: Annotated[int, Key("times a request is submitted again after a rejection", 0, 100)] = (
        field(name="retries", default=1)
    )
    backoff: Annotated[
        Duration, Key("before that, where there is no Retry-After; doubled each time", MS, H)
    ] = Duration(800 * MS)
    retry_after_share: Annotated[float, Key("share of clients that heed Retry-After", 0, 1)] = field(
        name="heeds", default=0.7
    )
    ordering_keys: Annotated[int, Key("ordering keys in use; 0: none", 0, 10_000_000)] = field(
        name="keys", default=0
    )


class Network(Struct):
    """The network between senders and destinations."""

    latency: Annotated[Duration, Key("one way", 0, MIN)] = Duration(8 * MS)
    jitter: Annotated[float, Key("sigma of its logarithm", 0, 2)] = 0.2


class DiscoveryDelay(Struct):
    """The delay with which service discovery reports changes of endpoints."""

    delay: Annotated[Duration, Key("to the first sender", 0, H)] = Duration(1 * S)
    spread: Annotated[Duration, Key("and so much later to the last", 0, H)] = Duration(2 * S)


class ScriptedFault(Struct):
    """One fault of the script."""

    kind: Annotated[FaultKind, Key("what happens")]
    at: Annotated[Duration | None, Key("when, of the time that is played", 0, 400 * D)] = None
    condition: Annotated[
        str, Key("or as soon as a condition holds, `completed > 500` say; see the page", 0, 80)
    ] = field(name="when", default="")
    duration: Annotated[
        Duration, Key("for how long; 0s: to the end, or at once where there is no while", 0, 400 * D)
    ] = field(name="lasts", default=Duration(0))
    targets: Annotated[
        list[str], Key("kinds, `kind/RANK` for one of them, or `sender/N`; empty: all", 0, 1000)
    ] = field(name="to", default_factory=list)
    target_share: Annotated[float, Key("of those named, drawn at random", 0, 1)] = field(
        name="share", default=1.0
    )
    amount: Annotated[float, Key("how much: a factor, a share, milliseconds; see the page", -1e9, 1e9)] = 1.0
    endpoint_count: Annotated[int, Key("replace: how many of each destination; 0: all", 0, 100)] = field(
        name="endpoints", default=0
    )


class Scenario(Struct):
    """The contents of a scenario file."""

    about: About = field(name="day")
    traffic_classes: Annotated[dict[Name, TrafficClass], Key("as in a sender's file", 1, 64)] = field(
        name="tracks"
    )
    destinations: Annotated[dict[Name, DestinationGroup], Key("kinds of destinations", 1, 64)] = field(
        name="partners"
    )
    clients: Clients
    spans: Annotated[list[Span], Key("the traffic from beginning to end", 1, 10_000)]
    fleet: Fleet = field(default_factory=Fleet)
    rules: Rules = field(default_factory=Rules)
    network: Network = field(default_factory=Network)
    discovery: DiscoveryDelay = field(name="directory", default_factory=DiscoveryDelay)
    faults: Annotated[list[ScriptedFault], Key("the script", 0, 10_000)] = field(
        name="troubles", default_factory=list
    )
