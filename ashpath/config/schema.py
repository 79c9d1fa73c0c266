"""The schema of the sender's file: every key with its type, default, bounds, purpose, and whether a reload
applies it.

A field is named by the term that the program uses; `field(name=...)` gives the key of the file where that
differs. Validation, the reference page and the reload all read these structs; no other module lists the keys.
The docstrings of the structs and the texts of `Key` appear in docs/configuration.md.
"""

from typing import Annotated, Literal

from msgspec import Struct, field

from ashpath.config.schema_types import GIB, KIB, MIB, MIN, MS, D, H, Key, S, Secret
from ashpath.config.units import Address, Duration, Name, Size


class Sender(Struct):
    """This sender."""

    name: Annotated[Name, Key("its name in log lines, and the owner of the state directory")]
    listen: Annotated[Address, Key("address and port for clients")] = Address("127.0.0.1:7070")
    state_directory: Annotated[
        str,
        Key("directory of its own that outlives the process; a relative one counts from this file's folder"),
    ] = field(default="state", name="state")
    seed: Annotated[
        str, Key("hexadecimal digits that chance starts from; empty: drawn anew at each start", 0, 16)
    ] = ""
    number: Annotated[
        int, Key("its own number among senders of one installation", 0, 9999, reloadable=True)
    ] = 0
    senders: Annotated[
        int, Key("how many senders share the destinations' limits", 1, 10_000, reloadable=True)
    ] = 1


class Platform(Struct):
    """A platform with service discovery that receives notifications; without it destinations stand here."""

    directory: Annotated[
        Address, Key("address and port of service discovery, and of notifications", reloadable=True)
    ]


class TrafficClass(Struct):
    """One traffic class: what a second run of its messages would do, and by when they are wanted."""

    retry_safety: Annotated[
        Literal["repeatable", "tagged", "once-only"],
        Key("what a second run does: nothing; is recognised by its key for a while; must never happen"),
    ] = field(name="repeat")
    deadline: Annotated[Duration, Key("the longest that a message is tried", 10 * MS, 7 * D)] = field(
        name="cutoff"
    )
    latency_objective: Annotated[
        Duration | None,
        Key("the latency objective: a later delivery is worth less. Not given: the deadline", MS, 7 * D),
    ] = field(default=None, name="promised")
    value: Annotated[float, Key("the value of a delivery beside other traffic classes", 0.001, 1e6)] = field(
        default=1.0, name="payoff"
    )
    late_value_share: Annotated[float, Key("the share of the value that is left at the deadline", 0, 1)] = (
        field(default=0.0, name="late_share")
    )
    deduplication_window: Annotated[
        Duration,
        Key("tagged: for how long after the first attempt a retry of it is recognised", 0, 7 * D),
    ] = field(default=Duration(0), name="window")
    deduplicates_across_zones: Annotated[
        bool, Key("tagged: every endpoint of a destination recognises a retry, not only one zone's")
    ] = field(default=True, name="whole_group")
    ordered: Annotated[
        bool, Key("messages with the same cookie `about` are sent one at a time, in order")
    ] = False


class DestinationKind(Struct):
    """One kind of destination."""

    limit_per_endpoint: Annotated[
        bool, Key("each endpoint has a concurrency limit of its own, as separate routes do")
    ] = field(default=False, name="apart")


class Zone(Struct):
    """One zone that endpoints stand in."""

    cost: Annotated[
        float,
        Key(
            "the cost of a call there to an endpoint with a limit of its own; the cheaper goes first",
            0,
            1000,
            reloadable=True,
        ),
    ] = field(default=0.0, name="fee")


class Peers(Struct):
    """Other senders of the installation: they gossip about outages, in datagrams that may be lost."""

    listen: Annotated[Address, Key("address and port for gossip of the others", reloadable=True)]
    senders: Annotated[
        list[Address], Key("where the others listen; its own may be among them", 1, 10_000, reloadable=True)
    ]


class Metrics(Struct):
    """Counts and gauges of the sender, as Prometheus reads them; without this table nothing is counted."""

    listen: Annotated[Address, Key("address and port where they are read, `/metrics`", reloadable=True)]


