"""The form of a scenario's file: the fleet, destinations, clients, network, and a script of faults.

The attributes bear the names of the file's keys, which users write; the rest of the emulator uses its own.
`ashpath check` knows these files; the library's stand in `ashpath/emulator/scenarios`.
"""

from typing import Annotated, Literal

from msgspec import Struct, field

from ashpath.config.schema import Rules, TrafficClass
from ashpath.config.schema_types import MIN, MS, D, H, Key, S
from ashpath.config.units import Duration, Name

FAULT_KINDS = (
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
    "directory",
    "kill",
    "network",
    "split",
    "clock",
    "traffic",
)
DESTINATION_FAULTS = FAULT_KINDS[:11]
"""Those that a destination has; the others are faults of senders, clients, discovery or network."""


class About(Struct):
    """What the scenario is, and what it teaches."""

    lesson: Annotated[str, Key("one line on what it teaches", 1, 200)]
    incident: Annotated[str, Key("the page of docs/incidents that it rebuilds", 0, 100)] = ""


class Fleet(Struct):
    """The senders."""

    senders: Annotated[int, Key("how many", 1, 1000)] = 3
    busiest: Annotated[float, Key("their traffic falls by rank to this power; 0: all the same", 0, 3)] = 0.0
    room: Annotated[int, Key("envelopes that each holds at once; 0: any number", 0, 1_000_000)] = 400
    front: Annotated[
        Duration, Key("so long after a sender died its clients are still sent to it", 0, MIN)
    ] = Duration(1 * S)


class DestinationGroup(Struct):
    """Destinations of one kind."""

    count: Annotated[int, Key("how many destinations", 1, 100_000)]
    share: Annotated[
        float, Key("the part of the traffic that goes to all of them, beside other kinds", 0, 1e6)
    ]
    endpoints: Annotated[int, Key("of each destination", 1, 100)] = 1
    busiest: Annotated[float, Key("their traffic falls by rank to this power; 0: all the same", 0, 3)] = 0.0
    apart: Annotated[bool, Key("endpoints are separate routes")] = False
    workers: Annotated[int, Key("calls at work at once, of each endpoint or of all", 1, 10_000)] = 4
    shared: Annotated[bool, Key("endpoints share the workers")] = False
    service: Annotated[
        list[Duration], Key("median time of a call, by track; the last for the rest", 1, 16)
    ] = field(default_factory=lambda: [Duration(50 * MS)])
    spread: Annotated[float, Key("sigma of its logarithm", 0, 3)] = 0.3
    tail: Annotated[float, Key("share of calls that take much longer", 0, 1)] = 0.0
    tail_factor: Annotated[float, Key("how many times as long", 1, 1000)] = 10.0
    samples: Annotated[
        str, Key("a file with a duration on each line: times are drawn from these", 0, 400)
    ] = ""
    queue: Annotated[int, Key("calls that wait at an endpoint", 0, 100_000)] = 8
    rate: Annotated[float, Key("calls a second that its limit allows; 0: none", 0, 1e6)] = 0.0
    span: Annotated[Duration, Key("the limit counts in spans of this; 0s: tokens that flow", 0, H)] = (
        Duration(0)
    )
    sliding: Annotated[bool, Key("the span is always the latest one")] = False
    refused_count: Annotated[bool, Key("refused calls use the limit up")] = False
    wait: Annotated[Duration, Key("told with an answer above the limit; 0s: none", 0, MIN)] = Duration(0)
    to_room: Annotated[bool, Key("told instead: until the limit of a span has room again")] = False
    tells: Annotated[float, Key("share of answers above the limit that tell a wait", 0, 1)] = 1.0
    reports: Annotated[bool, Key("answers tell of the limit")] = False
    noise: Annotated[float, Key("sigma of what they tell", 0, 1)] = 0.0
    late: Annotated[Duration, Key("what they tell is so old", 0, MIN)] = Duration(0)
    connections: Annotated[int, Key("that an endpoint holds; 0: any number", 0, 1_000_000)] = 0
    connect_work: Annotated[Duration, Key("that a new connection adds to its first call", 0, MIN)] = Duration(
        0
    )
    cold_share: Annotated[float, Key("of its speed after an outage", 0.01, 1)] = 0.2
    ramp: Annotated[Duration, Key("until it has all of it", 0, H)] = Duration(10 * S)
    fall_multiple: Annotated[float, Key("more than so many times what it can handle", 1, 1000)] = 2.0
    fall_time: Annotated[Duration, Key("for so long pushes it over", MS, H)] = Duration(3 * S)
    fall_down: Annotated[Duration, Key("and it stays silent for this", 0, D)] = Duration(15 * S)
    pause_every: Annotated[Duration, Key("it stands still so often; 0s: never", 0, D)] = Duration(0)
    pause_for: Annotated[Duration, Key("for this long", 0, H)] = Duration(0)
    window: Annotated[Duration, Key("a key is remembered so long", 0, D)] = Duration(5 * S)
    runs_on: Annotated[bool, Key("it works on calls whose caller has gone")] = True
    errors: Annotated[float, Key("share of calls that fail before an effect", 0, 1)] = 0.0
    errors_after: Annotated[float, Key("and after it", 0, 1)] = 0.0


