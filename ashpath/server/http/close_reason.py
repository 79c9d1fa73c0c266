"""Why client connections ended, counted for metrics and log lines."""

from __future__ import annotations

from enum import StrEnum


class ClientCloseReason(StrEnum):
    """The reason for which a client connection ended."""

    CLIENT_LEFT = "client left"
    """The client closed or reset the connection."""
    IDLE_LIMIT = "idle limit"
    """No request came in time."""
    ANSWERED = "answered"
    """The response said that the connection ends with it."""
    HALF_CLOSED = "half-closed"
    """This side ended the connection between two requests, for a shutdown or a lame duck."""
    REJECTED = "rejected"
    """The request was answered with an error; the rejections by cause say which."""
    EVICTED_SILENT = "evicted silent"
    """Evicted before its first request."""
    EVICTED_IDLE = "evicted idle"
    """Evicted between two requests."""
    EVICTED_HALF_CLOSED = "evicted half-closed"
    """Evicted after this side had closed its half."""
    UNREAD_RESPONSE = "unread response"
    """The client did not read a response in time."""
    ERROR = "error"
    """An unexpected error in this process."""


EXPECTED_REASONS = frozenset(
    {ClientCloseReason.CLIENT_LEFT, ClientCloseReason.IDLE_LIMIT, ClientCloseReason.ANSWERED}
)
"""Reasons that need no log line."""