class Endpoint(Struct):
    """One endpoint, where an address alone does not say all."""

    address: Annotated[Address, Key("where it is", reloadable=True)]
    id: Annotated[str, Key("its id; empty: made of the destination and the address", reloadable=True)] = ""
    zone: Annotated[str, Key("the zone it stands in", reloadable=True)] = ""
    rate: Annotated[
        float,
        Key(
            "calls a second, roughly, where it has a limit of its own; 0: as the destination's",
            0,
            1e6,
            reloadable=True,
        ),
    ] = 0.0
    draining: Annotated[bool, Key("it completes what it has, and gets nothing new", reloadable=True)] = False


class Destination(Struct):
    """One destination, named by its number in `X-Route-To: dest=NUMBER`."""

    endpoints: Annotated[
        list[Address | Endpoint],
        Key("addresses, or tables where an address does not say all", 0, 10_000, reloadable=True),
    ]
    name: Annotated[str, Key("what people call it", 0, 128, reloadable=True)] = ""
    kind: Annotated[str, Key("its kind, of those under `kinds`; empty: the first one", reloadable=True)] = ""
    rate: Annotated[
        float,
        Key("calls a second, roughly, that it takes of all senders; 0: not known", 0, 1e6, reloadable=True),
    ] = 0.0
    authorization: Annotated[
        Secret | None, Key("sent as the header Authorization with each call", reloadable=True)
    ] = None


class Rules(Struct):
    """What the sender may do, and what destinations bear."""

    max_in_flight: Annotated[int, Key("calls in flight at once, over all destinations", 1, 100_000)] = field(
        default=128, name="slots"
    )
    max_attempts: Annotated[int, Key("attempts of one message; 0: no bound but time", 0, 1000)] = field(
        default=12, name="most_shots"
    )
    may_cancel: Annotated[
        bool, Key("an overdue call may be cancelled to free its place in the concurrency limit")
    ] = field(default=True, name="may_withdraw")
    max_retry_after: Annotated[
        Duration, Key("the longest `Retry-After` that clients are given; 0s: they are given none", 0, H)
    ] = field(default=Duration(3 * S), name="longest_wait")
    connect_timeout: Annotated[Duration, Key("a connection not up by then has failed", MS, MIN)] = field(
        default=Duration(S), name="connect_time"
    )
    idle_timeout: Annotated[
        Duration, Key("endpoints close connections that are idle for so long", 100 * MS, H)
    ] = field(default=Duration(5 * S), name="idle_time")
    has_load_reports: Annotated[
        bool, Key("responses carry load reports: `Endpoint-Load-Metrics: TEXT x0=LEFT, x1=RATE`")
    ] = field(default=False, name="reports")
    has_listed_rates: Annotated[
        bool, Key("the endpoint list has rates, roughly: `rate` in this file, `size` in a directory's")
    ] = field(default=False, name="rates")
    value_decay: Annotated[
        Literal["evenly", "halves"],
        Key(
            "how the value falls past the latency objective: evenly to the deadline, or halved each such time"
        ),
    ] = field(default="evenly", name="decay")
    drain_grace: Annotated[
        Duration, Key("no call goes to an endpoint later than this after it left the list", 0, MIN)
    ] = Duration(S)
    initial_capacity_share: Annotated[
        float, Key("the share of its capacity that a destination has after an outage", 0, 1)
    ] = field(default=0.2, name="cold_share")
    warm_up_time: Annotated[Duration, Key("and all of it after this", 0, H)] = field(
        default=Duration(10 * S), name="ramp_time"
    )
    overload_multiple: Annotated[
        float, Key("more than this times that is an overload, which brings it down again", 1, 100)
    ] = field(default=2.0, name="fall_multiple")
    overload_duration: Annotated[Duration, Key("if it lasts so long", 0, H)] = field(
        default=Duration(3 * S), name="fall_time"
    )
    settle_time: Annotated[
        Duration,
        Key("ordered traffic classes: how long an ordering key waits behind an unresolved attempt", 0, MIN),
    ] = field(default=Duration(200 * MS), name="key_rest")


