"""Limits of the graceful shutdown."""

from __future__ import annotations

from msgspec import Struct


class ShutdownLimits(Struct, frozen=True):
    """Times of the steps of a shutdown. All count from SIGTERM."""

    accept_after_term_s: float = 0.4
    """Time during which connections and messages are still accepted, as clients learn of the shutdown
    late."""
    attempts_after_term_s: float = 3.0
    """The latest time at which an attempt may start."""
    requests_after_term_s: float = 3.2
    """The time at which incomplete requests are answered 503."""
    end_after_term_s: float = 3.5
    """The latest end of the shutdown."""
