"""Messages that may have run and have ended, by trace id: a copy of a request that comes late is recognized.

A network may deliver a request a second time, long after the first. The table keeps each message until
`RETENTION` after its deadline: by then a copy is out of time by any clock. Beyond MAX_ENTRIES the oldest are
evicted and counted. The write-ahead log contains the table as messages that are submitted and finished at
once, which every release can read.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

from ashpath.core.time_units import SECOND
from ashpath.server.storage.record_codec import MessageFinished, MessageSubmitted
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.timers import stored_time

RETENTION = 30 * SECOND
MAX_ENTRIES = 8192
ENTRY_BYTES = 256  # of memory for an entry with a trace id of the usual length
MAX_BYTES = MAX_ENTRIES * ENTRY_BYTES
ENDED_MESSAGE_ID = 0  # no live message has this id


class EndedMessages:
    """The deadline of each message that ended recently, the earliest end first."""

    def __init__(self) -> None:
        self.evicted = 0
        """Number of messages that were forgotten before their retention was over."""
        self._deadlines: OrderedDict[str, int] = OrderedDict()

    def __contains__(self, trace_id: str) -> bool:
        deadline = self._deadlines.get(trace_id)
        return deadline is not None and stored_time() <= deadline + RETENTION

    def __len__(self) -> int:
        return len(self._deadlines)

    def add(self, trace_id: str, deadline: int) -> None:
        """Adds a message; `deadline` in microseconds of the stored clock."""
        time = stored_time()
        if deadline + RETENTION < time:
            return
        self._deadlines[trace_id] = deadline
        self._deadlines.move_to_end(trace_id)
        while self._deadlines:
            oldest = next(iter(self._deadlines))
            is_expired = self._deadlines[oldest] + RETENTION < time
            if not is_expired and len(self._deadlines) <= MAX_ENTRIES:
                return
            del self._deadlines[oldest]
            self.evicted += not is_expired

    def discard(self, trace_id: str) -> None:
        """Forgets a message that was accepted again."""
        self._deadlines.pop(trace_id, None)

    def update(self, other: EndedMessages) -> None:
        """Adds the messages of another table."""
        for trace_id, deadline in other._deadlines.items():
            self.add(trace_id, deadline)

    def records(self, max_bytes: int) -> Iterator[bytes]:
        """Yields the records of the latest messages that fit into `max_bytes` of the log."""
        newest: list[bytes] = []
        for trace_id, deadline in reversed(self._deadlines.items()):
            record = ended_message_record(trace_id, deadline)
            max_bytes -= len(record)
            if max_bytes < 0:
                break
            newest.append(record)
        yield from reversed(newest)


def ended_message_record(trace_id: str, deadline: int) -> bytes:
    """Returns the bytes of a message that is submitted and finished at once."""
    message = StoredMessage(ENDED_MESSAGE_ID, trace_id, 0, 0, None, None, deadline, b"", first_run_at=0)
    return MessageSubmitted(message).encode() + MessageFinished(ENDED_MESSAGE_ID, None).encode()
