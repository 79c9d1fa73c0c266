"""The write-ahead log: a message is accepted, and an attempt sent, only after its record has been written.

Theory of operation. The log is the table of live messages (`live_messages.py`) and a file of records
(`own_log.py`, `record_codec.py`) from which the next incarnation rebuilds the table. A record is first
written and then applied to the table. When the file and a copy of the live messages would no longer fit into
the limit of the disk, the file is rewritten with the live messages alone. A message is accepted only while a
rewrite would fit at any later time.

| failed write | effect |
| --- | --- |
| `record_submitted` | the message is not accepted |
| `record_attempt` | the error is raised: an attempt without a record could run twice after a restart |
| `record_outcome`, `record_finished` | the event applies in this incarnation, and the log is incomplete |
| a rewrite | the file stays in use, and only new messages respect `max_bytes` |
| the rewrite at the start, and the first append | the log is incomplete; its file has its live messages |

A new directory on a failing disk may take no lock file. The constructor leaves the log unclaimed then:
nothing is accepted, no file is touched, and each rewrite tries to claim the log first. It claims an unused
log only, as the messages of a used log have to be restored at a start or by an adoption.

The logs of processes that have ended are adopted (`log_directory.py`): their live messages are written to
this log, and only then is the other log emptied. A kill in between leaves a message in both logs, so a
message whose trace id is live already is not adopted again. They are written by a rewrite, or appended where
a rewrite has no room beside the other log.

Message ids grow over all processes of a sender and over its starts (`disk_usage_layout.py`), so their order
is that of acceptance, in whichever log a message is and wherever it stands there. An id is chosen, and the
record with it written, while no other process can do the same: a process that gets a later id finds the
earlier record.
"""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path

