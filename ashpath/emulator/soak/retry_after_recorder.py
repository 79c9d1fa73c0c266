"""Records each Retry-After that reaches a sender, from the bytes that a proxy writes to it."""

from __future__ import annotations

import re
from time import monotonic
from weakref import WeakKeyDictionary

from gevent import socket

from ashpath.emulator.soak.records import RetryAfterRecord, SoakRecords

LOST_RESPONSE_S = 0.2  # a response counts as lost if its connection is reset within this time
RETRY_AFTER_HEAD = re.compile(
    rb"HTTP/1\.1 (?:429|503)[^\r\n]*\r\n(?:[^\r\n]+\r\n)*?Retry-After: ([0-9.]+)\r\n(?:[^\r\n]+\r\n)*\r\n"
)
MAX_HEAD_BYTES = 1000


class RetryAfterRecorder:
    """Observes the proxy between one sender and one endpoint."""

    def __init__(self, sender: int, endpoint_id: str, destination: int, records: SoakRecords) -> None:
        self.sender = sender
        self.endpoint_id = endpoint_id
        self.destination = destination
        self._records = records
        self._unmatched: WeakKeyDictionary[socket.socket, bytes] = WeakKeyDictionary()
        self._last: WeakKeyDictionary[socket.socket, RetryAfterRecord] = WeakKeyDictionary()

    def response_written(self, caller: socket.socket, data: bytes) -> None:
        """See `ResponseObserver`."""
        written = self._unmatched.get(caller, b"") + data
        end = 0
        for match in RETRY_AFTER_HEAD.finditer(written):
            end = match.end()
            record = RetryAfterRecord(
                self.sender, self.endpoint_id, self.destination, monotonic(), float(match[1])
            )
            self._records.retry_afters.append(record)
            self._last[caller] = record
        self._unmatched[caller] = written[end:][-MAX_HEAD_BYTES:]

    def connection_reset(self, caller: socket.socket) -> None:
        """See `ResponseObserver`. What was written last may not have been read."""
        self._unmatched.pop(caller, None)
        last = self._last.pop(caller, None)
        if last is not None and monotonic() - last.written_at < LOST_RESPONSE_S:
            last.lost = True
