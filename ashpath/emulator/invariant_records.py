"""What the invariant checker keeps of messages, and what it reports of a broken rule."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from ashpath.core.interface import TrafficClassSettings


class MessageEvent(NamedTuple):
    """One thing that was seen of a message."""

    at: int
    what: str


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """One broken rule, and the story of the message that it was broken for, as far as there is one."""

    rule: str
    at: int
    what: str
    message_id: str
    events: tuple[MessageEvent, ...]


@dataclass(eq=False, slots=True)
class WatchedMessage:
    """One message at one sender, from its acceptance until it is over and nothing of it is in flight."""

    id: str
    sender: int
    number: int
    destination: int
    settings: TrafficClassSettings
    ordering_key: int | None
    deadline_at: int
    in_flight: int = 0
    """Attempts without an outcome."""
    first_run_at: int | None = None
    """When the first attempt that may have run went out."""
    final_answer: str = ""
    events: list[MessageEvent] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class OrderedQueue:
    """The messages of one key at one sender, in the order accepted; gone with the last, unless it settles."""

    waiting: deque[WatchedMessage] = field(default_factory=deque)
    settles_until: int = 0
    settling_message: WatchedMessage | None = None
    """Its call may run on: it alone may be sent again meanwhile."""
