"""Runs in which the only fault is that messages come twice, late or invented on one kind of path.

Each case is a plan for `SoakRun`: three senders, six endpoints of three destinations that refuse a part of
the calls, and three traffic classes, one of each effect.
"""

from __future__ import annotations

from ashpath.emulator.fault_injection.call_faults import ProcessFaults
from ashpath.emulator.fault_injection.stream_faults import StreamFault, StreamFaults
from ashpath.emulator.soak.plan import (
    CUT_REFUSAL,
    RANDOM_BYTES,
    REFUSAL,
    SENDERS,
    EndpointBehaviour,
    MessageFaults,
    SoakPlan,
)
from ashpath.emulator.soak.records import Reply

SHARE = 0.3
REFUSAL_SHARE = 0.05
REFUSING = EndpointBehaviour(processing_s=(0.04, 0.2), fault_share=0.06, fault_replies=(Reply.REFUSED,))
ASKING = EndpointBehaviour(processing_s=(0.04, 0.2), fault_share=0.06, fault_replies=(Reply.OVERLOADED,))
RESETTING = EndpointBehaviour(processing_s=(0.04, 0.2), fault_share=0.15, fault_replies=(Reply.RESET,))
TLS_ALERT = b"\x15\x03\x03\x00\x02\x01\x00"
HTTP2_SETTINGS = b"\x00\x00\x00\x04\x00\x00\x00\x00\x00"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\n\r\n"
OTHER_REQUEST = b"GET / HTTP/1.1\r\nHost: localhost\r\n\r\n"


def repeated(*delays_s: float, share: float = SHARE, quiet_s: float = 0.0) -> MessageFaults:
    """Responses of endpoints come again after each of the delays."""
    return MessageFaults(StreamFaults(StreamFault.REPEAT, share, delays_s, quiet_s))


def responses(fault: StreamFault, delay_s: float, data: bytes = b"") -> MessageFaults:
    """Responses of endpoints have a fault of another kind."""
    return MessageFaults(StreamFaults(fault, SHARE, (delay_s,), data=data))


def refusals(fault: StreamFault, delay_s: float = 0.0, data: bytes = REFUSAL) -> MessageFaults:
    """Endpoints ask for a wait in responses that do not count for their request."""
    return MessageFaults(retry_after_responses=StreamFaults(fault, REFUSAL_SHARE, (delay_s,), data=data))


CASES: dict[str, MessageFaults] = {
    "no fault": MessageFaults(),
    "repeated at once": repeated(0.0),
    "repeated after 3 ms": repeated(0.003),
    "repeated after 12 ms": repeated(0.012),
    "repeated after 40 ms": repeated(0.04),
    "repeated after 120 ms": repeated(0.12),
    "repeated after 400 ms": repeated(0.4),
    "repeated after 900 ms": repeated(0.9),
    "two copies after 10 and 20 ms": repeated(0.01, 0.02),
    "copy in halves after 10 ms": responses(StreamFault.REPEAT_IN_HALVES, 0.01),
    "another status after 10 ms": responses(StreamFault.OTHER_STATUS, 0.01),
    "one in three after a quiet time": repeated(0.01, share=1 / 3, quiet_s=4.0),
    "the previous response right before": responses(StreamFault.PRECEDE, 0.0),
    "TLS alert after 20 ms": responses(StreamFault.INVENT, 0.02, TLS_ALERT),
    "HTTP/2 settings after 20 ms": responses(StreamFault.INVENT, 0.02, HTTP2_SETTINGS),
    "another request after 20 ms": responses(StreamFault.INVENT, 0.02, OTHER_REQUEST),
    "interim response after the final one": responses(StreamFault.INVENT, 0.02, EARLY_HINTS),
    "late responses": responses(StreamFault.DELAY, 0.3),
    "acknowledgement repeated after 5 ms": MessageFaults(
        notice_responses=StreamFaults(StreamFault.REPEAT, 1.0, (0.005,)), reject_notices_every=2
    ),
    "lists repeated after 8 ms": MessageFaults(
        poll_responses=StreamFaults(StreamFault.REPEAT, 1.0, (0.008,))
    ),
    "requests repeated after 8 ms": MessageFaults(
        client_requests=StreamFaults(StreamFault.REPEAT, SHARE, (0.008,))
    ),
    "requests repeated after 700 ms": MessageFaults(
        client_requests=StreamFaults(StreamFault.REPEAT, SHARE, (0.7,))
    ),
    "requests repeated after 1500 ms": MessageFaults(
        client_requests=StreamFaults(StreamFault.REPEAT, SHARE, (1.5,))
    ),
    "Retry-After twice in one write": MessageFaults(
        StreamFaults(StreamFault.REPEAT_JOINED, 1.0, data=REFUSAL)
    ),
    "Retry-After right behind the last response": MessageFaults(StreamFaults(StreamFault.PRECEDE, 1.0)),
    "Retry-After at once without a request": refusals(StreamFault.INVENT, 0.0),
    "Retry-After after 3 ms without a request": refusals(StreamFault.INVENT, 0.003),
    "Retry-After after 60 ms without a request": refusals(StreamFault.INVENT, 0.06),
    "Retry-After after 400 ms without a request": refusals(StreamFault.INVENT, 0.4),
    "Retry-After in halves after 20 ms": refusals(StreamFault.INVENT_IN_HALVES, 0.02),
    "Retry-After behind random bytes": refusals(StreamFault.PRECEDE_DATA, 0.0, RANDOM_BYTES + REFUSAL),
    "Retry-After 5 ms behind random bytes": refusals(StreamFault.INVENT, 0.005, RANDOM_BYTES + REFUSAL),
    "Retry-After with a cut body": refusals(StreamFault.REPLACE_AND_END, 0.0, CUT_REFUSAL),
}


def behaviour(case: str) -> EndpointBehaviour:
    """Returns how the endpoints of a case serve calls."""
    if CASES[case].notice_responses:
        return RESETTING
    return ASKING if case.startswith("Retry-After") else REFUSING


def message_fault_plan(case: str, seed: int, rate: float, duration_s: float) -> SoakPlan:
    """Returns the plan of a case; `rate` in requests per second to each sender."""
    faults = CASES[case]
    return SoakPlan(
        seed=seed,
        duration_s=duration_s,
        rate=rate,
        idle_clients=0,
        restarts=(),
        drains=(),
        proxies=(),
        outages=(),
        process_faults=tuple(ProcessFaults() for _ in range(SENDERS)),
        client_faults=(),
        notice_faults=(),
        descriptor_limits=(),
        upgrades=(),
        message_faults=faults,
        endpoint_behaviour=behaviour(case),
    )
