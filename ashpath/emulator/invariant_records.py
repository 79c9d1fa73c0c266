"""Records of the invariant checker: messages, ordered queues and rule violations."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from ashpath.core.interface import TrafficClassSettings


class MessageEvent(NamedTuple):
    """One observed event of a message, at a time in microseconds."""

    at: int
    what: str


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """One violation of a rule, at a time in microseconds, with the events of the message, if any."""

    rule: str
    at: int
    what: str
    message_id: str
    events: tuple[MessageEvent, ...]


@dataclass(eq=False, slots=True)
class WatchedMessage:
    """One message at one sender, from its acceptance until it has ended and has no attempt in flight.

    Times are in microseconds.
    """

    id: str
    sender: int
    number: int
    destination: int
    settings: TrafficClassSettings
    ordering_key: int | None
    deadline_at: int
    in_flight: int = 0
    """Number of attempts without an outcome."""
    first_run_at: int | None = None
    """Start of the first attempt that may have run."""
    final_answer: str = ""  # the first final answer, or "left" if the client no longer waits
    events: list[MessageEvent] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class OrderedQueue:
    """The messages of one key at one sender, in order of acceptance.

    The queue is removed with its last message, unless the key still settles. Times are in microseconds.
    """

    waiting: deque[WatchedMessage] = field(default_factory=deque)
    settles_until: int = 0
    settling_message: WatchedMessage | None = None
    """The message whose call may still run; only this message may be sent while the key settles."""
