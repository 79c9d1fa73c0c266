"""The log of this process on disk: its lock, its file, and its share of the disk limit.

No write goes over the limit, which the logs of all processes share (`disk_account.py`). Beside another log, a
log is rewritten as soon as most of it is obsolete, so that what it does not need is room for the other one.

The missing records of an incomplete log are written before any further record, or the log is rewritten: an
attempt recorded after a missing outcome would hide that the attempt before it may have run. If the process is
killed before that, the next incarnation finds an attempt that may have run, or sends a notice a second time.

While rewrites fail, no message is accepted that would need one. Attempts and outcomes of accepted messages
are still appended, in the room that a rewrite would need. Once half of that is used up, no attempt is sent,
and records of outcomes wait in memory. `LogRepairer` logs both and repeats the rewrite.

A rewrite also has the messages that ended recently (`ended_messages.py`), as far as there is room beside the
live ones and the old file.
"""

from __future__ import annotations

from collections.abc import Sequence
from contextlib import suppress
from itertools import chain

from ashpath.server.storage.disk_account import DiskAccount, size_of
from ashpath.server.storage.ended_messages import EndedMessages
from ashpath.server.storage.errors import DiskLimitError, LogIncompleteError
from ashpath.server.storage.file_lock import FileLock
from ashpath.server.storage.live_messages import LiveMessages, reserved_bytes
from ashpath.server.storage.log_directory import FIRST_LOG, LogDirectory
from ashpath.server.storage.log_file import LogFile
from ashpath.server.storage.obsolete_bytes import ObsoleteBytes
from ashpath.server.storage.record_codec import MessageFinished, MessageSubmitted, RecordReader
from ashpath.server.storage.stored_message import StoredMessage

NO_OP_RECORD = MessageFinished(0, None).encode()  # no message has this id
ENDED_MESSAGES_SHARE = 1 / 8  # of the limit of the log


