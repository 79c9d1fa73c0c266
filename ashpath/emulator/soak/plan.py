"""Draws the plan of a run from its seed: all times, faults and numbers are fixed before the run begins."""

from __future__ import annotations

from enum import Enum
from random import Random

from msgspec import Struct
from msgspec.structs import replace

from ashpath.emulator.crowd.shapes import CrowdShape
from ashpath.emulator.fault_injection.call_faults import ProcessFaults, draw_faults
from ashpath.emulator.fault_injection.discovery_agent import AgentReply
from ashpath.emulator.fault_injection.stream_faults import StreamFault, StreamFaults
from ashpath.emulator.fault_injection.tcp_proxy import ProxyMode
from ashpath.emulator.soak.records import Reply

DISK_MB = 1  # the disk limit of each sender, in MiB
MEMORY_MB_BY_UPGRADES = (64, 128, 192)  # the memory limit of a sender, by the number of its hot upgrades
SENDERS = 3
DESTINATIONS = 3
FEW_DESCRIPTORS = 150
CROWDING_CLIENTS = 40  # more than the client connections of a sender with few descriptors
MIN_SERIES_S, MAX_SERIES_S = 1.1, 2.3  # between two kills of a series: the start takes 0.6 s and more
MIN_UPGRADES_S, MAX_UPGRADES_S = 1.0, 3.0  # between two upgrades; a process drains for up to 3.7 s
FIRST_FAULT_S = 1.5  # earliest time of a fault after the start of the run
FAILING_REPLIES = (
    AgentReply.SILENT,
    AgentReply.REJECT,
    AgentReply.RESET,
    AgentReply.CLOSE,
    AgentReply.UNREADABLE,
)
CLIENT_MODES = (
    ProxyMode.LATE,
    ProxyMode.RESET,
    ProxyMode.RESET_AFTER_BYTE,
    ProxyMode.HALF_RESPONSE,
    ProxyMode.SILENT,
)
NOTICE_MODES = (
    ProxyMode.LATE,
    ProxyMode.RESET_AFTER_BYTE,
    ProxyMode.HALF_RESPONSE,
    ProxyMode.SILENT,
)
PROXY_MODES = (ProxyMode.LATE, ProxyMode.RESET, ProxyMode.RESET_AFTER_BYTE, ProxyMode.HALF_RESPONSE)


MESSAGE_DELAYS_S = (0.0, 0.003, 0.012, 0.04, 0.12, 0.4, 0.9)
RETRY_AFTER_FAULTS = (
    StreamFault.INVENT,
    StreamFault.INVENT_IN_HALVES,
    StreamFault.PRECEDE_DATA,
    StreamFault.REPLACE_AND_END,
    StreamFault.REPEAT_JOINED,
)
REFUSAL = b"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.8\r\nContent-Length: 0\r\n\r\n"
CUT_REFUSAL = b"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.8\r\nContent-Length: 50\r\n\r\n0123456789"
RANDOM_BYTES = bytes(range(0x80, 0x90))
DRAWN_STREAM_FAULTS = (
    StreamFault.REPEAT,
    StreamFault.REPEAT_IN_HALVES,
    StreamFault.OTHER_STATUS,
    StreamFault.PRECEDE,
    StreamFault.INVENT,
    StreamFault.DELAY,
)
"""Faults of responses, in this order, so that a seed keeps its fault."""
DRAWN_FIELDS = 5  # of `MessageFaults`, in their order, so that a seed keeps what is left out
INVENTED_DATA = (b"\x15\x03\x03\x00\x02\x01\x00", b"GET / HTTP/1.1\r\n\r\n", b"HTTP/1.1 103 X\r\n\r\n")


class StopMethod(Enum):
    """How a sender is stopped before it is started again."""

    TERMINATE = "SIGTERM, and SIGKILL 3.7 s later"
    KILL = "SIGKILL"


class RestartEvent(Struct, frozen=True):
    """One sender is stopped and started again."""

    at: float
    sender: int
    how: StopMethod


class UpgradeEvent(Struct, frozen=True):
    """A second process of one sender starts, and the first one is stopped once the second is ready."""

    at: float
    sender: int
    how: StopMethod


