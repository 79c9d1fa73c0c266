"""Atomic appends, without a sync: a file receives all of the data or none of it."""

from __future__ import annotations

import os

from ashpath.server.storage.errors import PartialWriteError


def append_whole(descriptor: int, data: bytes, size: int) -> None:
    """Appends `data` to a file of `size` bytes in one write, and truncates the file to `size` if that fails.

    Raises OSError if the write or the truncation fails, and PartialWriteError if the write is short.
    """
    try:
        _write(descriptor, data)
    except OSError:
        os.ftruncate(descriptor, size)  # a torn record would make the records after it unreadable
        raise


def _write(descriptor: int, data: bytes) -> None:
    written = os.write(descriptor, data)
    if written < len(data):
        raise PartialWriteError(written, len(data))
