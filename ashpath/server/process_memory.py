"""Resident size of this process as the kernel counts it, and how the allocator gives memory back."""

from __future__ import annotations

import os
import resource
from contextlib import suppress
from pathlib import Path

STATM = Path("/proc/self/statm")
RESIDENT_FIELD = 1  # of `statm`: pages that are resident, private and shared ones
SHARED_FIELD = 2  # of `statm`: resident pages that files or other processes may share
M_TRIM_THRESHOLD = -1  # parameters of mallopt(3)
M_MMAP_THRESHOLD = -3
TRIM_BYTES = 128 << 10
MMAP_BYTES = 16 << 10  # large buffers are mapped apart, and so given back as they are freed
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MAXRSS_BYTES = 1024  # the unit of `ru_maxrss`


def resident_bytes() -> int:
    """Returns the resident size in bytes, or 0 if the kernel does not tell it."""
    return pages()[RESIDENT_FIELD] * PAGE_BYTES


def private_bytes() -> int:
    """Returns the resident bytes that no file or other process shares, or 0 if the kernel does not tell."""
    counts = pages()
    return (counts[RESIDENT_FIELD] - counts[SHARED_FIELD]) * PAGE_BYTES


def pages() -> list[int]:
    """Returns the numbers of pages in `statm`, all 0 if the kernel does not tell them."""
    try:
        return [int(field) for field in STATM.read_bytes().split()]
    except (OSError, ValueError):
        return [0] * (SHARED_FIELD + 1)


def peak_resident_bytes() -> int:
    """Returns the largest resident size in bytes since the start of the process."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * MAXRSS_BYTES


def give_back_freed_memory() -> None:
    """Makes the allocator return large buffers to the system as they are freed. Without it, what a burst of
    requests took stays with the process. Does nothing where the C library has no mallopt(3),
    or where ctypes cannot be used."""
    with suppress(ImportError, OSError, AttributeError, MemoryError):
        import ctypes  # where executable memory is refused, the import fails

        mallopt = ctypes.CDLL(None).mallopt
        mallopt(M_MMAP_THRESHOLD, MMAP_BYTES)
        mallopt(M_TRIM_THRESHOLD, TRIM_BYTES)
