"""The write-ahead log: a message is accepted, and an attempt sent, only after its record has been written.

Theory of operation. The log is the table of live messages (`live_messages.py`) and a file of records
(`log_file.py`, `record_codec.py`) from which the next incarnation rebuilds the table. A record is first
written and then applied to the table. When the file and a copy of the live messages would no longer fit into
the limit of the disk, the file is rewritten with the live messages alone. A message is accepted only while a
rewrite would fit at any later time. Other logs count too, and no write goes over the limit
(`disk_account.py`). Beside another log, a log is rewritten as soon as most of it is obsolete, so that what
it does not need is room for the other one.

| failed write | effect |
| --- | --- |
| `record_submitted` | the message is not accepted |
| `record_attempt` | the error is raised: an attempt without a record could run twice after a restart |
| `record_outcome`, `record_finished` | the event applies in this incarnation, and the log is incomplete |
| a rewrite | the file stays in use, and only new messages respect `max_bytes` |
| the rewrite at the start, and the first append | the log is incomplete; its file has its live messages |

The missing records of an incomplete log are written before any further record, or the log is rewritten: an
attempt recorded after a missing outcome would hide that the attempt before it may have run. If the process is
killed before that, the next incarnation finds an attempt that may have run, or sends a notice a second time.

While rewrites fail, no message is accepted that would need one. Attempts and outcomes of accepted messages
are still appended, in the room that a rewrite would need. Once half of that is used up, no attempt is sent,
and records of outcomes wait in memory. `LogRepairer` logs both and repeats the rewrite.

A new directory on a failing disk may take no lock file. The constructor leaves the log unclaimed then:
nothing is accepted, no file is touched, and each rewrite tries to claim the log first. It claims an unused
log only, as the messages of a used log have to be restored at a start or by an adoption.

The logs of processes that have ended are adopted (`log_directory.py`): their live messages get new ids and
are written to this log, and only then is the other log emptied. A kill in between leaves a message in both
logs, so a message whose trace id is live already is not adopted again. They are written by a rewrite, or
appended where a rewrite has no room beside the other log.

A rewrite also has the messages that ended recently (`ended_messages.py`), as far as there is room beside the
live ones and the old file.
"""

from __future__ import annotations

from contextlib import suppress
from itertools import chain
from pathlib import Path

from ashpath.server.storage.disk_account import DiskAccount, size_of
from ashpath.server.storage.errors import (
    DiskLimitError,
    ForeignRecordError,
    LogIncompleteError,
    UnknownTrafficClassError,
)
from ashpath.server.storage.file_lock import FileLock
from ashpath.server.storage.live_messages import LiveMessages, reserved_bytes
from ashpath.server.storage.log_directory import (
    DISK_ERRORS,
    FIRST_LOG,
    LockedLog,
    LogDirectory,
)
from ashpath.server.storage.log_file import LogFile
from ashpath.server.storage.obsolete_bytes import ObsoleteBytes
from ashpath.server.storage.orphaned_logs import OrphanedLogs
from ashpath.server.storage.other_logs import OtherLogs
from ashpath.server.storage.record_codec import (
    AttemptFinished,
    AttemptStarted,
    MessageFinished,
    MessageSubmitted,
    RecordReader,
)
from ashpath.server.storage.repairable import Repairable
from ashpath.server.storage.stored_message import StoredMessage

NO_OP_RECORD = MessageFinished(0, None).encode()  # no message has this id
ENDED_MESSAGES_SHARE = 1 / 8  # of the limit of the log


