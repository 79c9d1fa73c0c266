"""The shape of the sender's file: every key with its type, default, bounds, what it is for, and whether
SIGHUP takes it. The checks, the reference page and the reread all go by these rows."""

from dataclasses import dataclass
from typing import Annotated, Literal

from msgspec import Struct, field

from ashpath.config.units import Address, Duration, Size, Word

US, MS, S, MIN, H, D = 1, 1000, 10**6, 60 * 10**6, 3600 * 10**6, 86400 * 10**6
KIB, MIB, GIB = 1 << 10, 1 << 20, 1 << 30


@dataclass(frozen=True, slots=True)
class Key:
    """What stands beside the type of a key. Bounds are in its unit: microseconds, bytes, counts."""

    doc: str
    least: float | None = None
    most: float | None = None
    now: bool = False  # SIGHUP takes a change; else it waits for the next start


class Secret(Struct, forbid_unknown_fields=True):
    """Where a secret is: never in the file itself."""

    env: str = ""
    file: str = ""


class Sender(Struct):
    """This sender."""

    name: Annotated[Word, Key("its name in log lines, and the owner of the state folder")]
    listen: Annotated[Address, Key("address and port for clients")] = Address("127.0.0.1:7070")
    state: Annotated[
        str, Key("folder of its own that outlives the process; a relative one counts from this file's folder")
    ] = "state"
    seed: Annotated[
        str, Key("hexadecimal digits that chance starts from; empty: drawn anew at each start", 0, 16)
    ] = ""
    number: Annotated[int, Key("its own number among senders of one installation", 0, 9999, now=True)] = 0
    senders: Annotated[int, Key("how many senders share the destinations' limits", 1, 10_000, now=True)] = 1


class Platform(Struct):
    """A platform that has the directory and takes notices; without this table destinations stand here."""

    directory: Annotated[Address, Key("address and port of the directory, and of notices", now=True)]


class Track(Struct):
    """One track of envelopes: what a second run would do, and by when they are wanted."""

    repeat: Annotated[
        Literal["repeatable", "tagged", "once-only"],
        Key("what a second run does: nothing; is recognised by its key for a while; must never happen"),
    ]
    cutoff: Annotated[Duration, Key("the longest that an envelope is tried", 10 * MS, 7 * D)]
    promised: Annotated[
        Duration | None,
        Key("when it is wanted; its payoff falls past this. Not given: the cut-off", MS, 7 * D),
    ] = None
    payoff: Annotated[float, Key("what its delivery counts beside other tracks", 0.001, 1e6)] = 1.0
    late_share: Annotated[float, Key("the share of the payoff that is left at the cut-off", 0, 1)] = 0.0
    window: Annotated[
        Duration, Key("tagged: for how long after the first shot a repeat of it is recognised", 0, 7 * D)
    ] = Duration(0)
    whole_group: Annotated[
        bool, Key("tagged: every endpoint of a destination recognises a repeat, not only one zone's")
    ] = True
    ordered: Annotated[bool, Key("envelopes with the same cookie `about` go one at a time, in order")] = False


class Kind(Struct):
    """One kind of destination."""

    apart: Annotated[bool, Key("each endpoint has a gate of its own, as separate routes do")] = False


class Zone(Struct):
    """One zone that endpoints stand in."""

    fee: Annotated[
        float, Key("what a call to a route apart there costs; the cheaper goes first", 0, 1000, now=True)
    ] = 0.0


class Peers(Struct):
    """Other senders of the installation: they tell each other of outages, in datagrams that may be lost."""

    listen: Annotated[Address, Key("address and port for notes of others", now=True)]
    senders: Annotated[
        list[Address], Key("where the others listen; its own may be among them", 1, 10_000, now=True)
    ]


class Metrics(Struct):
    """Counts and gauges of the sender, as Prometheus reads them; without this table nothing is counted."""

    listen: Annotated[Address, Key("address and port where they are read, `/metrics`", now=True)]


class Endpoint(Struct):
    """One endpoint, where an address alone does not say all."""

    address: Annotated[Address, Key("where it is", now=True)]
    id: Annotated[str, Key("its id; empty: made of the destination and the address", now=True)] = ""
    zone: Annotated[str, Key("the zone it stands in", now=True)] = ""
    rate: Annotated[
        float, Key("calls a second of a route apart, roughly; 0: as the destination's", 0, 1e6, now=True)
    ] = 0.0
    draining: Annotated[bool, Key("it completes what it has, and gets nothing new", now=True)] = False


class Destination(Struct):
    """One destination, named by its number in `X-Route-To: dest=NUMBER`."""

    endpoints: Annotated[
        list[Address | Endpoint], Key("addresses, or tables where more is told", 0, 10_000, now=True)
    ]
    name: Annotated[str, Key("what people call it", 0, 128, now=True)] = ""
    kind: Annotated[str, Key("its kind, of those under `kinds`; empty: the first one", now=True)] = ""
    rate: Annotated[
        float, Key("calls a second, roughly, that it takes of all senders; 0: not known", 0, 1e6, now=True)
    ] = 0.0
    authorization: Annotated[
        Secret | None, Key("sent as the header Authorization with each call", now=True)
    ] = None


