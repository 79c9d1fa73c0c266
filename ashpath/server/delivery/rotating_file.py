"""A file of lines that is set aside when it is full.

The standard library's rotating handler keeps what it could not write in a buffer and writes it twice.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

from ashpath.server.storage.append import append_whole

FILE_MODE = 0o640


class RotatingFile:
    """A full file becomes `.1`, that one `.2`, and the last of `kept_files` is dropped.

    `max_bytes`: of each file; one append that is longer has a file of its own."""

    def __init__(self, path: Path, max_bytes: int, kept_files: int) -> None:
        """Raises OSError where the file cannot be opened."""
        self.path = path
        self.max_bytes = max_bytes
        self.kept_files = kept_files
        self.open()

    def open(self) -> None:
        """Opens the current file behind what is in it. Raises OSError."""
        self.descriptor = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, FILE_MODE)
        self.size = os.fstat(self.descriptor).st_size  # bytes

    def append(self, data: bytes) -> None:
        """Raises OSError, and then nothing of `data` is in the file."""
        if self.size and self.size + len(data) > self.max_bytes:
            self.rotate()
        append_whole(self.descriptor, data, self.size)
        self.size += len(data)

    def rotate(self) -> None:
        """Sets the full file aside and begins another. Raises OSError."""
        self.rename_files()
        full = self.descriptor
        self.open()
        os.close(full)

    def rename_files(self) -> None:
        """Each becomes one older."""
        if not self.path.exists():  # no new file could be made the last time: the older ones stay as they are
            return
        for age in range(self.kept_files, 0, -1):
            with suppress(FileNotFoundError):
                os.replace(self.rotated_path(age - 1), self.rotated_path(age))
        if not self.kept_files:
            self.path.unlink()

    def rotated_path(self, age: int) -> Path:
        """0: the current file."""
        return self.path.with_name(f"{self.path.name}.{age}") if age else self.path
