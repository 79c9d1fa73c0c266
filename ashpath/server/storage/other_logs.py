"""The messages in the logs of this sender's other living processes, which a hot upgrade has.

The two processes of a hot upgrade are one sender. Each appends to a log of its own, and reads on in the other
one: a copy of a request may reach the other process, and a message waits for the earlier ones of its ordering
key that the other process has. A log is read from its begin again after it was rewritten.
"""

from __future__ import annotations

import os
from pathlib import Path

from ashpath.server.storage.errors import ForeignRecordError
from ashpath.server.storage.live_messages import LiveMessages
from ashpath.server.storage.log_directory import LogDirectory
from ashpath.server.storage.record_codec import RecordReader


class OtherLog:
    """One log of another process, as far as it has been read."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.messages = LiveMessages()
        self._inode = 0
        self._offset = 0

    def read_on(self) -> None:
        """Applies the records that were appended since the last call; forgets all if the log is gone."""
        try:
            status = self.path.stat()
            if status.st_ino != self._inode or status.st_size < self._offset:
                self._forget(status.st_ino)
            if status.st_size > self._offset:
                self._read_records()
        except (OSError, ForeignRecordError):
            self._forget(0)

    def _forget(self, inode: int) -> None:
        self.messages = LiveMessages()
        self._inode = inode
        self._offset = 0

    def _read_records(self) -> None:
        with self.path.open("rb") as file:
            file.seek(self._offset, os.SEEK_SET)
            reader = RecordReader(file)
            reader.offset = self._offset
            self.messages.read(reader)
            self._offset = reader.offset


class OtherLogs:
    """The logs of the other living processes; without a hot upgrade there are none."""

    def __init__(self, directory: LogDirectory) -> None:
        self._directory = directory
        self._logs: dict[Path, OtherLog] = {}

    def find(self, own: Path) -> None:
        """Looks for logs of other processes beside this process's `own`. Raises OSError."""
        paths = self._directory.other_logs(own)
        self._logs = {path: self._logs.get(path) or OtherLog(path) for path in paths}

    def _messages(self) -> list[LiveMessages]:
        for log in self._logs.values():
            log.read_on()
        return [log.messages for log in self._logs.values()]

    def is_live(self, trace_id: str) -> bool:
        """Whether another process has the message, and has not ended it."""
        return any(trace_id in messages.by_trace_id for messages in self._messages())

    def has_ended(self, trace_id: str) -> bool:
        """Whether another process ended the message, which may have run."""
        return any(trace_id in messages.ended for messages in self._messages())

    def live_of_key(self, ordering_key: int) -> tuple[str, ...]:
        """Returns the trace ids of the messages of an ordering key that other processes have not ended."""
        return tuple(
            message.trace_id
            for messages in self._messages()
            for message in messages.live.values()
            if message.ordering_key == ordering_key
        )
