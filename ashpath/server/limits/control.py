"""Limits of the control address for operators."""

from __future__ import annotations

from msgspec import Struct


class ControlLimits(Struct, frozen=True):
    """Number of operators' connections, and their timeout."""

    control_timeout_s: float = 5.0
    """Timeout for receiving an operator's complete command."""
    control_connections: int = 16
    """Concurrent connections of operators. A further connection evicts another one."""
