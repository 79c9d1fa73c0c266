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

    lesson: Annotated[str, Key("one line on what the scenario teaches", 1, 200)]
    incident: Annotated[str, Key("page of docs/incidents whose incident the scenario reproduces", 0, 100)] = (
        ""
    )


class Fleet(Struct):
    """The senders of the scenario."""

    senders: Annotated[int, Key("number of senders", 1, 1000)] = 3
    rank_exponent: Annotated[
        float,
        Key(
            "exponent E of the traffic by sender: the sender of rank N, from 1, receives a "
            "share proportional to 1/N^E; 0: equal shares",
            0,
            3,
        ),
    ] = field(name="busiest", default=0.0)
    queue_capacity: Annotated[
        int, Key("largest number of messages that each sender holds at once; 0: no limit", 0, 1_000_000)
    ] = field(name="room", default=400)
    removal_delay: Annotated[
        Duration, Key("time after a sender is killed during which clients are still routed to it", 0, MIN)
    ] = field(name="front", default=Duration(1 * S))


class DestinationGroup(Struct):
    """The destinations of one kind."""

    count: Annotated[int, Key("number of destinations of this kind", 1, 100_000)]
    traffic_share: Annotated[
        float, Key("traffic to all destinations of this kind together, relative to other kinds", 0, 1e6)
    ] = field(name="share")
    endpoints: Annotated[int, Key("number of endpoints of each destination", 1, 100)] = 1
    rank_exponent: Annotated[
        float,
        Key(
            "exponent E of the traffic by destination: the destination of rank N, from 1, "
            "receives a share proportional to 1/N^E; 0: equal shares",
            0,
            3,
        ),
    ] = field(name="busiest", default=0.0)
    limit_per_endpoint: Annotated[bool, Key("whether each endpoint is a separate route")] = field(
        name="apart", default=False
    )
    workers: Annotated[
        int,
        Key(
            "number of calls that are executed concurrently, by each endpoint or, with "
            "`shared`, by all endpoints of a destination together",
            1,
            10_000,
        ),
    ] = 4
    shares_workers: Annotated[bool, Key("whether the endpoints of a destination share its workers")] = field(
        name="shared", default=False
    )
    service_times: Annotated[
        list[Duration],
        Key(
            "median service times of a call, by traffic class; the last one applies to all further classes",
            1,
            16,
        ),
    ] = field(name="service", default_factory=lambda: [Duration(50 * MS)])
    service_time_sigma: Annotated[
        float, Key("standard deviation of the logarithm of the service time; 0: constant service time", 0, 3)
    ] = field(name="spread", default=0.3)
    tail_share: Annotated[float, Key("share of calls that take `tail_factor` times as long", 0, 1)] = field(
        name="tail", default=0.0
    )
    tail_factor: Annotated[
        float, Key("factor by which the service time of calls in the tail is longer", 1, 1000)
    ] = 10.0
    samples: Annotated[
        str,
        Key(
            "path of a file with one duration per line; service times are drawn from these "
            "instead of the distribution",
            0,
            400,
        ),
    ] = ""
    queue_capacity: Annotated[
        int, Key("largest number of calls that wait at an endpoint; further calls are rejected", 0, 100_000)
    ] = field(name="queue", default=8)
    rate_limit: Annotated[
        float, Key("rate limit of a destination in calls per second; 0: no limit", 0, 1e6)
    ] = field(name="rate", default=0.0)
    rate_window: Annotated[
        Duration, Key("length of the windows in which the rate limit counts calls; 0s: a token bucket", 0, H)
    ] = field(name="span", default=Duration(0))
    rate_window_slides: Annotated[
        bool, Key("whether the window of the rate limit slides; otherwise fixed windows follow one another")
    ] = field(name="sliding", default=False)
    counts_rejected_calls: Annotated[bool, Key("whether rejected calls count against the rate limit too")] = (
        field(name="refused_count", default=False)
    )
    retry_after: Annotated[
        Duration, Key("Retry-After in the rejection of a call above the rate limit; 0s: none", 0, MIN)
    ] = field(name="wait", default=Duration(0))
    retry_after_until_quota: Annotated[
        bool,
        Key("whether Retry-After is the time until the rate limit has quota again, instead of `wait`"),
    ] = field(name="to_room", default=False)
    retry_after_share: Annotated[
        float, Key("share of rejections above the rate limit that carry Retry-After", 0, 1)
    ] = field(name="tells", default=1.0)
    sends_load_reports: Annotated[bool, Key("whether responses carry load reports")] = field(
        name="reports", default=False
    )
    report_noise: Annotated[
        float, Key("standard deviation of the noise factor in load reports; 0: exact reports", 0, 1)
    ] = field(name="noise", default=0.0)
    report_age: Annotated[Duration, Key("age of the values in load reports", 0, MIN)] = field(
        name="late", default=Duration(0)
    )
    max_connections: Annotated[
        int, Key("largest number of connections to an endpoint; 0: no limit", 0, 1_000_000)
    ] = field(name="connections", default=0)
    connection_setup_time: Annotated[
        Duration, Key("time that a new connection adds to its first call", 0, MIN)
    ] = field(name="connect_work", default=Duration(0))
    slow_start_share: Annotated[
        float, Key("share of its full speed that a destination has right after an outage", 0.01, 1)
    ] = field(name="cold_share", default=0.2)
    slow_start_time: Annotated[
        Duration, Key("slow start: time after an outage until a destination has its full speed", 0, H)
    ] = field(name="ramp", default=Duration(10 * S))
    overload_multiple: Annotated[
        float,
        Key(
            "multiple of its current capacity above which the load on a destination in slow "
            "start is an overload",
            1,
            1000,
        ),
    ] = field(name="fall_multiple", default=2.0)
    overload_duration: Annotated[
        Duration, Key("duration of an overload in slow start after which a destination collapses", MS, H)
    ] = field(name="fall_time", default=Duration(3 * S))
    collapse_time: Annotated[
        Duration, Key("time for which a destination is silent after a collapse", 0, D)
    ] = field(name="fall_down", default=Duration(15 * S))
    pause_interval: Annotated[
        Duration,
        Key("interval between the pauses of a destination, in which no call starts; 0s: no pauses", 0, D),
    ] = field(name="pause_every", default=Duration(0))
    pause_time: Annotated[Duration, Key("length of each pause of a destination", 0, H)] = field(
        name="pause_for", default=Duration(0)
    )
    deduplication_window: Annotated[
        Duration, Key("time for which a destination remembers an idempotency key", 0, D)
    ] = field(name="window", default=Duration(5 * S))
    completes_abandoned_calls: Annotated[
        bool,
        Key("whether a call whose caller has disconnected is still executed; otherwise it leaves the queue"),
    ] = field(name="runs_on", default=True)
    error_share: Annotated[float, Key("share of calls that fail before their effect", 0, 1)] = field(
        name="errors", default=0.0
    )
    error_after_effect_share: Annotated[float, Key("share of calls that fail after their effect", 0, 1)] = (
        field(name="errors_after", default=0.0)
    )