class WriteAheadLog:
    """The log of one process, and its live messages: its own, and those adopted from orphaned logs.

    The constructor raises LogLockedError if the log is locked, ForeignRecordError if another version wrote
    a record of the log, and OSError if the log cannot be opened or read. In a new directory on a failing disk
    it raises nothing.
    """

    def __init__(self, directory: Path, max_bytes: int) -> None:
        """`max_bytes`: the disk limit for the logs of all processes, and their copies during a rewrite."""
        self.max_bytes = max_bytes
        self.messages = LiveMessages()
        """Read-only for other classes: only this class changes the table, together with the log."""
        self.other_logs_bytes = 0  # bytes of other processes' logs, as of the last `adopt`
        self.may_have_orphans = True  # False if no other log had records after the last `adopt`
        self._directory = LogDirectory(directory)
        self._disk = DiskAccount(self._directory, max_bytes)
        self._lock: FileLock | None = None  # None: unclaimed, and `file` must not be touched
        self.file = LogFile(directory / FIRST_LOG)
        self.rewrite_failing = True  # until a rewrite succeeds, and again from a failed one on
        self._obsolete = ObsoleteBytes()
        self._valid_bytes = 0  # of the file as it was read, up to the end of its last valid record
        self._unwritten: list[bytes] = []  # records that are applied to `messages` and missing in the file
        self.skipped_bytes = (
            0  # bytes of torn records that were skipped as the claimed log was read, before valid records
        )
        self.other_logs = OtherLogs(self._directory)
        self.prerequisite: Repairable | None = None
        """A file that has to be written before a message is accepted."""
        self._orphaned_logs = OrphanedLogs()
        try:
            claimed = self._directory.claim()
        except OSError as error:
            if error.errno not in DISK_ERRORS or not self._directory.is_new():
                raise
        else:
            self._open(claimed)

    def _open(self, claimed: LockedLog) -> None:
        """Reads and rewrites the log of the last incarnation, if there is one, and adopts orphaned logs."""
        self._use(claimed)
        try:
            self._read()
        except (OSError, ForeignRecordError):
            claimed.lock.release()
            raise
        with suppress(OSError):
            self.file.temporary.unlink(missing_ok=True)
        self._rewrite_or_append()
        with suppress(OSError):
            self.adopt()

    def _use(self, claimed: LockedLog) -> None:
        self._lock = claimed.lock
        self.file = LogFile(claimed.path)

    def _read(self) -> None:
        if not self.file.path.exists():
            return
        with self.file.path.open("rb") as file:
            reader = RecordReader(file)
            self.messages.read(reader)
            self.skipped_bytes = reader.skipped_bytes
            self._valid_bytes = reader.offset

    def adopt(self) -> list[StoredMessage]:
        """Adopts the live messages of logs whose process has ended, and returns them with their new ids.

        A log that cannot be read is left unchanged, for inspection by `ashpath ledger`. Raises OSError if the
        state directory cannot be listed, and adopts nothing then, as while this log is unclaimed.
        """
        adopted: list[StoredMessage] = []
        if self._lock is None:
            return adopted
        for orphan in self._directory.orphans(self.file.path):
            try:
                if orphan.path.name == FIRST_LOG and not size_of(orphan.path):
                    self._forget_slot(orphan.path)  # it stays, and has nothing to adopt
                else:
                    adopted += self._adopt_log(orphan.path)
            finally:
                orphan.lock.release()
        with suppress(OSError):  # the caller still has to receive the adopted messages
            self.other_logs.find(self.file.path)
            self.other_logs_bytes = self._directory.other_logs_bytes(self.file.path)
            self.may_have_orphans = self.other_logs_bytes > 0
            with self._disk:
                self._disk.find_unregistered(self.file.path)
        return adopted

    def _adopt_log(self, path: Path) -> list[StoredMessage]:
        """Adopts the messages of one orphan, whose lock is held; the result is empty if the orphan cannot be
        read or this log cannot be written. The next `adopt` tries again then."""
        try:
            orphaned = self._orphaned_logs.read(path)
            self.messages.ended.update(orphaned.ended)
            with self._disk:
                self._register()
                adopted = self._write_adopted(orphaned)
                if self._orphaned_logs.clear(path):
                    self._disk.forget(path)
        except (OSError, ForeignRecordError):
            return []
        return adopted

    def _forget_slot(self, path: Path) -> None:
        with suppress(OSError), self._disk:
            self._disk.forget(path)

    def _write_adopted(self, orphaned: LiveMessages) -> list[StoredMessage]:
        """Adds the messages of an orphan to the table and to the file. Raises OSError, and adds none then."""
        if not orphaned.live and not orphaned.ended:
            return []
        adopted = self._adopt_messages(orphaned)
        try:
            self._rewrite()
        except DiskLimitError:
            self._discard(adopted)
        except OSError:
            self._discard(adopted)
            raise
        else:
            return adopted
        with suppress(OSError):
            self._rewrite()  # of its own messages alone: less of the file may be left
        return self._append_adopted(orphaned)

    def _append_adopted(self, orphaned: LiveMessages) -> list[StoredMessage]:
        """Does what `_write_adopted` does by an append, which takes less room than a rewrite."""
        adopted = self._adopt_messages(orphaned)
        records = [MessageSubmitted(message).encode() for message in adopted]
        try:
            self._complete()
            self._append_to_file(
                b"".join(chain(records, orphaned.ended.records(self._ended_messages_room())))
            )
        except OSError:
            self._discard(adopted)
            raise
        return adopted

    def _discard(self, messages: list[StoredMessage]) -> None:
        for message in messages:
            self.messages.discard(message)

    def _adopt_messages(self, orphaned: LiveMessages) -> list[StoredMessage]:
        adopted = []
        for message in orphaned.live.values():
            if message.trace_id not in self.messages.by_trace_id:
                message.message_id = self.messages.last_id + 1
                self.messages.add(message, len(MessageSubmitted(message).encode()))
                adopted.append(message)
        return adopted

    def has_other_process(self) -> bool:
        """Whether another living process may have a log in the directory."""
        try:
            logs = self._directory.other_logs(self.file.path)
        except OSError:
            return True
        return not all(self._directory.is_unlocked(path) for path in logs)

    def check_traffic_classes(self, count: int) -> None:
        """Raises UnknownTrafficClassError if a live message has a traffic class of `count` or more."""
        for message in self.messages.live.values():
            if message.traffic_class >= count:
                raise UnknownTrafficClassError(self.file.path, message.trace_id, message.traffic_class)

    def has_unfinished_predecessor(self, message: StoredMessage) -> bool:
        """Whether a message that another process had accepted before has not ended yet, here or there."""
        message.predecessors = tuple(
            trace_id
            for trace_id in message.predecessors
            if trace_id in self.messages.by_trace_id or self.other_logs.is_live(trace_id)
        )
        return bool(message.predecessors)

    def record_submitted(self, message: StoredMessage) -> bool:
        """Records an accepted message; returns False if the log has no room for it or the write fails."""
        if (
            self.prerequisite is not None
            and self.prerequisite.needs_repair
            and not self.prerequisite.repair()
        ):
            return False
        data = MessageSubmitted(message).encode()
        needed = self.messages.reserved_bytes + reserved_bytes(message, len(data))
        try:
            with self._disk:
                self._register()
                self._complete()
                if not self._disk.may_owe(needed):
                    return False
                self._disk.set_owed(needed)
                if not self._make_room(len(data)):
                    return False
                self._append_to_file(data)
        except OSError:
            return False
        self.messages.add(message, len(data))
        return True

    def _register(self) -> None:
        """Tells the account of this log, within its context and before each write. Raises OSError."""
        if self._lock is None:
            return
        if self._disk.is_registered:
            self._disk.set_owed(self.messages.reserved_bytes)
        else:
            self._disk.register(self.file.path, self.messages.reserved_bytes)

    def record_attempt(self, message: StoredMessage, at: int, endpoint: str) -> None:
        """Records an attempt before it is sent; `at` in microseconds of the stored clock.

        Raises OSError if the record cannot be written: the attempt must not be sent then.
        """
        record = AttemptStarted(message.message_id, at, endpoint)
        self._append(record.encode())
        self.messages.apply(record)

    def record_outcome(self, message: StoredMessage, *, may_have_run: bool) -> None:
        """Records that the attempt in flight has ended and that the message may be sent again."""
        self._record_if_live(AttemptFinished(message.message_id, may_have_run))

    def record_finished(self, message: StoredMessage, notice: str | None = None) -> None:
        """Records the final state. With a notice, the message stays live until a second call without one."""
        self._record_if_live(MessageFinished(message.message_id, notice))

    def _record_if_live(self, record: AttemptFinished | MessageFinished) -> None:
        if record.message_id in self.messages.live:
            data = record.encode()
            try:
                self._append(data)
            except OSError:
                self._unwritten.append(data)
            self.messages.apply(record)

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
        return self._rewrite_or_append(NO_OP_RECORD)

    def _rewrite_or_append(self, *further_records: bytes) -> bool:
        try:
            self._rewrite(*further_records)
        except OSError:
            return self._append_unwritten()
        return True

    def _append_unwritten(self) -> bool:
        try:
            with self._disk:
                self._register()
                self._open_existing()
                self._append_owed(b"".join(self._unwritten))
        except OSError:
            return False
        self._unwritten.clear()
        return True

    def _open_existing(self) -> None:
        """Opens the file that was read at the start and that no rewrite could replace, unless it is open."""
        if self._lock is not None and not self.file.is_open:
            self._disk.grow_log(max(size_of(self.file.path), self._valid_bytes + len(NO_OP_RECORD)))
            self.file.open_existing(self._valid_bytes, NO_OP_RECORD)

    def _append(self, data: bytes) -> None:
        """Rewrites the log if it has no room, and appends a record of an accepted message. Raises OSError."""
        with self._disk:
            self._register()
            self._complete()
            self._make_room(len(data))
            self._append_owed(data)

    def _append_owed(self, data: bytes) -> None:
        """Appends records of accepted messages, in the room of a copy if the log cannot be rewritten.

        Raises DiskLimitError if half of that room is used up, and any other OSError of the write.
        """
        if self.file.is_open and not self._disk.has_room_for_owed(self.file.written + len(data)):
            raise DiskLimitError(self.max_bytes)
        self._append_to_file(data)

    def _append_to_file(self, data: bytes) -> None:
        """Appends to the open file. Raises DiskLimitError, or another OSError of the write."""
        size = self.file.written + len(data)
        if self.file.torn:
            size = max(size, size_of(self.file.path))
        if self.file.is_open:
            self._disk.grow_log(size)
        self.file.append(data)

    def _complete(self) -> None:
        """Writes the missing records, by a rewrite only if the last one succeeded; see `_make_room`."""
        if not self.incomplete or self._append_unwritten():
            return
        if self.rewrite_failing or not self.repair():
            raise LogIncompleteError(self.file.path)

    def leave_room_for_others(self) -> None:
        """Rewrites the log if there is another one and most of this one is obsolete; see `ObsoleteBytes`."""
        with suppress(OSError), self._disk:
            self._register()
            if self._disk.has_other_logs():
                self._make_room(0)

    def _make_room(self, size: int) -> bool:
        """Rewrites the log if it has no room for `size` bytes and a copy of the live messages, or is
        wasteful. Returns whether it has room.

        Does not try if the last rewrite failed: `repair` repeats it, as a rewrite for each record would hold
        up the sender.
        """
        has_room = self._disk.has_room(self.file.written + size)
        if self.rewrite_failing or not self._is_rewrite_due(has_room=has_room):
            return has_room
        with suppress(OSError):
            self._rewrite()
        return self._disk.has_room(self.file.written + size)

    def _is_rewrite_due(self, *, has_room: bool) -> bool:
        written = self.file.written
        owed = self.messages.reserved_bytes
        if has_room:
            return self._disk.has_other_logs() and self._obsolete.is_wasteful(written, owed)
        return self._obsolete.is_worth_rewrite(written, owed)

    def _rewrite(self, *further_records: bytes) -> None:
        """Replaces the file by a copy of the live messages, and of ended ones as far as there is room.

        Raises OSError, in which case the file is unchanged."""
        live = (MessageSubmitted(message).encode() for message in self.messages.live.values())
        self.rewrite_failing = True
        if self._lock is None:
            self._claim_unused()
        with self._disk:
            self._register()
            ended = b"".join(self.messages.ended.records(self._ended_messages_room()))
            try:
                self.file.rewrite(chain(live, (ended,), further_records), self._disk.grow_copy)
            except OSError:
                if not self.file.temporary.exists():
                    self._disk.copy_removed()
                raise
            self._disk.replaced(self.file.written)
        self.rewrite_failing = False
        self._obsolete.rewritten(self.file.written, self.messages.reserved_bytes, len(ended))
        self._unwritten.clear()

    def _ended_messages_room(self) -> int:
        """Returns the bytes for ended messages: what the logs leave, up to a share of the limit."""
        return min(int(self.max_bytes * ENDED_MESSAGES_SHARE), self._disk.room_beside_copy())

    def _claim_unused(self) -> None:
        self._use(self._directory.claim(unused=True))
        with suppress(OSError):
            self.other_logs_bytes = self._directory.other_logs_bytes(self.file.path)

    def close(self) -> None:
        """Closes and unlocks the log, which another process may then claim or adopt."""
        self.close_files()
        if self._lock is not None:
            self._lock.release()

    def close_files(self) -> None:
        """Closes the files. The log stays locked until the end of the process."""
        self.file.close()
        self._disk.close()
