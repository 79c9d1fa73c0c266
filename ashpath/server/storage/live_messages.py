"""The table of live messages, and the effect of each log record on the table.

| record | effect on a live message | effect on a message that is not live |
| --- | --- | --- |
| `MessageSubmitted` | - | the message becomes live |
| `AttemptStarted` | counts the attempt, which is in flight from `at` at `endpoint` | none |
| `AttemptFinished` | ends the attempt in flight; the first that may have run is remembered | none |
| `MessageFinished` with a notice | the message is finished, and its notice is pending | none |
| `MessageFinished` without | the message is removed; if it may have run, `ended` has it for a while | none |

`apply` makes every change, both as events happen and as the next incarnation reads the log, so both yield
the same table.
"""

from __future__ import annotations

from ashpath.server.storage.ended_messages import EndedMessages
from ashpath.server.storage.record_codec import (
    AttemptFinished,
    AttemptStarted,
    MessageFinished,
    MessageSubmitted,
    Record,
    RecordReader,
)
from ashpath.server.storage.stored_message import StoredMessage, acceptance_order

GROWTH_BYTES = (
    240  # what later records may add to a message: two times, two endpoints, and a notice without its id
)


class LiveMessages:
    """Messages without a final state, and finished messages whose notice is still to be delivered.

    The last record of a message removes it from the table, so the table has only messages that are in the
    log, and the size limit of the log bounds it.
    """

    def __init__(self) -> None:
        self.live: dict[int, StoredMessage] = {}
        """Live messages by message id, in the order of their records."""
        self.by_trace_id: dict[str, StoredMessage] = {}
        """The same messages by trace id."""
        self.reserved_bytes = 0
        """Upper bound of the bytes that the live messages take in a rewritten log."""
        self.last_id = 0
        """The highest message id in the records so far."""
        self.ended = EndedMessages()

    def in_order(self) -> list[StoredMessage]:
        """Returns the live messages in the order of acceptance."""
        return sorted(self.live.values(), key=acceptance_order)

    def read(self, reader: RecordReader) -> None:
        """Applies all valid records of a log.

        Raises ForeignRecordError if another version wrote a record, and OSError if the log cannot be read.
        """
        for record, size in reader:
            self.apply(record, size)

    def apply(self, record: Record, size: int = 0) -> None:
        """Applies one record. `size`: the bytes of a `MessageSubmitted` on disk; unused for other records."""
        if isinstance(record, MessageSubmitted):
            self.add(record.message, size)
            return
        message = self.live.get(record.message_id)
        if message is None:
            return
        if isinstance(record, AttemptStarted):
            message.attempts += 1
            message.in_flight_since = record.at
            message.in_flight_endpoint = record.endpoint
        elif isinstance(record, AttemptFinished):
            _finish_attempt(message, record)
        else:
            self._finish(message, record)

    def add(self, message: StoredMessage, size: int) -> None:
        """Adds a live message. `size`: the bytes that its `MessageSubmitted` takes on disk now."""
        message.reserved_bytes = reserved_bytes(message, size)
        self.live[message.message_id] = message
        self.by_trace_id[message.trace_id] = message
        self.ended.discard(message.trace_id)
        self.reserved_bytes += message.reserved_bytes
        self.last_id = max(self.last_id, message.message_id)

    def _finish(self, message: StoredMessage, record: MessageFinished) -> None:
        message.finished = True
        message.notice = record.notice
        if record.notice is None:
            self.discard(message)
            if may_have_run(message):
                self.ended.add(message.trace_id, message.deadline)

    def discard(self, message: StoredMessage) -> None:
        """Removes a message that is no longer live."""
        del self.live[message.message_id]
        self.by_trace_id.pop(message.trace_id, None)
        self.reserved_bytes -= message.reserved_bytes


def may_have_run(message: StoredMessage) -> bool:
    """Returns whether an attempt may have run. One that delivers its message has no record of its outcome."""
    return message.first_run_at is not None or message.in_flight_since is not None


def _finish_attempt(message: StoredMessage, record: AttemptFinished) -> None:
    if record.may_have_run and message.first_run_at is None:
        message.first_run_at = message.in_flight_since
        message.first_run_endpoint = message.in_flight_endpoint
    message.in_flight_since = None
    message.in_flight_endpoint = ""


def reserved_bytes(message: StoredMessage, size: int) -> int:
    """Returns the most bytes that a message whose record has this size may take in a rewritten log.

    The trace id counts twice, since a notice repeats it.
    """
    return size + len(message.trace_id) + GROWTH_BYTES
