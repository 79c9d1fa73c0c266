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
    """The identity, address and state of this sender."""

    name: Annotated[Name, Key("name of the sender in log lines, and of the owner of the state directory")]
    listen: Annotated[Address, Key("address and port at which clients are served")] = Address(
        "127.0.0.1:7070"
    )
    state_directory: Annotated[
        str,
        Key(
            "directory for data that outlives the process, used by this sender alone; a "
            "relative path is resolved against the directory of the configuration file"
        ),
    ] = field(default="state", name="state")
    seed: Annotated[
        str,
        Key("seed of the random generator, in hexadecimal digits; empty: drawn anew at each start", 0, 16),
    ] = ""
    number: Annotated[
        int,
        Key("index of this sender in its installation, from 0; below `senders`", 0, 9999, reloadable=True),
    ] = 0
    senders: Annotated[
        int, Key("number of senders that share the limits of the destinations", 1, 10_000, reloadable=True)
    ] = 1


class Platform(Struct):
    """The platform whose service discovery lists the destinations and which receives notifications. Without
    this table, the table `destinations` lists the destinations."""

    directory: Annotated[
        Address,
        Key("address and port of service discovery, and of the receiver of notifications", reloadable=True),
    ]


class TrafficClass(Struct):
    """One traffic class: the retry safety, the deadline and the value of its messages."""

    retry_safety: Annotated[
        Literal["repeatable", "tagged", "once-only"],
        Key(
            "effect of a second run of a message: none (`repeatable`); none while the "
            "destination recognizes its idempotency key (`tagged`); harm, so that a second "
            "run must never happen (`once-only`)"
        ),
    ] = field(name="repeat")
    deadline: Annotated[
        Duration, Key("longest time from submission until a message expires", 10 * MS, 7 * D)
    ] = field(name="cutoff")
    latency_objective: Annotated[
        Duration | None,
        Key(
            "latency objective: time from submission after which the value of a delivery "
            "decreases; not given: the deadline, `cutoff`",
            MS,
            7 * D,
        ),
    ] = field(default=None, name="promised")
    value: Annotated[float, Key("value of a delivery, relative to other traffic classes", 0.001, 1e6)] = (
        field(default=1.0, name="payoff")
    )
    late_value_share: Annotated[float, Key("share of the value that remains at the deadline", 0, 1)] = field(
        default=0.0, name="late_share"
    )
    deduplication_window: Annotated[
        Duration,
        Key(
            "time from the first attempt during which the destination recognizes a retry; only for `tagged`",
            0,
            7 * D,
        ),
    ] = field(default=Duration(0), name="window")
    deduplicates_across_zones: Annotated[
        bool,
        Key(
            "whether all endpoints of a destination recognize a retry, not only those in "
            "the same zone; only for `tagged`"
        ),
    ] = field(default=True, name="whole_group")
    ordered: Annotated[
        bool, Key("whether messages with the same cookie `about` are sent one at a time, in order")
    ] = False


class DestinationKind(Struct):
    """One kind of destination."""

    limit_per_endpoint: Annotated[
        bool, Key("whether each endpoint is a separate route with a concurrency limit of its own")
    ] = field(default=False, name="apart")


class Zone(Struct):
    """One zone of endpoints."""

    cost: Annotated[
        float,
        Key(
            "cost of a call to an endpoint in this zone, relative to other zones; calls go "
            "to the cheaper zone first. Used for endpoints that have a concurrency limit of "
            "their own",
            0,
            1000,
            reloadable=True,
        ),
    ] = field(default=0.0, name="fee")


class Peers(Struct):
    """Gossip with the other senders of the installation about outages, in datagrams that may be lost."""

    listen: Annotated[
        Address,
        Key("address and port at which gossip messages of other senders are received", reloadable=True),
    ]
    senders: Annotated[
        list[Address],
        Key(
            "addresses and ports at which the other senders listen; this sender's own may be among them",
            1,
            10_000,
            reloadable=True,
        ),
    ]


class Metrics(Struct):
    """Metrics of the sender, served in the Prometheus format. Without this table nothing is counted."""

    listen: Annotated[
        Address,
        Key("address and port at which the metrics are served, at the path `/metrics`", reloadable=True),
    ]


class Endpoint(Struct):
    """One endpoint that has settings besides its address."""

    address: Annotated[Address, Key("address and port of the endpoint", reloadable=True)]
    id: Annotated[
        str,
        Key(
            "id of the endpoint; empty: derived from the number of the destination and the address",
            reloadable=True,
        ),
    ] = ""
    zone: Annotated[str, Key("zone of the endpoint", reloadable=True)] = ""
    rate: Annotated[
        float,
        Key(
            "approximate number of calls per second that the endpoint handles, from all "
            "senders together, if it has a concurrency limit of its own; 0: the rate of the "
            "destination",
            0,
            1e6,
            reloadable=True,
        ),
    ] = 0.0
    draining: Annotated[
        bool,
        Key(
            "whether the endpoint is draining: it completes its calls in flight and receives no new ones",
            reloadable=True,
        ),
    ] = False


