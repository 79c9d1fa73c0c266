"""The write-ahead log: no message is accepted and no attempt sent before its record is in the kernel's hands.

Theory of operation. The log is the table of live messages (`live_messages.py`) and a file of records
(`log_file.py`, `record_codec.py`) from which the next incarnation makes the same table. A record is written
first and applied to the table after. When the file has grown so far that it and a copy of what is live would
no longer fit into `max_bytes`, it is rewritten with the live messages alone. A message is accepted only while
there is room to do so at any later time, so a rewrite never lacks the disk.

| write fails | what happens |
| --- | --- |
| `record_submitted` | the message is not accepted |
| `record_attempt` | raised: an attempt without a record could run twice after a restart |
| `record_outcome`, `record_finished` | counts in this incarnation, and the log is incomplete |
| the rewrite at the start | the log is incomplete: what is live in it is kept as it stands |

An incomplete log is rewritten before anything else is appended, and by `repair` as soon as the disk takes it:
an attempt recorded behind a missing outcome would hide that the one before it may have run. A kill until then
leaves an attempt that may have run, or a notice that is sent once more.

Logs of other processes that are gone are adopted (`log_directory.py`): their live messages get new ids, are
written into this log, and only then is the other one emptied. A kill in between leaves a message in both,
so a trace id that is live already is not adopted again.
"""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path

from ashpath.server.storage.errors import ForeignRecordError, LogIncompleteError
from ashpath.server.storage.live_messages import LiveMessages, reserved_bytes
from ashpath.server.storage.log_directory import BLOCK_BYTES, LogDirectory, clear_adopted
from ashpath.server.storage.log_file import LogFile
from ashpath.server.storage.record_codec import (
    AttemptFinished,
    AttemptStarted,
    MessageFinished,
    MessageSubmitted,
    RecordReader,
)
from ashpath.server.storage.stored_message import StoredMessage

NO_OP_RECORD = MessageFinished(0, None).encode()  # no message has this id
REWRITE_FACTOR = 2.1  # the old and the new file fit beside each other, and a twentieth is left to append to


class WriteAheadLog:
    """The log of one process, and what is live in it: its own messages, and those adopted from orphans.

    Raises OSError, LogLockedError and ForeignRecordError at its start.
    """

    def __init__(self, directory: Path, max_bytes: int) -> None:
        """`max_bytes`: of disk, for this log, its copy while it is rewritten, and logs of other processes."""
        self.max_bytes = max_bytes
        self.messages = LiveMessages()
        """Others only read it: a change comes with its record, through this class."""
        self.other_logs_bytes = 0  # what the logs of other processes may need, as of the last `adopt`
        self._directory = LogDirectory(directory)
        claimed = self._directory.claim()
        self._lock = claimed.lock
        self.file = LogFile(claimed.path)
        self.incomplete = False  # the file lacks records that count here
        self.skipped_bytes = (
            0  # of the log that this process took over: torn records, with others behind them
        )
        self._copied: set[Path] = set()  # orphans that could not be emptied once this log had their messages
        if claimed.path.exists():
            self._read(claimed.path)
        with suppress(OSError):
            self.file.temporary.unlink(missing_ok=True)
        self.incomplete = True  # until the rewrite has succeeded
        with suppress(OSError):
            self._rewrite()
        with suppress(OSError):
            self.adopt()

    def _read(self, path: Path) -> None:
        with path.open("rb") as file:
            reader = RecordReader(file)
            self.messages.read(reader)
            self.skipped_bytes = reader.skipped_bytes

    def adopt(self) -> list[StoredMessage]:
        """The live messages of logs whose process is gone, now this one's, with new ids. Raises OSError.

        A log that cannot be read is left as it is, for `ashpath ledger` to show.
        """
        adopted: list[StoredMessage] = []
        for orphan in self._directory.orphans(self.file.path):
            try:
                adopted += self._adopt_log(orphan.path)
            finally:
                orphan.lock.release()
        self.other_logs_bytes = self._directory.other_logs_bytes(self.file.path)
        return adopted

    def _adopt_log(self, path: Path) -> list[StoredMessage]:
        """Of one orphan, whose lock is held; none where it cannot be read, or this log not be written: then
        it is tried again."""
        orphaned = LiveMessages()
        try:
            if path not in self._copied:
                with path.open("rb") as file:
                    orphaned.read(RecordReader(file))
        except (OSError, ForeignRecordError):
            return []
        adopted = self._adopt_messages(orphaned)
        try:
            self._rewrite()
        except OSError:
            for message in adopted:
                self.messages.discard(message)
            return []
        self._copied.add(path)  # it must not be adopted again once they are finished here
        with suppress(OSError):
            clear_adopted(path)
            self._copied.discard(path)
        return adopted

    def _adopt_messages(self, orphaned: LiveMessages) -> list[StoredMessage]:
        adopted = []
        for message in orphaned.live.values():
            if message.trace_id not in self.messages.by_trace_id:
                message.message_id = self.messages.last_id + 1
                self.messages.add(message, len(MessageSubmitted(message).encode()))
                adopted.append(message)
        return adopted

    def record_submitted(self, message: StoredMessage) -> bool:
        """False: there is no room for it, and nothing was written."""
        data = MessageSubmitted(message).encode()
        needed = self.messages.reserved_bytes + reserved_bytes(message, len(data))
        if REWRITE_FACTOR * needed > self.max_bytes - BLOCK_BYTES - self.other_logs_bytes:
            return False
        try:
            self._append(data)
        except OSError:
            return False
        self.messages.add(message, len(data))
        return True

    def record_attempt(self, message: StoredMessage, at: int, endpoint: str) -> None:
        """Before it is sent, at `at` by the stored clock in microseconds. Raises OSError."""
        record = AttemptStarted(message.message_id, at, endpoint)
        self._append(record.encode())
        self.messages.apply(record)

    def record_outcome(self, message: StoredMessage, *, may_have_run: bool) -> None:
        """The attempt in flight is over, and the message may be sent again."""
        self._record_if_live(AttemptFinished(message.message_id, may_have_run))

    def record_finished(self, message: StoredMessage, notice: str | None = None) -> None:
        """It has its final state. With a notice it stays live until a second call without one."""
        self._record_if_live(MessageFinished(message.message_id, notice))

    def _record_if_live(self, record: AttemptFinished | MessageFinished) -> None:
        if record.message_id in self.messages.live:
            try:
                self._append(record.encode())
            except OSError:
                self.incomplete = True
            self.messages.apply(record)

    @property
    def needs_repair(self) -> bool:
        """Something that failed is still to be written, or cut off."""
        return self.incomplete or self.file.torn

    def repair(self) -> bool:
        """Writes what failed, with all that is live; False where the disk does not take it yet.

        A record without effect goes along: a full disk takes a log without any, and would forget a message
        whose final state it has not taken elsewhere."""
        live = [MessageSubmitted(message).encode() for message in self.messages.live.values()]
        try:
            self.file.rewrite([*live, NO_OP_RECORD])
        except OSError:
            return False
        self.incomplete = False
        return True

    def _append(self, data: bytes) -> None:
        if self.incomplete and not self.repair():
            raise LogIncompleteError(self.file.path)
        if self.file.written + len(data) + self.messages.reserved_bytes + BLOCK_BYTES > self.max_bytes:
            self._rewrite()
        self.file.append(data)

    def _rewrite(self) -> None:
        self.file.rewrite(MessageSubmitted(message).encode() for message in self.messages.live.values())
        self.incomplete = False

    def close(self) -> None:
        """Lets go of the log: from now on another process may take or adopt it."""
        self.file.close()
        self._lock.release()
