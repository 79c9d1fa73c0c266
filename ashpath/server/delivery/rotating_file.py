"""An append-only file of lines with rotation by size.

The rotating handler of the standard library is not used: it keeps data that it failed to write in a buffer,
and writes that data twice.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

from ashpath.server.storage.append import AppendOnlyFile, ends_within_line

FILE_MODE = 0o640


class RotatingFile(AppendOnlyFile):
    """A full file is renamed to `.1`, the former `.1` to `.2`; the last of `kept_files` is deleted.

    `max_bytes`: limit of each file; a single append beyond it gets a file of its own."""

    def __init__(self, path: Path, max_bytes: int, kept_files: int) -> None:
        """Opens the file. Raises OSError if it cannot be opened.

        A line that a kill cut off stays in the file, and the next one follows after a line feed.
        """
        super().__init__()
        self.path = path
        self.max_bytes = max_bytes
        self.kept_files = kept_files
        self.open()
        if ends_within_line(path):
            self.separator = b"\n"

    def open(self) -> None:
        """Opens the current file for appending. Raises OSError if it cannot be opened."""
        descriptor = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, FILE_MODE)
        self.use(descriptor, os.fstat(descriptor).st_size)

    def append(self, data: bytes) -> None:
        """Appends `data`, after a rotation if needed. Raises OSError, with nothing of `data` in the file."""
        if self.written and self.written + len(data) > self.max_bytes:
            self.rotate()
        super().append(data)

    def rotate(self) -> None:
        """Renames the full file and opens a new one. Raises OSError."""
        self.rename_files()
        self.open()

    def rename_files(self) -> None:
        """Renames each file to the next higher number; deletes the current file if none are kept."""
        if not self.path.exists():  # an earlier rotation failed to create the file: keep the older ones
            return
        for age in range(self.kept_files, 0, -1):
            with suppress(FileNotFoundError):
                os.replace(self.rotated_path(age - 1), self.rotated_path(age))
        if not self.kept_files:
            self.path.unlink()

    def rotated_path(self, age: int) -> Path:
        """Returns the path of the file with this number; 0 is the current file."""
        return self.path.with_name(f"{self.path.name}.{age}") if age else self.path