class Destination(Struct):
    """One destination, named by its number in `X-Route-To: dest=NUMBER`."""

    endpoints: Annotated[
        list[Address | Endpoint],
        Key(
            "list of endpoints, each an address or a table with further settings", 0, 10_000, reloadable=True
        ),
    ]
    name: Annotated[str, Key("display name of the destination", 0, 128, reloadable=True)] = ""
    kind: Annotated[
        str, Key("kind of the destination, one of those under `kinds`; empty: the first one", reloadable=True)
    ] = ""
    rate: Annotated[
        float,
        Key(
            "approximate number of calls per second that the destination handles, from all "
            "senders together; 0: unknown",
            0,
            1e6,
            reloadable=True,
        ),
    ] = 0.0
    authorization: Annotated[
        Secret | None,
        Key("value of the header Authorization, sent with each call to the destination", reloadable=True),
    ] = None


class Rules(Struct):
    """Rules of the sender for attempts, and properties of the destinations that it relies on."""

    max_in_flight: Annotated[
        int, Key("largest number of concurrent calls, over all destinations", 1, 100_000)
    ] = field(default=128, name="slots")
    max_attempts: Annotated[
        int, Key("largest number of attempts per message; 0: limited only by the deadline", 0, 1000)
    ] = field(default=12, name="most_shots")
    may_cancel: Annotated[
        bool, Key("whether an overdue call may be cancelled to free its place in the concurrency limit")
    ] = field(default=True, name="may_withdraw")
    max_retry_after: Annotated[
        Duration, Key("longest `Retry-After` in responses to clients; 0s: responses carry none", 0, H)
    ] = field(default=Duration(3 * S), name="longest_wait")
    connect_timeout: Annotated[
        Duration, Key("timeout for establishing a connection to an endpoint", MS, MIN)
    ] = field(default=Duration(S), name="connect_time")
    idle_timeout: Annotated[
        Duration, Key("idle time after which endpoints close a connection", 100 * MS, H)
    ] = field(default=Duration(5 * S), name="idle_time")
    has_load_reports: Annotated[
        bool, Key("whether responses carry load reports: `Endpoint-Load-Metrics: TEXT x0=LEFT, x1=RATE`")
    ] = field(default=False, name="reports")
    has_listed_rates: Annotated[
        bool,
        Key(
            "whether the endpoint list has approximate rates: `rate` in this file, `size` "
            "in a list from service discovery"
        ),
    ] = field(default=False, name="rates")
    value_decay: Annotated[
        Literal["evenly", "halves"],
        Key(
            "decrease of the value after the latency objective: `evenly`, linear until the "
            "deadline; `halves`, by half with each further latency objective"
        ),
    ] = field(default="evenly", name="decay")
    drain_grace: Annotated[
        Duration,
        Key(
            "time after an endpoint leaves the endpoint list during which calls may still be sent to it",
            0,
            MIN,
        ),
    ] = Duration(S)
    initial_capacity_share: Annotated[
        float, Key("share of its capacity that a destination has right after an outage", 0, 1)
    ] = field(default=0.2, name="cold_share")
    warm_up_time: Annotated[
        Duration, Key("warm-up: time after an outage until a destination has its full capacity", 0, H)
    ] = field(default=Duration(10 * S), name="ramp_time")
    overload_multiple: Annotated[
        float,
        Key(
            "multiple of its current capacity above which the load on a destination in "
            "warm-up is an overload, which causes a new outage",
            1,
            100,
        ),
    ] = field(default=2.0, name="fall_multiple")
    overload_duration: Annotated[
        Duration, Key("time for which an overload in warm-up has to last to cause a new outage", 0, H)
    ] = field(default=Duration(3 * S), name="fall_time")
    settle_time: Annotated[
        Duration,
        Key(
            "time between an unresolved attempt and the next message with the same ordering "
            "key, in ordered traffic classes",
            0,
            MIN,
        ),
    ] = field(default=Duration(200 * MS), name="key_rest")


