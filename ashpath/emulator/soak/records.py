"""What clients, endpoints, agents and the operator saw of a day. Times are seconds of the monotonic clock."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct, field


class Effect(Enum):
    """What a second run of a message would do."""

    REPEATABLE = "free"
    DEDUPLICATED = "tag"
    AT_MOST_ONCE = "once"


class Submission(Struct):
    """One request of a client."""

    message_id: str
    sender: int
    effect: Effect
    destination: int
    ordering_key: str
    sent_at: float
    deadline_at: float
    status: int = 0
    """Of the answer; 0: there was none."""
    answered_at: float = 0.0
    connection_is_new: bool = False
    written: bool = False
    """The last byte of the request was handed to the kernel."""
    closed_unanswered: bool = False
    """The sender ended the connection in place of an answer."""


class Reply(Enum):
    """What an endpoint did with a call."""

    DELIVERED = "200"
    OVERLOADED = "429"
    REFUSED = "503"
    RESET = "reset"
    HUNG = "hung"

    @property
    def may_have_run(self) -> bool:
        """Whether the call had, or may have had, its effect."""
        return self not in (Reply.OVERLOADED, Reply.REFUSED)


class Call(Struct):
    """One call that reached an endpoint."""

    message_id: str
    sender: int
    endpoint_id: str
    destination: int
    begun_at: float
    reply: Reply = Reply.HUNG
    ended_at: float = 0.0
    """As the reply was written or the connection ended; 0: neither."""
    retry_after_s: float = 0.0


class Departure(Struct, frozen=True):
    """An endpoint that a sender's agent had draining or removed."""

    sender: int
    endpoint_id: str
    received_by: float
    """From then on it counts as received, whatever polls met."""


class Incarnation(Struct):
    """One incarnation of a sender's process."""

    sender: int
    started_at: float
    ready_at: float = 0.0
    """0: it never was."""
    end_began_at: float = 1e18
    """SIGTERM, or SIGKILL where that came alone."""
    killed_at: float = 1e18


class NetworkFault(Struct, frozen=True):
    """A time in which a sender's process cannot dial, or loses what it is sent."""

    sender: int
    began_at: float
    ended_at: float


class Outage(Struct, frozen=True):
    """A destination that was down, and then was back with a part of its capacity."""

    destination: int
    began_at: float
    ended_at: float


class SoakRecords(Struct):
    """Of one day, to be judged once it is over."""

    submissions: dict[str, Submission] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    notices: dict[str, float] = field(default_factory=dict)
    """When each message's end was first notified."""
    departures: list[Departure] = field(default_factory=list)
    incarnations: list[Incarnation] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    network_faults: list[NetworkFault] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    ended_at: float = 0.0