class OwnLog:
    """The file to which the records of `messages` are appended, and that is rewritten with the live ones."""

    def __init__(self, directory: LogDirectory, max_bytes: int, messages: LiveMessages) -> None:
        """`max_bytes`: the disk limit for the logs of all processes, and their copies during a rewrite."""
        self.max_bytes = max_bytes
        self.disk = DiskAccount(directory, max_bytes)
        self.file = LogFile(directory.path / FIRST_LOG)
        self.rewrite_failing = True
        """Until a rewrite succeeds, and again from a failed one on."""
        self._directory = directory
        self._messages = messages
        self._lock: FileLock | None = None
        """None while the log is unclaimed; `file` must not be touched then."""
        self._obsolete = ObsoleteBytes()
        self._valid_bytes = 0
        """Bytes of the file as it was read, up to the end of its last valid record."""
        self._unwritten: list[bytes] = []
        """Records that are applied to `messages` and missing in the file."""

    @property
    def is_claimed(self) -> bool:
        """Whether this process holds the lock of the log."""
        return self._lock is not None

    def claim(self, *, unused: bool = False) -> None:
        """Locks the log; see `LogDirectory.claim`. Raises LogLockedError and OSError."""
        claimed = self._directory.claim(unused=unused)
        self._lock = claimed.lock
        self.file = LogFile(claimed.path)

    def release(self) -> None:
        """Unlocks the log, if it is claimed."""
        if self._lock is not None:
            self._lock.release()

    def close_files(self) -> None:
        """Closes all files but the lock."""
        self.file.close()
        self.disk.close()

    def read(self) -> int:
        """Reads the file to `messages`, and removes an incomplete copy of it.

        Returns the bytes of torn records before valid ones. Raises OSError and ForeignRecordError."""
        skipped_bytes = 0
        if self.file.path.exists():
            with self.file.path.open("rb") as file:
                reader = RecordReader(file)
                self._messages.read(reader)
                skipped_bytes = reader.skipped_bytes
                self._valid_bytes = reader.offset
        with suppress(OSError):
            self.file.temporary.unlink(missing_ok=True)
        return skipped_bytes

    def find_unregistered(self) -> None:
        """Looks for logs of earlier releases. Raises OSError."""
        with self.disk:
            self.disk.find_unregistered(self.file.path)

    # Appends

    def append_submitted(self, message: StoredMessage, highest_id: int) -> int:
        """Appends the record of a message, and returns its bytes; 0 if there is no room for it.

        A message without an id gets one above `highest_id` and above those of all processes. No other process
        writes a record between the choice of the id and the write. Raises OSError if the write fails."""
        with self.disk:
            self.register()
            self._complete()
            if not message.message_id:
                message.message_id = self.disk.assign_message_id(highest_id)
            data = MessageSubmitted(message).encode()
            needed = self._messages.reserved_bytes + reserved_bytes(message, len(data))
            if not self.disk.may_owe(needed):
                return 0
            self.disk.set_owed(needed)
            if not self._make_room(len(data)):
                return 0
            self._append_to_file(data)
        return len(data)

    def append(self, data: bytes) -> None:
        """Rewrites the log if it has no room, and appends a record of an accepted message. Raises OSError."""
        with self.disk:
            self.register()
            self._complete()
            self._make_room(len(data))
            self._append_owed(data)

    def append_or_defer(self, data: bytes) -> None:
        """Appends a record of an accepted message, or keeps it in memory until a later write succeeds."""
        try:
            self.append(data)
        except OSError:
            self._unwritten.append(data)

    def append_adopted(self, records: Sequence[bytes], ended: EndedMessages) -> None:
        """Appends records of adopted messages, and ended ones as far as there is room. Raises OSError."""
        with self.disk:
            self.register()
            self._complete()
            self._append_to_file(b"".join(chain(records, ended.records(self._ended_messages_room()))))

    def _append_owed(self, data: bytes) -> None:
        """Appends records of accepted messages, in the room of a copy if the log cannot be rewritten.

        Raises DiskLimitError if half of that room is used up, and any other OSError of the write.
        """
        if self.file.is_open and not self.disk.has_room_for_owed(self.file.written + len(data)):
            raise DiskLimitError(self.max_bytes)
        self._append_to_file(data)

    def _append_to_file(self, data: bytes) -> None:
        """Appends to the open file. Raises DiskLimitError, or another OSError of the write."""
        size = self.file.written + len(data)
        if self.file.torn:
            size = max(size, size_of(self.file.path))
        if self.file.is_open:
            self.disk.grow_log(size)
        self.file.append(data)

    def register(self) -> None:
        """Tells the account of this log, within its context and before each write. Raises OSError."""
        if not self.is_claimed:
            return
        if self.disk.is_registered:
            self.disk.set_owed(self._messages.reserved_bytes)
        else:
            self.disk.register(self.file.path, self._messages.reserved_bytes)

    # Records whose write failed

    @property
    def incomplete(self) -> bool:
        """Whether the file lacks records that are applied to `messages`, or is not open yet."""
        return bool(self._unwritten) or not self.file.is_open

    @property
    def needs_repair(self) -> bool:
        """Whether a failed write is still to be repeated, or a torn record to be truncated."""
        return self.incomplete or self.file.torn

    def repair(self) -> bool:
        """Rewrites the log with all live messages, or at least appends the records whose write failed.

        Returns False if neither succeeds. The rewritten log always has a record without effect: a full disk
        accepts an empty log, and would lose a message whose final state has not been written to another file
        either.
        """
        return self.rewrite_or_append(NO_OP_RECORD)

    def rewrite_or_append(self, *further_records: bytes) -> bool:
        """Does what `repair` does, with other records behind the rewritten ones."""
        try:
            self.rewrite(*further_records)
        except OSError:
            return self._append_unwritten()
        return True

    def _append_unwritten(self) -> bool:
        try:
            with self.disk:
                self.register()
                self._open_existing()
                self._append_owed(b"".join(self._unwritten))
        except OSError:
            return False
        self._unwritten.clear()
        return True

    def _open_existing(self) -> None:
        """Opens the file that was read at the start and that no rewrite could replace, unless it is open."""
        if self.is_claimed and not self.file.is_open:
            self.disk.grow_log(max(size_of(self.file.path), self._valid_bytes + len(NO_OP_RECORD)))
            self.file.open_existing(self._valid_bytes, NO_OP_RECORD)

    def _complete(self) -> None:
        """Writes the missing records, by a rewrite only if the last one succeeded; see `_make_room`."""
        if not self.incomplete or self._append_unwritten():
            return
        if self.rewrite_failing or not self.repair():
            raise LogIncompleteError(self.file.path)

    # Rewrites

    def leave_room_for_others(self) -> None:
        """Rewrites the log if there is another one and most of this one is obsolete; see `ObsoleteBytes`."""
        with suppress(OSError), self.disk:
            self.register()
            if self.disk.has_other_logs():
                self._make_room(0)

    def _make_room(self, size: int) -> bool:
        """Rewrites the log if it has no room for `size` bytes and a copy of the live messages, or is
        wasteful. Returns whether it has room.

        Does not try if the last rewrite failed: `repair` repeats it, as a rewrite for each record would hold
        up the sender.
        """
        has_room = self.disk.has_room(self.file.written + size)
        if self.rewrite_failing or not self._is_rewrite_due(has_room=has_room):
            return has_room
        with suppress(OSError):
            self.rewrite()
        return self.disk.has_room(self.file.written + size)

    def _is_rewrite_due(self, *, has_room: bool) -> bool:
        written = self.file.written
        owed = self._messages.reserved_bytes
        if has_room:
            return self.disk.has_other_logs() and self._obsolete.is_wasteful(written, owed)
        return self._obsolete.is_worth_rewrite(written, owed)

    def rewrite(self, *further_records: bytes) -> None:
        """Replaces the file by a copy of the live messages, and of ended ones as far as there is room.

        Claims the log first if it is unclaimed. Raises OSError, in which case the file is unchanged."""
        live = (MessageSubmitted(message).encode() for message in self._messages.live.values())
        self.rewrite_failing = True
        if not self.is_claimed:
            self.claim(unused=True)
        with self.disk:
            self.register()
            ended = b"".join(self._messages.ended.records(self._ended_messages_room()))
            try:
                self.file.rewrite(chain(live, (ended,), further_records), self.disk.grow_copy)
            except OSError:
                if not self.file.temporary.exists():
                    self.disk.copy_removed()
                raise
            self.disk.replaced(self.file.written)
        self.rewrite_failing = False
        self._obsolete.rewritten(self.file.written, self._messages.reserved_bytes, len(ended))
        self._unwritten.clear()

    def _ended_messages_room(self) -> int:
        """Returns the bytes for ended messages: what the logs leave, up to a share of the limit."""
        return min(int(self.max_bytes * ENDED_MESSAGES_SHARE), self.disk.room_beside_copy())
