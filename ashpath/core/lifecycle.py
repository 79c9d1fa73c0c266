"""The life of a message within the policy, from its submission to its final answer.

| from \\ to | QUEUED | IN_FLIGHT | ABANDONED | FINISHED |
| --- | --- | --- | --- | --- |
| QUEUED | - | an attempt starts | - | answered, or its client left |
| IN_FLIGHT | retried | - | its client left | answered by the outcome |
| ABANDONED | - | - | - | the outcome came |
| FINISHED | - | - | - | - |

`transition` makes every change of state; what follows from one is the caller's part.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from ashpath.core.errors import InvalidTransitionError


class MessageState(Enum):
    """Where a message stands."""

    QUEUED = "queued"
    """It waits for its destination, or behind an earlier message of its ordering key."""
    IN_FLIGHT = "in flight"
    """One attempt is in flight."""
    ABANDONED = "abandoned"
    """Its client disconnected while the attempt is still in flight."""
    FINISHED = "finished"
    """It has its final answer, and nothing is in flight."""


TRANSITIONS: dict[MessageState, frozenset[MessageState]] = {
    MessageState.QUEUED: frozenset((MessageState.IN_FLIGHT, MessageState.FINISHED)),
    MessageState.IN_FLIGHT: frozenset((MessageState.QUEUED, MessageState.ABANDONED, MessageState.FINISHED)),
    MessageState.ABANDONED: frozenset((MessageState.FINISHED,)),
    MessageState.FINISHED: frozenset(),
}


class Stateful(Protocol):
    """What has a state that `transition` may change."""

    state: MessageState


def transition(message: Stateful, state: MessageState) -> None:
    """Changes the state of a message; raises InvalidTransitionError where the table has no such change."""
    if state not in TRANSITIONS[message.state]:
        raise InvalidTransitionError(message.state, state)
    message.state = state
