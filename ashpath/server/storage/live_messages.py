"""The table of live messages, and the one function that says what each record of the log does to it.

| record | where the message is live | where it is not |
| --- | --- | --- |
| `MessageSubmitted` | - | it is live from now on |
| `AttemptStarted` | one attempt more, in flight since then at that endpoint | nothing |
| `AttemptFinished` | nothing in flight; the first one that may have run is remembered | nothing |
| `MessageFinished` with a notice | finished, and the notice is owed | nothing |
| `MessageFinished` without | not live any more | nothing |

Every change goes through `apply`: as it happens, and as it is read again by the next incarnation. So both
come to the same table.
"""

from __future__ import annotations

from ashpath.server.storage.record_codec import (
    AttemptFinished,
    AttemptStarted,
    MessageFinished,
    MessageSubmitted,
    Record,
    RecordReader,
)
from ashpath.server.storage.stored_message import StoredMessage

GROWTH_BYTES = (
    240  # two times, two endpoints, and a notice less its id: what later records may add to a message
)


class LiveMessages:
    """Messages without a final state, and those that still owe a notice of theirs.

    A message leaves the table with its last record, so the table grows with the messages in the log alone,
    and the log's size bounds it.
    """

    def __init__(self) -> None:
        self.live: dict[int, StoredMessage] = {}
        """By message id, in the order in which they were submitted or adopted."""
        self.by_trace_id: dict[str, StoredMessage] = {}
        """The same messages."""
        self.reserved_bytes = 0
        """What the live messages may take in a log that is rewritten."""
        self.last_id = 0
        """The highest message id that was given; ids are never used again."""

    def read(self, reader: RecordReader) -> None:
        """Applies all whole records of a log. Raises ForeignRecordError."""
        for record, size in reader:
            self.apply(record, size)

    def apply(self, record: Record, size: int = 0) -> None:
        """What a record does. `size`: the bytes of a `MessageSubmitted`; no other record's matters."""
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
        """`size`: the bytes that its `MessageSubmitted` takes now."""
        message.reserved_bytes = reserved_bytes(message, size)
        self.live[message.message_id] = message
        self.by_trace_id[message.trace_id] = message
        self.reserved_bytes += message.reserved_bytes
        self.last_id = max(self.last_id, message.message_id)

    def _finish(self, message: StoredMessage, record: MessageFinished) -> None:
        message.finished = True
        message.notice = record.notice
        if record.notice is None:
            self.discard(message)

    def discard(self, message: StoredMessage) -> None:
        """It is not live any more."""
        del self.live[message.message_id]
        self.by_trace_id.pop(message.trace_id, None)
        self.reserved_bytes -= message.reserved_bytes


def _finish_attempt(message: StoredMessage, record: AttemptFinished) -> None:
    if record.may_have_run and message.first_run_at is None:
        message.first_run_at = message.in_flight_since
        message.first_run_endpoint = message.in_flight_endpoint
    message.in_flight_since = None
    message.in_flight_endpoint = ""


def reserved_bytes(message: StoredMessage, size: int) -> int:
    """What a record of this size may come to in a log that is rewritten: a notice repeats the trace id."""
    return size + len(message.trace_id) + GROWTH_BYTES
