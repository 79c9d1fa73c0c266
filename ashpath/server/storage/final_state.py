"""The final states of a message, by the names that clients and receivers of notifications read."""

from __future__ import annotations

from enum import StrEnum

from ashpath.server import wire_names


class FinalState(StrEnum):
    """How a message ended; it has one of them, and never another afterwards."""

    DELIVERED = wire_names.DELIVERED_STATE
    REJECTED = wire_names.REJECTED_STATUS
    """Not delivered, and harmless to submit again, after a Retry-After if there is one."""
    FAILED = wire_names.FAILED_STATUS
    """Not delivered, as far as is known."""
    CANCELLED = wire_names.CANCELLED_STATE
    """Its client left before the message was accepted."""
