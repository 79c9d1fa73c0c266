"""The lines of the outcome store on disk, in the files `ends` and `ends.old`, each of half the limit at most.

Before a line that would make `ends` too large, `ends` is renamed to `ends.old` and replaces the former
`ends.old`. A line that a kill cut off stays in the file, and the next line follows after a line feed, so that
it is not joined to it.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

from ashpath.server.storage.append import AppendOnlyFile, ends_within_line


class OutcomeFile(AppendOnlyFile):
    """Both files in one state directory, open for appending from `open` until `close`."""

    def __init__(self, directory: Path, max_bytes: int) -> None:
        """`max_bytes`: the limit of both files together."""
        super().__init__()
        self.path = directory / "ends"
        self.previous_path = directory / "ends.old"
        self.max_bytes = max_bytes

    def lines(self) -> Iterator[bytes]:
        """Yields all lines, the oldest first. Raises OSError if a file that exists cannot be read."""
        for path in (self.previous_path, self.path):
            with suppress(FileNotFoundError), path.open("rb") as file:
                yield from file

    def open(self) -> None:
        """Opens `ends`. A line feed precedes the next line if the last one is incomplete. Raises OSError."""
        self._open()
        if ends_within_line(self.path):
            self.separator = b"\n"

    def _open(self) -> None:
        descriptor = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
        self.use(descriptor, os.fstat(descriptor).st_size)

    def append(self, line: bytes) -> None:
        """Appends the whole line or nothing. Raises OSError if the files cannot be rotated or written."""
        if self.written + len(line) > self.max_bytes // 2:
            self._rotate()
        super().append(line)

    def _rotate(self) -> None:
        with suppress(FileNotFoundError):  # an earlier call renamed it and could not create a new file
            os.replace(self.path, self.previous_path)
        self._open()