class DrainEvent(Struct, frozen=True):
    """An endpoint drains while the discovery agents fail with `replies`.

    `moves` SIGHUPs to each sender meanwhile switch it between its agents.
    """

    at: float
    destination: int
    replies: tuple[AgentReply, ...]
    moves: int


class ProxyEvent(Struct, frozen=True):
    """Connections of all senders to a destination fail in one way for a limited time."""

    at: float
    until: float
    destination: int
    mode: ProxyMode


class ClientFaultEvent(Struct, frozen=True):
    """Connections of the clients of one sender fail in one way for a limited time."""

    at: float
    until: float
    sender: int
    mode: ProxyMode


class NoticeFaultEvent(Struct, frozen=True):
    """Connections that carry the notices of one sender fail in one way for a limited time."""

    at: float
    until: float
    sender: int
    mode: ProxyMode


class DescriptorLimit(Struct, frozen=True):
    """Each process of one sender has few descriptors, while idle clients crowd it."""

    sender: int
    descriptors: int
    idle_clients: int


class CrowdEvent(Struct, frozen=True):
    """A crowd of clients plays one shape against a sender, past the proxy of its other clients."""

    at: float
    duration_s: float
    sender: int
    shape: CrowdShape
    clients: int


class OutageEvent(Struct, frozen=True):
    """A destination is down, and resets every connection that sends a call."""

    at: float
    until: float
    destination: int


class MessageFaults(Struct, frozen=True):
    """Messages that come twice or late on the paths of all senders, throughout the run; None: no fault."""

    endpoint_responses: StreamFaults | None = None
    notice_responses: StreamFaults | None = None
    reject_notices_every: int = 0
    """Of the batches of notices, the discovery agents answer one in so many 503, after a pause; 0: none."""
    poll_responses: StreamFaults | None = None
    client_requests: StreamFaults | None = None
    retry_after_responses: StreamFaults | None = None
    """Of endpoints, instead of `endpoint_responses` where both affect a response."""


class EndpointBehaviour(Struct, frozen=True):
    """How endpoints serve calls while their destination is up."""

    processing_s: tuple[float, float] = (0.002, 0.06)
    """Range of the time to a reply."""
    fault_share: float = 0.06
    """Share of the calls that get one of `fault_replies`."""
    fault_replies: tuple[Reply, ...] = (Reply.OVERLOADED, Reply.REFUSED, Reply.RESET, Reply.HUNG)


class SoakPlan(Struct, frozen=True):
    """The plan of one run. Times are seconds from the start of the run."""

    seed: int
    duration_s: float
    rate: float
    """Requests per second to each sender."""
    idle_clients: int
    restarts: tuple[RestartEvent, ...]
    drains: tuple[DrainEvent, ...]
    proxies: tuple[ProxyEvent, ...]
    outages: tuple[OutageEvent, ...]
    process_faults: tuple[ProcessFaults, ...]
    """By sender; each process of that sender has these faults."""
    client_faults: tuple[ClientFaultEvent, ...]
    notice_faults: tuple[NoticeFaultEvent, ...]
    descriptor_limits: tuple[DescriptorLimit, ...]
    upgrades: tuple[UpgradeEvent, ...]
    """Of senders without a restart."""
    message_faults: MessageFaults = MessageFaults()
    endpoint_behaviour: EndpointBehaviour = EndpointBehaviour()
    crowds: tuple[CrowdEvent, ...] = ()