class Span(Struct):
    """A stretch of the scenario.

    A quiet one may be thinned: played for less than it lasts, and weighted more.
    """

    lasts: Annotated[Duration, Key("how long it is", MS, 400 * D)]
    rate: Annotated[float, Key("envelopes a second as it begins, over the whole fleet", 0, 1e6)]
    to: Annotated[float, Key("and as it ends; below 0: the same", -1, 1e6)] = -1.0
    played: Annotated[Duration, Key("how much of it is played; 0s: all", 0, 400 * D)] = Duration(0)
    name: Annotated[str, Key("for the table, `tue 17h` say", 0, 40)] = ""


class Clients(Struct):
    """Who submits requests."""

    mix: Annotated[dict[Name, float], Key("share of each track", 1, 64)]
    clump: Annotated[int, Key("envelopes that come at once, for one destination", 1, 10_000)] = 1
    retries: Annotated[int, Key("times an envelope is handed in anew after a bounce", 0, 100)] = 1
    backoff: Annotated[Duration, Key("before that, where nothing is told; doubled each time", MS, H)] = (
        Duration(800 * MS)
    )
    heeds: Annotated[float, Key("share of clients that wait as long as they are told", 0, 1)] = 0.7
    keys: Annotated[int, Key("order keys in use; 0: a new one each time", 0, 10_000_000)] = 0


class Network(Struct):
    """Between senders and destinations."""

    latency: Annotated[Duration, Key("one way", 0, MIN)] = Duration(8 * MS)
    jitter: Annotated[float, Key("sigma of its logarithm", 0, 2)] = 0.2


class Directory(Struct):
    """How late service discovery reports changes of endpoints."""

    delay: Annotated[Duration, Key("to the first sender", 0, H)] = Duration(1 * S)
    spread: Annotated[Duration, Key("and so much later to the last", 0, H)] = Duration(2 * S)


class ScriptedFault(Struct):
    """One fault of the script."""

    kind: Annotated[Literal[FAULT_KINDS], Key("what happens")]  # type: ignore[valid-type]
    at: Annotated[Duration | None, Key("when, of the time that is played", 0, 400 * D)] = None
    when: Annotated[
        str, Key("or as soon as a condition holds, `completed > 500` say; see the page", 0, 80)
    ] = ""
    lasts: Annotated[
        Duration, Key("for how long; 0s: to the end, or at once where there is no while", 0, 400 * D)
    ] = Duration(0)
    to: Annotated[
        list[str], Key("kinds, `kind/RANK` for one of them, or `sender/N`; empty: all", 0, 1000)
    ] = field(default_factory=list)
    share: Annotated[float, Key("of those named, drawn by lot", 0, 1)] = 1.0
    amount: Annotated[float, Key("how much: a factor, a share, milliseconds; see the page", -1e9, 1e9)] = 1.0
    endpoints: Annotated[int, Key("replace: how many of each destination; 0: all", 0, 100)] = 0


class Scenario(Struct):
    """The whole file."""

    day: About
    tracks: Annotated[dict[Name, TrafficClass], Key("as in a sender's file", 1, 64)]
    partners: Annotated[dict[Name, DestinationGroup], Key("kinds of destinations", 1, 64)]
    clients: Clients
    spans: Annotated[list[Span], Key("the day from its beginning to its end", 1, 10_000)]
    fleet: Fleet = field(default_factory=Fleet)
    rules: Rules = field(default_factory=Rules)
    network: Network = field(default_factory=Network)
    directory: Directory = field(default_factory=Directory)
    troubles: Annotated[list[ScriptedFault], Key("the script", 0, 10_000)] = field(default_factory=list)
