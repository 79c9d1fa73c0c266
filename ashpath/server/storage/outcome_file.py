"""The lines of the outcome store on disk, in the files `ends` and `ends.old`, each of half the limit at most.

Before a line that would make `ends` too large, `ends` is renamed to `ends.old` and replaces the former
`ends.old`. A line that a kill cut off stays in the file, followed by a line feed, so that the next line is
not joined to it.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

from ashpath.server.storage.append import append_whole


class OutcomeFile:
    """Both files in one state directory, open for appending from `open` until `close`."""

    def __init__(self, directory: Path, max_bytes: int) -> None:
        """`max_bytes`: the limit of both files together."""
        self.path = directory / "ends"
        self.previous_path = directory / "ends.old"
        self.max_bytes = max_bytes
        self.descriptor = -1  # not open yet
        self.written = 0  # bytes in `ends`

    def lines(self) -> Iterator[bytes]:
        """Yields all lines, the oldest first. Raises OSError if a file that exists cannot be read."""
        for path in (self.previous_path, self.path):
            with suppress(FileNotFoundError), path.open("rb") as file:
                yield from file

    def open(self) -> None:
        """Opens `ends`, and ends an incomplete last line by a line feed. Raises OSError if that fails."""
        self._open()
        if self.written and os.pread(self.descriptor, 1, self.written - 1) != b"\n":
            self.append(b"\n")

    def _open(self) -> None:
        self.descriptor = os.open(self.path, os.O_RDWR | os.O_APPEND | os.O_CREAT, 0o600)
        self.written = os.fstat(self.descriptor).st_size

    def append(self, line: bytes) -> None:
        """Appends the whole line or nothing. Raises OSError if the files cannot be rotated or written."""
        if self.written + len(line) > self.max_bytes // 2:
            self._rotate()
        append_whole(self.descriptor, line, self.written)
        self.written += len(line)

    def _rotate(self) -> None:
        with suppress(FileNotFoundError):  # an earlier call renamed it and could not create a new file
            os.replace(self.path, self.previous_path)
        former = self.descriptor
        self._open()
        os.close(former)

    def close(self) -> None:
        """Closes the file. No data is pending, since each line is written as it is appended."""
        os.close(self.descriptor)
