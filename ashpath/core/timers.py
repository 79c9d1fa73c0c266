"""The policy's timers, and their encoding as short strings that adapters pass back unchanged."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class TimerKind(Enum):
    """The action to take when a timer fires; the value is the first character of the encoded timer."""

    RANKING = "r"
    """Rank the endpoints of all destinations with events since the last ranking."""
    POLL = "l"
    """Poll the endpoint list."""
    DESTINATION = "d"
    """Dispatch to the destination of that number."""
    ORDERED_QUEUE = "k"
    """Advance the ordered queue of that key."""
    MESSAGE = "e"
    """Re-evaluate the message of that number."""


class Timer(NamedTuple):
    """One timer: its kind, and the destination, ordering key or message that it applies to (else 0)."""

    kind: TimerKind
    number: int

    @staticmethod
    def decode(token: str) -> Timer | None:
        """Returns the decoded timer; None if its kind is unknown.

        >>> Timer.decode("d7")
        Timer(kind=<TimerKind.DESTINATION: 'd'>, number=7)
        >>> Timer.decode("r").number, Timer.decode("x1")
        (0, None)
        """
        kind = KINDS.get(token[0])
        number = int(token[1:] or 0)
        return None if kind is None else Timer(kind, number)


KINDS = {kind.value: kind for kind in TimerKind}

# Plain strings, as timers are encoded for each event.
RANKING_TIMER = TimerKind.RANKING.value
POLL_TIMER = TimerKind.POLL.value
DESTINATION_PREFIX = TimerKind.DESTINATION.value
ORDERED_QUEUE_PREFIX = TimerKind.ORDERED_QUEUE.value
MESSAGE_PREFIX = TimerKind.MESSAGE.value


def destination_timer(number: int) -> str:
    """Returns the encoded timer for a dispatch to a destination.

    >>> destination_timer(7), Timer.decode(destination_timer(7)) == Timer(TimerKind.DESTINATION, 7)
    ('d7', True)
    """
    return f"{DESTINATION_PREFIX}{number}"


def ordered_queue_timer(key: int) -> str:
    """Returns the encoded timer to advance an ordered queue."""
    return f"{ORDERED_QUEUE_PREFIX}{key}"


def message_timer(message_id: int) -> str:
    """Returns the encoded timer to re-evaluate a message."""
    return f"{MESSAGE_PREFIX}{message_id}"
