"""Resident size of another process."""

from __future__ import annotations

import os
from pathlib import Path

RESIDENT_FIELD = 1  # of `statm`
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def process_resident_bytes(process_id: int) -> int:
    """Returns the resident size of a process in bytes; 0 once it has ended."""
    try:
        return int(Path(f"/proc/{process_id}/statm").read_text().split()[RESIDENT_FIELD]) * PAGE_BYTES
    except (OSError, IndexError):
        return 0