class Limits(Struct):
    """Limits on the resources of the process, and timeouts of client connections."""

    descriptors: Annotated[
        int, Key("number of file descriptors that the process may use", 128, 1_000_000)
    ] = 1024
    memory: Annotated[
        Size,
        Key(
            "memory that the process may use; connections, requests and messages share it", 32 * MIB, 64 * GIB
        ),
    ] = Size(256 * MIB)
    queue_capacity: Annotated[
        int, Key("largest number of accepted messages that are queued or in flight", 1, 10_000_000)
    ] = field(default=10_000, name="envelopes")
    disk: Annotated[Size, Key("disk space for the write-ahead log", 64 * KIB, 64 * GIB)] = Size(64 * MIB)
    body: Annotated[Size, Key("largest size of the body of a request or a response", KIB, 4 * MIB)] = Size(
        64 * KIB
    )
    head: Annotated[
        Size, Key("largest size of the first line and the headers of a request or a response", KIB, MIB)
    ] = Size(16 * KIB)
    request_timeout: Annotated[
        Duration, Key("timeout for receiving a complete request from a client", 100 * MS, H)
    ] = field(default=Duration(10 * S), name="request")
    client_idle_timeout: Annotated[
        Duration, Key("time without a request after which a client connection is closed", 100 * MS, H)
    ] = field(default=Duration(30 * S), name="quiet")
    idle_client_connections: Annotated[
        int,
        Key(
            "largest number of client connections without a request; 0: a sixth of `descriptors`",
            0,
            1_000_000,
        ),
    ] = field(default=0, name="idle_clients")


class Notifications(Struct):
    """The receiver of notifications about messages that were accepted and will not be delivered. With neither
    `address` nor `file`, the platform receives them if one is configured; otherwise none are sent, and
    clients can query the outcome."""

    address: Annotated[
        str,
        Key(
            "URL that notifications are sent to, `http://HOST:PORT/PATH`; its server "
            "acknowledges them with status 200 or 204",
            0,
            512,
            reloadable=True,
        ),
    ] = ""
    authorization: Annotated[
        Secret | None,
        Key("value of the header Authorization, sent with each notification call", reloadable=True),
    ] = None
    file: Annotated[
        str,
        Key(
            "path of a file that notifications are appended to as JSON lines; a relative "
            "path is resolved against the directory of the configuration file",
            0,
            4096,
        ),
    ] = ""
    max_file_size: Annotated[
        Size,
        Key("size at which the file of notifications is renamed to FILE.1 and a new file begins", KIB, GIB),
    ] = field(default=Size(16 * MIB), name="file_size")
    kept_files: Annotated[int, Key("number of older files of notifications that are kept", 0, 1000)] = field(
        default=4, name="files"
    )


class Outcomes(Struct):
    """The store of final outcomes, which clients can query."""

    retention: Annotated[Duration, Key("time for which the outcome of a message is kept", S, 30 * D)] = field(
        default=Duration(H), name="kept_for"
    )
    max_bytes: Annotated[
        Size,
        Key(
            "disk space for outcomes, and the same limit in memory; the oldest outcomes are deleted first",
            4 * KIB,
            4 * GIB,
        ),
    ] = field(default=Size(4 * MIB), name="bytes")


class Logging(Struct):
    """The log, which is written to standard output."""

    level: Annotated[
        Literal["debug", "info", "warning", "error"],
        Key("lowest level of the lines that are written", reloadable=True),
    ] = "info"
    form: Annotated[Literal["logfmt", "json", "console"], Key("format of the log lines", reloadable=True)] = (
        "logfmt"
    )


class Configuration(Struct):
    """The complete configuration file."""

    sender: Sender
    traffic_classes: Annotated[
        dict[Name, TrafficClass],
        Key("traffic classes, by the name in the header `X-Qos`", 1, 64, reloadable=True),
    ] = field(name="tracks")
    platform: Platform | None = None
    peers: Annotated[Peers | None, Key("gossip with other senders", reloadable=True)] = None
    metrics: Annotated[Metrics | None, Key("metrics for Prometheus", reloadable=True)] = None
    destinations: Annotated[
        dict[int, Destination], Key("destinations, by number", 0, 1_000_000, reloadable=True)
    ] = field(default_factory=dict)
    kinds: Annotated[
        dict[Name, DestinationKind], Key("kinds of destinations, by name", 1, 64, reloadable=True)
    ] = field(default_factory=lambda: {Name("plain"): DestinationKind()})
    zones: Annotated[dict[Name, Zone], Key("zones, by name", 0, 64, reloadable=True)] = field(
        default_factory=dict
    )
    rules: Annotated[
        Rules, Key("rules of the sender, and properties of the destinations", reloadable=True)
    ] = field(default_factory=Rules)
    limits: Limits = field(default_factory=Limits)
    notifications: Notifications = field(default_factory=Notifications, name="notices")
    outcomes: Outcomes = field(default_factory=Outcomes, name="ends")
    logging: Logging = field(default_factory=Logging)
