"""Limits of the files of the state directory."""

from __future__ import annotations

from msgspec import Struct


class StorageLimits(Struct, frozen=True):
    """Disk space, and final outcomes that are kept for queries of clients."""

    disk_bytes: int
    """Disk space of the state directory, both processes of a hot upgrade together, without the final
    outcomes."""
    open_retries_s: float = 8.0
    """Time during which a start retries to open files on a disk that fails for a while."""
    outcome_store_bytes: int = 0
    """The size of the final outcomes on disk, and as much in memory. A sender's own file sets it."""
    outcome_retention_s: float = 0.0
    """Time for which a final outcome is kept. A sender's own file sets it."""
