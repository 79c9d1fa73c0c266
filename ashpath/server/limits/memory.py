"""Limit of the memory of the process."""

from __future__ import annotations

from msgspec import Struct


class MemoryLimits(Struct, frozen=True):
    """The memory that the platform allows a sender."""

    memory_bytes: int
    """Memory of all processes of the sender together. Above it the platform kills them."""
