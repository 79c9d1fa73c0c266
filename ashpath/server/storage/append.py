"""Appends to a file that is never synced: all of the data, or none of it."""

from __future__ import annotations

import os

from ashpath.server.storage.errors import PartialWriteError


def append_whole(descriptor: int, data: bytes, size: int) -> None:
    """One write at the end of a file of `size` bytes, which is cut back to that where it fails.

    Raises OSError, PartialWriteError among them.
    """
    try:
        _write(descriptor, data)
    except OSError:
        os.ftruncate(descriptor, size)  # a torn piece would spoil all that follows it
        raise


def _write(descriptor: int, data: bytes) -> None:
    written = os.write(descriptor, data)
    if written < len(data):
        raise PartialWriteError(written, len(data))
