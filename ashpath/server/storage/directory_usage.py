"""The bytes of disk that the state directory takes, as the limit of the disk counts them."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path

BLOCK_BYTES = 512  # each file counts in whole blocks


def whole_blocks(size: int) -> int:
    """Returns the bytes of disk that a file of `size` bytes takes.

    >>> whole_blocks(0), whole_blocks(1), whole_blocks(512), whole_blocks(513)
    (0, 512, 512, 1024)
    """
    return -(-size // BLOCK_BYTES) * BLOCK_BYTES


def directory_usage(directory: Path) -> dict[str, int]:
    """Returns the bytes of disk by file name; files that vanish meanwhile are left out.

    Raises OSError if the directory cannot be listed.
    """
    usage = {}
    for path in directory.iterdir():
        with suppress(OSError):
            usage[path.name] = whole_blocks(path.stat().st_size)
    return usage
