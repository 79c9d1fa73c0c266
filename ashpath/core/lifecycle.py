"""The states of a message within the policy, from its submission to its final outcome.

| from \\ to | QUEUED | IN_FLIGHT | ABANDONED | FINISHED |
| --- | --- | --- | --- | --- |
| QUEUED | - | an attempt starts | - | final outcome decided, or client disconnected |
| IN_FLIGHT | retry queued | - | client disconnected | outcome was final |
| ABANDONED | - | - | - | outcome received |
| FINISHED | - | - | - | - |

`transition` performs every state change; its callers carry out the effects.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from ashpath.core.errors import InvalidTransitionError


class MessageState(Enum):
    """The state of a message."""

    QUEUED = "queued"
    """The message waits for its destination, or for an earlier message with the same ordering key."""
    IN_FLIGHT = "in flight"
    """One attempt for the message is in flight."""
    ABANDONED = "abandoned"
    """The client disconnected while an attempt was in flight; its outcome is still awaited."""
    FINISHED = "finished"
    """The message has its final outcome, and no attempt is in flight."""


TRANSITIONS: dict[MessageState, frozenset[MessageState]] = {
    MessageState.QUEUED: frozenset((MessageState.IN_FLIGHT, MessageState.FINISHED)),
    MessageState.IN_FLIGHT: frozenset((MessageState.QUEUED, MessageState.ABANDONED, MessageState.FINISHED)),
    MessageState.ABANDONED: frozenset((MessageState.FINISHED,)),
    MessageState.FINISHED: frozenset(),
}


class Stateful(Protocol):
    """An object whose state `transition` can change."""

    state: MessageState


def transition(message: Stateful, state: MessageState) -> None:
    """Changes the state of a message. Raises InvalidTransitionError if the table does not allow it."""
    if state not in TRANSITIONS[message.state]:
        raise InvalidTransitionError(message.state, state)
    message.state = state