class Limits(Struct):
    """Counts, sizes and times of the process."""

    descriptors: Annotated[int, Key("file descriptors it may use", 128, 1_000_000)] = 1024
    queue_capacity: Annotated[
        int, Key("messages accepted and not finished at once, sent or not", 1, 10_000_000)
    ] = field(default=10_000, name="envelopes")
    disk: Annotated[Size, Key("bytes of the write-ahead log on disk", 64 * KIB, 64 * GIB)] = Size(64 * MIB)
    body: Annotated[Size, Key("the longest body", KIB, 4 * MIB)] = Size(64 * KIB)
    head: Annotated[Size, Key("the longest head of a request or a response", KIB, MIB)] = Size(16 * KIB)
    request_timeout: Annotated[Duration, Key("a request must be whole within this", 100 * MS, H)] = field(
        default=Duration(10 * S), name="request"
    )
    client_idle_timeout: Annotated[
        Duration, Key("a client's connection without a request for so long is closed", 100 * MS, H)
    ] = field(default=Duration(30 * S), name="quiet")
    idle_client_connections: Annotated[
        int, Key("client connections without a request; 0: a sixth of the descriptors", 0, 1_000_000)
    ] = field(default=0, name="idle_clients")


class Notifications(Struct):
    """Who is notified of messages that were accepted and will not be delivered. Nothing here: nobody;
    clients can ask."""

    address: Annotated[
        str, Key("`http://HOST:PORT/PATH`, which answers 200 or 204", 0, 512, reloadable=True)
    ] = ""
    authorization: Annotated[Secret | None, Key("sent as the header Authorization", reloadable=True)] = None
    file: Annotated[str, Key("a file of JSON lines; relative to this file's folder", 0, 4096)] = ""
    max_file_size: Annotated[Size, Key("a file so long becomes FILE.1", KIB, GIB)] = field(
        default=Size(16 * MIB), name="file_size"
    )
    kept_files: Annotated[int, Key("older files kept", 0, 1000)] = field(default=4, name="files")


class Outcomes(Struct):
    """How long a client can ask for a message's outcome."""

    retention: Annotated[Duration, Key("an outcome is known for so long", S, 30 * D)] = field(
        default=Duration(H), name="kept_for"
    )
    max_bytes: Annotated[
        Size, Key("of outcomes on disk, and of memory; the oldest go first", 4 * KIB, 4 * GIB)
    ] = field(default=Size(4 * MIB), name="bytes")


class Logging(Struct):
    """Log lines on standard output."""

    level: Annotated[
        Literal["debug", "info", "warning", "error"],
        Key("lines below this are not written", reloadable=True),
    ] = "info"
    form: Annotated[Literal["logfmt", "json", "console"], Key("how a line looks", reloadable=True)] = "logfmt"


class Configuration(Struct):
    """The whole file."""

    sender: Sender
    traffic_classes: Annotated[
        dict[Name, TrafficClass],
        Key("traffic classes by the name that `X-Qos` has", 1, 64, reloadable=True),
    ] = field(name="tracks")
    platform: Platform | None = None
    peers: Annotated[Peers | None, Key("other senders", reloadable=True)] = None
    metrics: Annotated[Metrics | None, Key("counts and gauges", reloadable=True)] = None
    destinations: Annotated[
        dict[int, Destination], Key("destinations by number", 0, 1_000_000, reloadable=True)
    ] = field(default_factory=dict)
    kinds: Annotated[
        dict[Name, DestinationKind], Key("kinds of destinations by name", 1, 64, reloadable=True)
    ] = field(default_factory=lambda: {Name("plain"): DestinationKind()})
    zones: Annotated[dict[Name, Zone], Key("zones by name", 0, 64, reloadable=True)] = field(
        default_factory=dict
    )
    rules: Annotated[Rules, Key("what destinations bear", reloadable=True)] = field(default_factory=Rules)
    limits: Limits = field(default_factory=Limits)
    notifications: Notifications = field(default_factory=Notifications, name="notices")
    outcomes: Outcomes = field(default_factory=Outcomes, name="ends")
    logging: Logging = field(default_factory=Logging)
