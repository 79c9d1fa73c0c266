"""The door of the decision module: what a front hands in, and the answers it has to carry out.

Nothing here knows a wire. Times are whole microseconds; ids are opaque and come back unchanged.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Repeat(Enum):
    """What a second run of an envelope of a track would do."""

    REPEATABLE = "free to run again"
    TAGGED = "a repeat is recognised for a while"
    ONCE_ONLY = "must never run twice"


class Presence(Enum):
    """What the directory says of an endpoint; it says nothing of health."""

    LISTED = "listed"
    DRAINING = "draining"
    GONE = "gone"


class Ending(Enum):
    """How a shot ended."""

    COMPLETED = "completed"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    CROWDED = "crowded"  # turned away with its new connection: the endpoint's table of connections is full
    RESET = "reset"
    WITHDRAWN = "withdrawn"
    UNSENT = "unsent"


@dataclass(frozen=True, slots=True)
class TrackTerms:
    """One track of envelopes, as its operator wants it."""

    payoff: float
    promised: int
    cutoff: int
    repeat: Repeat
    window: int  # TAGGED: how long a repeat is recognised, from sending the first shot that may have run
    whole_group: bool  # TAGGED: every endpoint of the destination recognises a repeat, not only one zone's
    late_share: float  # the share of the payoff that is left at the cut-off
    ordered: bool  # its envelopes with the same key go one at a time


@dataclass(frozen=True, slots=True)
class KindTerms:
    """One kind of destination."""

    apart: bool  # its endpoints are separate routes
    per_call: int  # envelopes that may travel as one call


@dataclass(frozen=True, slots=True)
class Terms:
    """What a sender is handed at its start."""

    seed: int
    number: int  # this sender's own number, from 0
    senders: int
    slots: int  # calls out at once
    room: int  # envelopes held at once, sent or not
    most_shots: int
    may_withdraw: bool
    longest_wait: int  # the longest that a client heeds when told to come back later; 0: it is not told
    connect_time: int  # a connection not up by then fails
    idle_time: int  # a connection idle for so long is closed; 0: not told
    tables_told: bool  # a full table of connections ends as CROWDED, so that no connection means one is down
    tracks: tuple[TrackTerms, ...]
    kinds: tuple[KindTerms, ...]
    decays: bool  # payoff halves with each further promised time; else it falls evenly to the cut-off
    drain_grace: int
    cold_share: float  # a destination has this share of its capacity or more after an outage
    ramp_time: int  # and all of it after this
    fall_multiple: float
    fall_time: int
    key_rest: int
    ask_within: int  # the list comes only when asked for, at least so often; 0: it comes by itself
    reports: bool  # answers tell of a limit, where there is one
    rated: bool  # the list has rates, roughly
    notes: bool  # senders may send each other notes, which may be lost
    fees: tuple[float, ...]  # by zone, for an envelope that a route apart there takes on


@dataclass(frozen=True, slots=True)
class Listing:
    """One line of the directory."""

    endpoint: str
    destination: int
    kind: int
    zone: int
    presence: Presence
    weight: float = 0.0  # where `Terms.rated`: calls a second that it takes from all senders; 0: not told


@dataclass(frozen=True, slots=True)
class Told:
    """What an answer told of a destination's limit: noisy, and a little old."""

    left: float  # share of the limit that is left
    rate: float  # calls a second that the limit allows to all senders together


@dataclass(frozen=True, slots=True)
class Past:
    """What an earlier life of this sender did for an envelope that it still owes its end."""

    shots: int
    ran_at: int | None  # when the first shot that may have run began, on this life's clock
    ran_to: str  # the endpoint that it went to
    unheard: bool  # a shot was out as that life ended: one that may have run


class Answers(Protocol):
    """What a front carries out for a sender, in the order of the calls."""

    def shoot(self, envelope: int, endpoint: str, timeout: int) -> None: ...

    def bounce(self, envelope: int, come_back: int) -> None: ...

    def abort(self, envelope: int) -> None: ...

    def withdraw(self, envelope: int, shot: int) -> None: ...

    def release(self, endpoint: str) -> None: ...

    def wake(self, at: int, token: str) -> None: ...

    def ask(self) -> None:
        """For the list and its changes; `listed` or `unlisted` answers."""
        ...

    def tell(self, note: bytes) -> None:
        """To all other senders, which hear it as `heard`, or not at all."""
        ...

    def mode(self, text: str, destination: int, endpoint: str, out: bool, rate: float) -> None:
        """A change of mode at a destination, or at one route if `endpoint` names it. `out`: to this sender it
        is down, and had `rate` calls a second from it before; a further life is told so, by `outage`."""
        ...