def draw_plan(
    seed: int,
    duration_s: float = 12.0,
    *,
    with_upgrades: bool = False,
    with_message_faults: bool = False,
    with_crowds: bool = False,
    with_second_upgrades: bool = False,
) -> SoakPlan:
    """Returns the plan for a seed; the same seed gives the same plan.

    `with_upgrades`, `with_message_faults`: whether some seeds have a hot upgrade, or messages that come twice
    or late. All other events of a seed are the same then. `with_crowds`: whether some seeds have a crowd, and
    some a sender that is killed again soon after its start; restarts of other senders are the same.
    `with_second_upgrades`: whether some hot upgrades are followed by another one while the first process may
    still drain."""
    random = Random(f"soak {seed}")
    last = duration_s - 5.0
    drain_at = random.uniform(FIRST_FAULT_S, last / 2)
    replies = tuple(random.choice(FAILING_REPLIES) for _ in range(random.randrange(3)))
    drain = DrainEvent(drain_at, 0, replies, random.choice((0, 0, 1, 4)))
    restarts = [
        RestartEvent(random.uniform(FIRST_FAULT_S, last), sender, random.choice(tuple(StopMethod)))
        for sender in range(SENDERS)
        if random.random() < 0.6
    ]
    proxies = []
    if random.random() < 0.7:
        at = random.uniform(FIRST_FAULT_S, last)
        proxies = [ProxyEvent(at, at + random.uniform(0.5, 2.0), 1, random.choice(PROXY_MODES))]
    outages = []
    if random.random() < 0.5:
        at = random.uniform(FIRST_FAULT_S, last / 2)
        outages = [OutageEvent(at, at + random.uniform(2.5, 4.0), 2)]
    # Events are drawn in the order in which they were added to the plan, so that a seed keeps its events.
    rate = random.uniform(8.0, 25.0)
    idle_clients = random.choice((0, 0, 150))
    process_faults = tuple(draw_faults(random, duration_s) for _ in range(SENDERS))
    client_faults = draw_client_faults(random, last)
    notice_faults = draw_notice_faults(random, duration_s)
    descriptor_limits = draw_descriptor_limits(random)
    upgrades = draw_upgrades(random, last, {event.sender for event in restarts}) if with_upgrades else ()
    if with_second_upgrades:
        upgrades += draw_second_upgrades(seed, upgrades)
    if with_crowds:
        busy = {event.sender for event in restarts} | {event.sender for event in upgrades}
        restarts += draw_kills_in_series(seed, last, busy)
    return SoakPlan(
        seed=seed,
        duration_s=duration_s,
        rate=rate,
        idle_clients=idle_clients,
        restarts=tuple(sorted(restarts, key=lambda event: event.at)),
        drains=(drain,),
        proxies=tuple(proxies),
        outages=tuple(outages),
        process_faults=process_faults,
        client_faults=client_faults,
        notice_faults=notice_faults,
        descriptor_limits=descriptor_limits,
        upgrades=upgrades,
        message_faults=draw_message_faults(seed) if with_message_faults else MessageFaults(),
        crowds=draw_crowds(seed, duration_s) if with_crowds else (),
    )


def draw_crowds(seed: int, duration_s: float) -> tuple[CrowdEvent, ...]:
    """Draws a crowd on two seeds in three."""
    random = Random(f"crowd {seed}")
    event = CrowdEvent(
        at=random.uniform(FIRST_FAULT_S, duration_s / 2),
        duration_s=random.uniform(2.0, 5.0),
        sender=random.randrange(SENDERS),
        shape=random.choice(tuple(CrowdShape)),
        clients=random.choice((20, 100, 300)),
    )
    return (event,) if random.random() < 2 / 3 else ()


def draw_kills_in_series(seed: int, last: float, busy: set[int]) -> list[RestartEvent]:
    """Draws two kills of one sender that is not among the `busy` ones, the second soon after its start."""
    random = Random(f"series {seed}")
    idle = [sender for sender in range(SENDERS) if sender not in busy]
    if not idle or last <= FIRST_FAULT_S + MAX_SERIES_S:
        return []
    sender = random.choice(idle)
    first = random.uniform(FIRST_FAULT_S, last - MAX_SERIES_S)
    second = first + random.uniform(MIN_SERIES_S, MAX_SERIES_S)
    return [RestartEvent(at, sender, StopMethod.KILL) for at in (first, second)]


def draw_second_upgrades(seed: int, upgrades: tuple[UpgradeEvent, ...]) -> tuple[UpgradeEvent, ...]:
    """Draws a further upgrade of the same sender soon after two in three of the upgrades."""
    random = Random(f"upgrades {seed}")
    return tuple(
        UpgradeEvent(
            event.at + random.uniform(MIN_UPGRADES_S, MAX_UPGRADES_S),
            event.sender,
            random.choice(tuple(StopMethod)),
        )
        for event in upgrades
        if random.random() < 2 / 3
    )


