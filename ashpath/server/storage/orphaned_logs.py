"""Orphaned logs of one state directory: reading them, and emptying them once their messages are copied."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

from ashpath.server.storage.errors import ForeignRecordError
from ashpath.server.storage.live_messages import LiveMessages
from ashpath.server.storage.log_directory import clear_adopted
from ashpath.server.storage.record_codec import RecordReader


class OrphanedLogs:
    """What this process knows of orphaned logs. The caller holds the lock of a log in each call."""

    def __init__(self) -> None:
        self._foreign_inodes: set[int] = set()  # of logs that another version wrote
        self._copied: set[Path] = set()  # logs whose messages are copied and that are not emptied yet

    def read(self, path: Path) -> LiveMessages:
        """Returns the messages of a log that are still to be copied.

        Raises OSError, and ForeignRecordError for a log of another version, which is read once only: to read
        it at each look for orphans would hold up the sender.
        """
        messages = LiveMessages()
        if path in self._copied:
            return messages
        with path.open("rb") as file:
            inode = os.fstat(file.fileno()).st_ino
            if inode in self._foreign_inodes:
                raise ForeignRecordError(0, "read before")
            try:
                messages.read(RecordReader(file))
            except ForeignRecordError:
                self._foreign_inodes.add(inode)
                raise
        return messages

    def clear(self, path: Path) -> bool:
        """Empties or removes a log whose messages are copied; returns whether that succeeded.

        If that fails, the next call repeats it: the messages must not be copied again once they are finished.
        """
        self._copied.add(path)
        with suppress(OSError):
            clear_adopted(path)
            self._copied.discard(path)
        return path not in self._copied
