"""The final states of a message, under the names that clients and receivers of notifications read."""

from __future__ import annotations

from enum import StrEnum

from ashpath.server import wire_names


class FinalState(StrEnum):
    """How a message ended. A message reaches exactly one final state, which never changes."""

    DELIVERED = wire_names.DELIVERED_STATE
    REJECTED = wire_names.REJECTED_STATUS
    """The message was not delivered and is safe to submit again, after its Retry-After if it has one."""
    FAILED = wire_names.FAILED_STATUS
    """The message is not known to have been delivered."""
    CANCELLED = wire_names.CANCELLED_STATE
    """The client disconnected before the message was accepted."""