def draw_message_faults(seed: int) -> MessageFaults:
    """Draws faults of the messages on each kind of path, each on three seeds in four."""
    random = Random(f"messages {seed}")
    fault = random.choice(DRAWN_STREAM_FAULTS)
    delay_s = random.choice(MESSAGE_DELAYS_S)
    data = random.choice(INVENTED_DATA)
    share = random.choice((0.02, 0.1, 0.3))
    drawn = MessageFaults(
        endpoint_responses=StreamFaults(fault, share, (delay_s,), random.choice((0.0, 4.0)), data),
        notice_responses=StreamFaults(StreamFault.REPEAT, 0.5, (random.choice(MESSAGE_DELAYS_S),)),
        poll_responses=StreamFaults(StreamFault.REPEAT, 0.5, (random.choice(MESSAGE_DELAYS_S),)),
        client_requests=StreamFaults(StreamFault.REPEAT, 0.1, (random.choice(MESSAGE_DELAYS_S),)),
    )
    left_out = {name: None for name in drawn.__struct_fields__[:DRAWN_FIELDS] if random.random() < 0.25}
    left_out.pop("reject_notices_every", None)
    return replace(drawn, **left_out, retry_after_responses=draw_retry_after_faults(seed))


def draw_retry_after_faults(seed: int) -> StreamFaults | None:
    """Draws how endpoints ask for a wait in responses that do not count, on two seeds in three."""
    random = Random(f"retry-after {seed}")
    fault = random.choice(RETRY_AFTER_FAULTS)
    delay_s = random.choice(MESSAGE_DELAYS_S)
    share = random.choice((0.01, 0.03, 0.1))
    data = {
        StreamFault.REPLACE_AND_END: CUT_REFUSAL,
        StreamFault.PRECEDE_DATA: RANDOM_BYTES + REFUSAL,
    }.get(fault, REFUSAL)
    drawn = StreamFaults(fault, share, (delay_s,), random.choice((0.0, 4.0)), data)
    return drawn if random.random() < 2 / 3 else None


def draw_client_faults(random: Random, last: float) -> tuple[ClientFaultEvent, ...]:
    """Draws at most one fault of the clients' path of each sender, which begins at `last` at the latest."""
    faults = []
    for sender in range(SENDERS):
        if random.random() < 0.5:
            at = random.uniform(FIRST_FAULT_S, last)
            faults.append(
                ClientFaultEvent(at, at + random.uniform(0.3, 1.2), sender, random.choice(CLIENT_MODES))
            )
    return tuple(faults)


def draw_notice_faults(random: Random, duration_s: float) -> tuple[NoticeFaultEvent, ...]:
    """Draws at most one fault of the notices of each sender. Most notices follow the first deadlines."""
    faults = []
    for sender in range(SENDERS):
        if random.random() < 0.5:
            at = random.uniform(FIRST_FAULT_S, duration_s)
            faults.append(
                NoticeFaultEvent(at, at + random.uniform(0.5, 2.0), sender, random.choice(NOTICE_MODES))
            )
    return tuple(faults)


def draw_descriptor_limits(random: Random) -> tuple[DescriptorLimit, ...]:
    """Draws at most one sender with few descriptors."""
    if random.random() >= 0.4:
        return ()
    return (DescriptorLimit(random.randrange(SENDERS), FEW_DESCRIPTORS, CROWDING_CLIENTS),)


def draw_upgrades(random: Random, last: float, restarted: set[int]) -> tuple[UpgradeEvent, ...]:
    """Draws at most one hot upgrade, of a sender that is not restarted."""
    candidates = [sender for sender in range(SENDERS) if sender not in restarted]
    if not candidates or random.random() >= 0.6:
        return ()
    at = random.uniform(FIRST_FAULT_S, last)
    return (UpgradeEvent(at, random.choice(candidates), random.choice(tuple(StopMethod))),)
