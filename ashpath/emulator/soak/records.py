"""Records of what clients, endpoints, agents and the operator observe. Times are monotonic seconds."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct, field


class Effect(Enum):
    """Effect of a repeated attempt, which differs by traffic class. The value is the name of the class."""

    REPEATABLE = "free"
    DEDUPLICATED = "tag"
    AT_MOST_ONCE = "once"


class Submission(Struct):
    """One request that a client submits."""

    message_id: str
    sender: int
    effect: Effect
    destination: int
    ordering_key: str
    sent_at: float
    deadline_at: float
    status: int = 0
    """Status code of the response; 0 if none was received."""
    answered_at: float = 0.0
    connection_is_new: bool = False
    written: bool = False
    """Whether the last byte of the request was passed to the kernel."""
    closed_unanswered: bool = False
    """Whether the sender closed the connection without a response."""


class Reply(Enum):
    """How an endpoint replied to a call."""

    DELIVERED = "200"
    OVERLOADED = "429"
    REFUSED = "503"
    RESET = "reset"
    HUNG = "hung"
    ABANDONED = "abandoned"
    """The sender ended the connection before the reply."""

    @property
    def may_have_run(self) -> bool:
        """Whether the call took effect, or may have."""
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
    """When the reply was written or the connection ended; 0 if neither happened."""


class RetryAfterRecord(Struct):
    """A response with a Retry-After that was written to a sender, by its endpoint or by a fault."""

    sender: int
    endpoint_id: str
    destination: int
    written_at: float
    """When its head was complete."""
    wait_s: float
    lost: bool = False
    """Whether a fault of the network may have lost it."""


class LatePath(Struct, frozen=True):
    """A period in which new connections to a destination forward nothing for `late_s` after their accept."""

    destination: int
    began_at: float
    ended_at: float
    late_s: float


class Departure(Struct, frozen=True):
    """An endpoint that a sender's discovery agent reported as draining or removed."""

    sender: int
    endpoint_id: str
    received_by: float
    """The report counts as received by the sender from this time on, even if polls failed."""


class Incarnation(Struct):
    """One incarnation of a sender's process."""

    sender: int
    started_at: float
    ready_at: float = 0.0
    """0 if the process never became ready."""
    end_began_at: float = 1e18
    """Time of SIGTERM, or of SIGKILL if no SIGTERM was sent."""
    killed_at: float = 1e18
    exited_at: float = 1e18
    """When the process was seen to have exited."""
    hands_over: bool = False
    """Whether a hot upgrade ended the process: the next incarnation served already, on the same socket."""


class NetworkFault(Struct, frozen=True):
    """A period in which a sender's process cannot connect, or loses received data."""

    sender: int
    began_at: float
    ended_at: float
    loses_data: bool = False
    """Whether calls that receive fail."""


class DiskFault(Struct, frozen=True):
    """A period in which writes of a sender's process failed."""

    sender: int
    began_at: float
    ended_at: float


class ClientFault(Struct, frozen=True):
    """A period in which a proxy closed connections of a sender's clients."""

    sender: int
    began_at: float
    ended_at: float


class NoticeFault(Struct, frozen=True):
    """A period in which a proxy failed the connections that carry a sender's notices."""

    sender: int
    began_at: float
    ended_at: float
    cuts_acknowledgements: bool
    """Whether notices reached their receiver in this period, and only their acknowledgements were lost."""


class Outage(Struct, frozen=True):
    """A period in which a destination was down; it recovers with a part of its capacity."""

    destination: int
    began_at: float
    ended_at: float


class SoakRecords(Struct):
    """The records of one run, which the rule checker reads after the run."""

    submissions: dict[str, Submission] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    notices: dict[str, float] = field(default_factory=dict)
    """Time of the first acknowledged notification of each message's final outcome, by message id."""
    retry_afters: list[RetryAfterRecord] = field(default_factory=list)
    late_paths: list[LatePath] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    incarnations: list[Incarnation] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    network_faults: list[NetworkFault] = field(default_factory=list)
    disk_faults: list[DiskFault] = field(default_factory=list)
    client_faults: list[ClientFault] = field(default_factory=list)
    notice_faults: list[NoticeFault] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    most_resident_bytes: dict[int, int] = field(default_factory=dict)
    """By sender: the largest resident size of its processes together."""
    memory_bytes: dict[int, int] = field(default_factory=dict)
    """By sender: its memory limit."""
    most_sockets: dict[int, int] = field(default_factory=dict)
    """By sender: the most sockets that its processes held together."""
    max_sockets: dict[int, int] = field(default_factory=dict)
    """By sender: its limit of sockets."""
    most_disk_bytes: dict[int, int] = field(default_factory=dict)
    """By sender, the most that all files of its state directory took, each in whole blocks."""
    ended_at: float = 0.0
    longest_pause_s: float = 0.0
    """For how long the process with clients, endpoints and agents was held up at the longest."""

    def record_notice(self, sender: int, message_id: str, at: float) -> None:
        """Records a notification, after all faults: one whose acknowledgement was cut is to be sent again."""
        for fault in self.notice_faults:
            is_affected = fault.sender == sender and fault.began_at <= at <= fault.ended_at
            if is_affected and fault.cuts_acknowledgements:
                return
        self.notices[message_id] = min(at, self.notices.get(message_id, at))
