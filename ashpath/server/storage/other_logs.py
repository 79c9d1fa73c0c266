"""The messages in the logs of this sender's other living processes, which a hot upgrade has.

The two processes of a hot upgrade are one sender. Each appends to a log of its own, and reads on in the other
one: a copy of a request may reach the other process, and a message waits for the earlier ones of its ordering
key that the other process has. A log is read from its begin again after it was rewritten. The log of a
process that has just started is found as soon as it exists: the directory's time of its last change tells
whether files were made since the last look.
"""

from __future__ import annotations

import os
from collections.abc import Set
from contextlib import suppress
from pathlib import Path
from time import monotonic

from ashpath.server.storage.errors import ForeignRecordError
from ashpath.server.storage.key_rests import KeyRests
from ashpath.server.storage.live_messages import LiveMessages
from ashpath.server.storage.log_directory import LogDirectory
from ashpath.server.storage.record_codec import AttemptFinished, MessageFinished, Record, RecordReader
from ashpath.server.storage.stored_message import StoredMessage

CHANGE_TIME_STEP_S = 0.02
"""Changes within this time may leave a directory with the same time of its last change."""


class OtherLog:
    """One log of another process, as far as it has been read."""

    def __init__(self, path: Path, rests: KeyRests) -> None:
        self.path = path
        self.rests = rests
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
            for record, size in reader:
                self._note_uncertain_end(record)
                self.messages.apply(record, size)
            self._offset = reader.offset

    def _note_uncertain_end(self, record: Record) -> None:
        """Notes the end of an attempt that may still run; `record` is not applied yet."""
        message = self.messages.live.get(record.message_id)
        if message is None or message.ordering_key is None:
            return
        if isinstance(record, AttemptFinished):
            is_uncertain = record.may_have_run
        elif isinstance(record, MessageFinished):
            is_uncertain = message.in_flight_since is not None and record.notice is not None
        else:
            is_uncertain = False
        if is_uncertain:
            self.rests.attempt_ended(message.ordering_key, message.trace_id)


class OtherLogs:
    """The logs of the other living processes; without a hot upgrade there are none."""

    def __init__(self, directory: LogDirectory) -> None:
        self._directory = directory
        self.rests = KeyRests()
        """Keys that rest after an attempt of another process, which may have ended since."""
        self._logs: dict[Path, OtherLog] = {}
        self._own: Path | None = None  # as of the last look
        self._changed_at_ns = 0  # the directory's last change, as of the first look that has seen it
        self._seen_at = 0.0  # that look, in seconds of the monotonic clock
        self._settled = False  # a later look has seen all that this change comprises

    def find(self, own: Path) -> None:
        """Looks for logs of other processes beside this process's `own`. Raises OSError."""
        changed_at_ns = self._directory.path.stat().st_mtime_ns
        if changed_at_ns != self._changed_at_ns:
            self._changed_at_ns = changed_at_ns
            self._seen_at = monotonic()
        self._settled = monotonic() - self._seen_at > CHANGE_TIME_STEP_S
        paths = self._directory.other_logs(own)
        self._own = own
        self._logs = {path: self._logs.get(path) or OtherLog(path, self.rests) for path in paths}

    def _find_new(self) -> None:
        """Looks again if files may have been made or renamed since the last look."""
        if self._own is None:
            return
        with suppress(OSError):  # the logs that are known stay so
            changed_at_ns = self._directory.path.stat().st_mtime_ns
            if not self._settled or changed_at_ns != self._changed_at_ns:
                self.find(self._own)

    def _messages(self) -> list[LiveMessages]:
        self._find_new()
        for log in self._logs.values():
            log.read_on()
        return [log.messages for log in self._logs.values()]

    def note_rests(self, orphaned: LiveMessages) -> None:
        """Notes the keys that rest as a process has ended whose log is about to be adopted: those of its last
        records, and those of attempts that were in flight."""
        self._messages()
        for message in orphaned.live.values():
            if message.ordering_key is not None and message.in_flight_since is not None:
                self.rests.attempt_ended(message.ordering_key, message.trace_id)

    def is_live(self, trace_id: str) -> bool:
        """Whether another process has the message, and has not ended it."""
        return any(trace_id in messages.by_trace_id for messages in self._messages())

    def has_ended(self, trace_id: str) -> bool:
        """Whether another process ended the message, which may have run."""
        return any(trace_id in messages.ended for messages in self._messages())

    @property
    def last_id(self) -> int:
        """The highest message id in the logs, as far as they have been read."""
        return max((log.messages.last_id for log in self._logs.values()), default=0)

    def live_of_keys(self, ordering_keys: Set[int | None]) -> list[StoredMessage]:
        """Returns the messages of these ordering keys that other processes have not ended."""
        if not ordering_keys:
            return []
        return [
            message
            for messages in self._messages()
            for message in messages.live.values()
            if message.ordering_key in ordering_keys
        ]
