"""Resident size of this process, as the kernel counts it."""

from __future__ import annotations

import os
import resource
from pathlib import Path

STATM = Path("/proc/self/statm")
RESIDENT_FIELD = 1  # of `statm`: pages that are resident, private and shared ones
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MAXRSS_BYTES = 1024  # the unit of `ru_maxrss`


def resident_bytes() -> int:
    """Returns the resident size in bytes, or 0 if the kernel does not tell it."""
    try:
        return int(STATM.read_bytes().split()[RESIDENT_FIELD]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def peak_resident_bytes() -> int:
    """Returns the largest resident size in bytes since the start of the process."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * MAXRSS_BYTES