class Span(Struct):
    """A period of the scenario.

    A quiet period may be simulated for less than its length; its requests then have a larger weight.
    """

    length: Annotated[Duration, Key("length of the span", MS, 400 * D)] = field(name="lasts")
    rate: Annotated[
        float, Key("rate at the start of the span, in requests per second over the whole fleet", 0, 1e6)
    ]
    end_rate: Annotated[
        float,
        Key(
            "rate at the end of the span, in requests per second over the whole fleet; "
            "below 0: the same as `rate`",
            -1,
            1e6,
        ),
    ] = field(name="to", default=-1.0)
    simulated_length: Annotated[
        Duration, Key("part of the length that is simulated; 0s: all of it", 0, 400 * D)
    ] = field(name="played", default=Duration(0))
    name: Annotated[str, Key("name of the span, such as `tue 17h`, for readers of the file", 0, 40)] = ""


class Clients(Struct):
    """The clients, which submit requests."""

    traffic_class_shares: Annotated[
        dict[Name, float], Key("relative shares of the requests, by traffic class", 1, 64)
    ] = field(name="mix")
    batch_size: Annotated[
        int, Key("number of requests that arrive at once for one destination", 1, 10_000)
    ] = field(name="clump", default=1)
    max_resubmissions: Annotated[
        int, Key("largest number of times that a request is submitted again after a rejection", 0, 100)
    ] = field(name="retries", default=1)
    backoff: Annotated[
        Duration,
        Key(
            "pause before the first resubmission if the client heeds no Retry-After; "
            "doubled before each further one",
            MS,
            H,
        ),
    ] = Duration(800 * MS)
    retry_after_share: Annotated[float, Key("share of resubmissions that heed Retry-After", 0, 1)] = field(
        name="heeds", default=0.7
    )
    ordering_keys: Annotated[
        int, Key("number of ordering keys in use; 0: requests have none", 0, 10_000_000)
    ] = field(name="keys", default=0)