class Rules(Struct):
    """What the sender may do, and what destinations bear."""

    slots: Annotated[int, Key("calls out at once, over all destinations", 1, 100_000)] = 128
    most_shots: Annotated[int, Key("shots of one envelope; 0: no bound but time", 0, 1000)] = 12
    may_withdraw: Annotated[bool, Key("an overdue call may be called off to free its slot")] = True
    longest_wait: Annotated[
        Duration, Key("the longest that clients are told to stay away; 0s: they are not told", 0, H)
    ] = Duration(3 * S)
    connect_time: Annotated[Duration, Key("a connection not up by then has failed", MS, MIN)] = Duration(S)
    idle_time: Annotated[
        Duration, Key("endpoints close connections that are idle for so long", 100 * MS, H)
    ] = Duration(5 * S)
    reports: Annotated[
        bool, Key("answers tell of the destination's limit: `Endpoint-Load-Metrics: TEXT x0=LEFT, x1=RATE`")
    ] = False
    rates: Annotated[
        bool, Key("the list has rates, roughly: `rate` in this file, `size` in a directory's")
    ] = False
    decay: Annotated[
        Literal["evenly", "halves"],
        Key("how payoff falls past the promised time: evenly to the cut-off, or by half each such time"),
    ] = "evenly"
    drain_grace: Annotated[
        Duration, Key("no call goes to an endpoint later than this after it left the list", 0, MIN)
    ] = Duration(S)
    cold_share: Annotated[float, Key("the share of its capacity it has after an outage", 0, 1)] = 0.2
    ramp_time: Annotated[Duration, Key("and all of it after this", 0, H)] = Duration(10 * S)
    fall_multiple: Annotated[float, Key("more than this times that pushes it over again", 1, 100)] = 2.0
    fall_time: Annotated[Duration, Key("if it lasts so long", 0, H)] = Duration(3 * S)
    key_rest: Annotated[
        Duration, Key("ordered tracks: a key rests so long behind a shot that nobody heard of", 0, MIN)
    ] = Duration(200 * MS)


class Limits(Struct):
    """Counts, sizes and times of the process."""

    descriptors: Annotated[int, Key("file descriptors it may use", 128, 1_000_000)] = 1024
    envelopes: Annotated[int, Key("envelopes held at once, sent or not", 1, 10_000_000)] = 10_000
    disk: Annotated[Size, Key("bytes of the ledger on disk", 64 * KIB, 64 * GIB)] = Size(64 * MIB)
    body: Annotated[Size, Key("the longest body", KIB, 4 * MIB)] = Size(64 * KIB)
    head: Annotated[Size, Key("the longest head of a request or an answer", KIB, MIB)] = Size(16 * KIB)
    request: Annotated[Duration, Key("a request must be whole within this", 100 * MS, H)] = Duration(10 * S)
    quiet: Annotated[
        Duration, Key("a client's connection without a request for so long is closed", 100 * MS, H)
    ] = Duration(30 * S)
    idle_clients: Annotated[
        int, Key("client connections without a request; 0: a sixth of the descriptors", 0, 1_000_000)
    ] = 0


class Notices(Struct):
    """Who is told of envelopes that were taken on and will not be delivered. Nothing here: nobody; who asks
    hears it."""

    address: Annotated[str, Key("`http://HOST:PORT/PATH`, which answers 200 or 204", 0, 512, now=True)] = ""
    authorization: Annotated[Secret | None, Key("sent as the header Authorization", now=True)] = None
    file: Annotated[str, Key("a file of JSON lines; relative to this file's folder", 0, 4096)] = ""
    file_size: Annotated[Size, Key("a file so long becomes FILE.1", KIB, GIB)] = Size(16 * MIB)
    files: Annotated[int, Key("older files kept", 0, 1000)] = 4


class Ends(Struct):
    """How long a client can ask for an envelope's end."""

    kept_for: Annotated[Duration, Key("an end is known for so long", S, 30 * D)] = Duration(H)
    bytes: Annotated[Size, Key("of ends on disk, and of memory; the oldest go first", 4 * KIB, 4 * GIB)] = (
        Size(4 * MIB)
    )


class Logging(Struct):
    """Log lines on standard output."""

    level: Annotated[
        Literal["debug", "info", "warning", "error"], Key("lines below this are not written", now=True)
    ] = "info"
    form: Annotated[Literal["logfmt", "json", "console"], Key("how a line looks", now=True)] = "logfmt"


class Configuration(Struct):
    """The whole file."""

    sender: Sender
    tracks: Annotated[dict[Word, Track], Key("tracks by the name that `X-Qos` has", 1, 64, now=True)]
    platform: Platform | None = None
    peers: Annotated[Peers | None, Key("other senders", now=True)] = None
    metrics: Annotated[Metrics | None, Key("counts and gauges", now=True)] = None
    destinations: Annotated[dict[int, Destination], Key("destinations by number", 0, 1_000_000, now=True)] = (
        field(default_factory=dict)
    )
    kinds: Annotated[dict[Word, Kind], Key("kinds of destinations by name", 1, 64, now=True)] = field(
        default_factory=lambda: {Word("plain"): Kind()}
    )
    zones: Annotated[dict[Word, Zone], Key("zones by name", 0, 64, now=True)] = field(default_factory=dict)
    rules: Annotated[Rules, Key("what destinations bear", now=True)] = field(default_factory=Rules)
    limits: Limits = field(default_factory=Limits)
    notices: Notices = field(default_factory=Notices)
    ends: Ends = field(default_factory=Ends)
    logging: Logging = field(default_factory=Logging)
