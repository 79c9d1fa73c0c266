"""The lines of the outcome store on disk: two files, `ends` and `ends.old`, each of half the bytes at most.

A line that would make `ends` too large makes it `ends.old`, and the former one is gone. A line that was cut
off by a kill stays where it is, with a line feed behind it, so that it does not swallow the next one.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

from ashpath.server.storage.append import append_whole


class OutcomeFile:
    """Both files in one state directory; open for appending from `open` until `close`."""

    def __init__(self, directory: Path, max_bytes: int) -> None:
        """`max_bytes`: of both files together."""
        self.path = directory / "ends"
        self.previous_path = directory / "ends.old"
        self.max_bytes = max_bytes
        self.descriptor = -1  # not open yet
        self.written = 0  # bytes in `ends`

    def lines(self) -> Iterator[bytes]:
        """All lines, the oldest first. Raises OSError."""
        for path in (self.previous_path, self.path):
            with suppress(FileNotFoundError), path.open("rb") as file:
                yield from file

    def open(self) -> None:
        """Raises OSError."""
        self._open()
        if self.written and os.pread(self.descriptor, 1, self.written - 1) != b"\n":
            self.append(b"\n")

    def _open(self) -> None:
        self.descriptor = os.open(self.path, os.O_RDWR | os.O_APPEND | os.O_CREAT, 0o600)
        self.written = os.fstat(self.descriptor).st_size

    def append(self, line: bytes) -> None:
        """All of it or nothing. Raises OSError."""
        if self.written + len(line) > self.max_bytes // 2:
            self._rotate()
        append_whole(self.descriptor, line, self.written)
        self.written += len(line)

    def _rotate(self) -> None:
        with suppress(FileNotFoundError):  # moved already, and no new one could be made
            os.replace(self.path, self.previous_path)
        former = self.descriptor
        self._open()
        os.close(former)

    def close(self) -> None:
        """Nothing is left to be written: each line was, as it came."""
        os.close(self.descriptor)