from ashpath.server.storage.disk_account import size_of
from ashpath.server.storage.errors import (
    DiskLimitError,
    ForeignRecordError,
    UnknownTrafficClassError,
)
from ashpath.server.storage.live_messages import LiveMessages
from ashpath.server.storage.log_directory import DISK_ERRORS, FIRST_LOG, LogDirectory
from ashpath.server.storage.log_file import LogFile
from ashpath.server.storage.orphaned_logs import OrphanedLogs
from ashpath.server.storage.other_logs import OtherLogs
from ashpath.server.storage.own_log import OwnLog
from ashpath.server.storage.predecessors import Predecessors
from ashpath.server.storage.record_codec import (
    AttemptFinished,
    AttemptStarted,
    MessageFinished,
    MessageSubmitted,
)
from ashpath.server.storage.repairable import Repairable
from ashpath.server.storage.stored_message import StoredMessage, acceptance_order


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
        self.has_living_others = False  # whether another process had a log as of the last `adopt`
        self._directory = LogDirectory(directory)
        self._own = OwnLog(self._directory, max_bytes, self.messages)
        self.skipped_bytes = (
            0  # bytes of torn records that were skipped as the claimed log was read, before valid records
        )
        self.other_logs = OtherLogs(self._directory)
        self.predecessors = Predecessors(self.messages, self.other_logs)
        self.prerequisite: Repairable | None = None
        """A file that has to be written before a message is accepted."""
        self._orphaned_logs = OrphanedLogs()
        try:
            self._own.claim()
        except OSError as error:
            if error.errno not in DISK_ERRORS or not self._directory.is_new():
                raise
        else:
            self._open()

    def _open(self) -> None:
        """Reads and rewrites the log of the last incarnation, if there is one, and adopts orphaned logs."""
        try:
            self.skipped_bytes = self._own.read()
        except (OSError, ForeignRecordError):
            self._own.release()
            raise
        self._own.rewrite_or_append()
        with suppress(OSError):
            self.adopt()

    @property
    def file(self) -> LogFile:
        """The file of this process's log."""
        return self._own.file

    @property
    def rewrite_failing(self) -> bool:
        """Whether the last rewrite failed, or there was none yet."""
        return self._own.rewrite_failing

    @property
    def needs_repair(self) -> bool:
        """Whether a failed write is still to be repeated, or a torn record to be truncated."""
        return self._own.needs_repair

    def repair(self) -> bool:
        """Repeats failed writes, and claims the log if it is unclaimed; see `OwnLog.repair`.

        Returns False if that fails."""
        was_claimed = self._own.is_claimed
        repaired = self._own.repair()
        if self._own.is_claimed and not was_claimed:
            with suppress(OSError):
                self.other_logs_bytes = self._directory.other_logs_bytes(self.file.path)
        return repaired

    def leave_room_for_others(self) -> None:
        """Rewrites the log if there is another one and most of this one is obsolete."""
        self._own.leave_room_for_others()

    def adopt(self) -> list[StoredMessage]:
        """Adopts the live messages of logs whose process has ended; returns them in the order of acceptance.

        A log that cannot be read is left unchanged, for inspection by `ashpath ledger`. Raises OSError if the
        state directory cannot be listed, and adopts nothing then, as while this log is unclaimed.
        """
        adopted: list[StoredMessage] = []
        if not self._own.is_claimed:
            return adopted
        others = len(self._directory.other_logs(self.file.path))
        for orphan in self._directory.orphans(self.file.path):
            others -= 1
            try:
                if orphan.path.name == FIRST_LOG and not size_of(orphan.path):
                    self._forget_slot(orphan.path)  # it stays, and has nothing to adopt
                else:
                    adopted += self._adopt_log(orphan.path)
            finally:
                orphan.lock.release()
        self.has_living_others = others > 0
        with suppress(OSError):  # the caller still has to receive the adopted messages
            self.other_logs.find(self.file.path)
            self.other_logs_bytes = self._directory.other_logs_bytes(self.file.path)
            self.may_have_orphans = self.other_logs_bytes > 0
            self._own.find_unregistered()
        adopted.sort(key=acceptance_order)
        self.predecessors.find(adopted)
        return adopted

    def _adopt_log(self, path: Path) -> list[StoredMessage]:
        """Adopts the messages of one orphan, whose lock is held; the result is empty if the orphan cannot be
        read or this log cannot be written. The next `adopt` tries again then."""
        try:
            orphaned = self._orphaned_logs.read(path)
            self.other_logs.note_rests(orphaned)
            self.messages.ended.update(orphaned.ended)
            with self._own.disk:
                self._own.register()
                adopted = self._write_adopted(orphaned)
                if self._orphaned_logs.clear(path):
                    self._own.disk.forget(path)
        except (OSError, ForeignRecordError):
            return []
        return adopted

    def _forget_slot(self, path: Path) -> None:
        with suppress(OSError), self._own.disk:
            self._own.disk.forget(path)

    def _write_adopted(self, orphaned: LiveMessages) -> list[StoredMessage]:
        """Adds the messages of an orphan to the table and to the file. Raises OSError, and adds none then."""
        if not orphaned.live and not orphaned.ended:
            return []
        adopted = self._adopt_messages(orphaned)
        try:
            self._own.rewrite()
        except DiskLimitError:
            self._discard(adopted)
        except OSError:
            self._discard(adopted)
            raise
        else:
            return adopted
        with suppress(OSError):
            self._own.rewrite()  # of its own messages alone: less of the file may be left
        return self._append_adopted(orphaned)

    def _append_adopted(self, orphaned: LiveMessages) -> list[StoredMessage]:
        """Does what `_write_adopted` does by an append, which takes less room than a rewrite."""
        adopted = self._adopt_messages(orphaned)
        records = [MessageSubmitted(message).encode() for message in adopted]
        try:
            self._own.append_adopted(records, orphaned.ended)
        except OSError:
            self._discard(adopted)
            raise
        return adopted

    def _discard(self, messages: list[StoredMessage]) -> None:
        for message in messages:
            self.messages.discard(message)

    def _adopt_messages(self, orphaned: LiveMessages) -> list[StoredMessage]:
        """Adds the messages of an orphan to the table, in the order of acceptance.

        They keep their ids, but for those of an earlier release that messages of this log have."""
        adopted = []
        for message in orphaned.in_order():
            if message.trace_id not in self.messages.by_trace_id:
                if message.message_id in self.messages.live:
                    message.message_id = self._own.disk.assign_message_id(self.messages.last_id)
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

    def record_submitted(self, message: StoredMessage) -> bool:
        """Records an accepted message; returns False if the log has no room for it or the write fails.

        The message gets its id, unless it has one."""
        if (
            self.prerequisite is not None
            and self.prerequisite.needs_repair
            and not self.prerequisite.repair()
        ):
            return False
        highest_id = max(self.messages.last_id, self.other_logs.last_id)
        try:
            size = self._own.append_submitted(message, highest_id)
        except OSError:
            return False
        if size:
            self.messages.add(message, size)
        return size > 0

    def record_attempt(self, message: StoredMessage, at: int, endpoint: str) -> None:
        """Records an attempt before it is sent; `at` in microseconds of the stored clock.

        Raises OSError if the record cannot be written: the attempt must not be sent then.
        """
        record = AttemptStarted(message.message_id, at, endpoint)
        self._own.append(record.encode())
        self.messages.apply(record)

    def record_outcome(self, message: StoredMessage, *, may_have_run: bool) -> None:
        """Records that the attempt in flight has ended and that the message may be sent again."""
        self._record_if_live(AttemptFinished(message.message_id, may_have_run))

    def record_finished(self, message: StoredMessage, notice: str | None = None) -> None:
        """Records the final state. With a notice, the message stays live until a second call without one."""
        self._record_if_live(MessageFinished(message.message_id, notice))

    def _record_if_live(self, record: AttemptFinished | MessageFinished) -> None:
        if record.message_id in self.messages.live:
            self._own.append_or_defer(record.encode())
            self.messages.apply(record)

    def close(self) -> None:
        """Closes and unlocks the log, which another process may then claim or adopt."""
        self.close_files()
        self._own.release()

    def close_files(self) -> None:
        """Closes the files. The log stays locked until the end of the process."""
        self._own.close_files()