class Network(Struct):
    """The network between senders and destinations."""

    latency: Annotated[Duration, Key("median one-way latency", 0, MIN)] = Duration(8 * MS)
    jitter: Annotated[
        float, Key("standard deviation of the logarithm of the latency; 0: constant latency", 0, 2)
    ] = 0.2


class DiscoveryDelay(Struct):
    """The delay with which service discovery reports changes of endpoints."""

    delay: Annotated[Duration, Key("shortest delay until a sender learns of a change of endpoints", 0, H)] = (
        Duration(1 * S)
    )
    spread: Annotated[
        Duration, Key("range of the random additional delay, which differs between senders", 0, H)
    ] = Duration(2 * S)


class ScriptedFault(Struct):
    """One fault of the script."""

    kind: Annotated[FaultKind, Key("kind of the fault")]
    at: Annotated[
        Duration | None,
        Key("time from the start of the run at which the fault begins; given instead of `when`", 0, 400 * D),
    ] = None
    condition: Annotated[
        str,
        Key(
            "condition as of which the fault begins, `SIGNAL > NUMBER` or `SIGNAL < "
            "NUMBER`, such as `completed > 500`; given instead of `at`",
            0,
            80,
        ),
    ] = field(name="when", default="")
    duration: Annotated[
        Duration,
        Key(
            "duration of the fault; 0s: until the end of the run. The kinds `replace` and "
            "`clock` have no duration",
            0,
            400 * D,
        ),
    ] = field(name="lasts", default=Duration(0))
    targets: Annotated[
        list[str],
        Key(
            "targets of the fault: a kind of destinations, `kind/RANK` for one destination, "
            "or `sender/N`; empty: all",
            0,
            1000,
        ),
    ] = field(name="to", default_factory=list)
    target_share: Annotated[
        float, Key("share of the targets that the fault affects, drawn at random", 0, 1)
    ] = field(name="share", default=1.0)
    amount: Annotated[
        float,
        Key(
            "amount of the fault: a factor (`slow`, `limit`, `traffic`), a share of the "
            "calls (`errors`, `errors-after`, `lost`, `resets`) or milliseconds (`clock`, "
            "`directory`, `network`)",
            -1e9,
            1e9,
        ),
    ] = 1.0
    endpoint_count: Annotated[
        int, Key("number of endpoints of each destination that the fault `replace` replaces; 0: all", 0, 100)
    ] = field(name="endpoints", default=0)


class Scenario(Struct):
    """The contents of a scenario file."""

    about: About = field(name="day")
    traffic_classes: Annotated[
        dict[Name, TrafficClass], Key("traffic classes by name, as in a sender's configuration file", 1, 64)
    ] = field(name="tracks")
    destinations: Annotated[dict[Name, DestinationGroup], Key("kinds of destinations, by name", 1, 64)] = (
        field(name="partners")
    )
    clients: Clients
    spans: Annotated[
        list[Span], Key("traffic of the scenario: consecutive spans from its start to its end", 1, 10_000)
    ]
    fleet: Fleet = field(default_factory=Fleet)
    rules: Rules = field(default_factory=Rules)
    network: Network = field(default_factory=Network)
    discovery: DiscoveryDelay = field(name="directory", default_factory=DiscoveryDelay)
    faults: Annotated[list[ScriptedFault], Key("scripted faults", 0, 10_000)] = field(
        name="troubles", default_factory=list
    )
