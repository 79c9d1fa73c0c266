"""Writes log lines to a descriptor without ever blocking or ending the sender.

Blocking on a full pipe would delay every message, so a write that would block is postponed: its lines are
buffered for the reader, up to `MAX_PENDING_BYTES`. Further lines are dropped and counted, and their number is
logged once the reader reads again. After the reader has closed its end, nothing more is written.
"""

from __future__ import annotations

import os
import stat
from collections import deque
from contextlib import suppress
from select import POLLOUT, poll
from socket import AF_UNIX, MSG_DONTWAIT, SOCK_STREAM, socket
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from ashpath.server.local_errors import is_closed

if TYPE_CHECKING:
    from ashpath.server.logs import Logger  # which imports this module

MAX_PENDING_BYTES = 256 << 10  # of buffered lines
MAX_WRITE_BYTES = 4096  # a pipe that polls as writable accepts this many without blocking
RETRY_S = 0.25  # between tries to write to a reader that does not read


class NonBlockingOutput:
    """A descriptor of any type (file, pipe or socket) that is written to without blocking."""

    def __init__(self, descriptor: int) -> None:
        """Raises OSError if the descriptor is not open."""
        self.descriptor = descriptor
        self.poll = poll()
        self.poll.register(descriptor, POLLOUT)
        self.socket: socket | None = None
        if stat.S_ISSOCK(os.fstat(descriptor).st_mode):
            self.socket = socket(AF_UNIX, SOCK_STREAM, fileno=os.dup(descriptor))

    def write(self, data: bytes) -> int:
        """Returns how many bytes of `data`, at most `MAX_WRITE_BYTES` long, were written. Raises OSError if
        the reader has closed its end."""
        if self.socket is not None:
            try:
                return self.socket.send(data, MSG_DONTWAIT)
            except BlockingIOError:
                return 0
        events = self.poll.poll(0)
        if not events:
            return 0
        if not events[0][1] & POLLOUT:
            raise BrokenPipeError
        return os.write(self.descriptor, data)


class LogWriter:
    """Writes structlog's lines. If `descriptor` is None or not open, lines are discarded."""

    def __init__(self, descriptor: int | None) -> None:
        self.output: NonBlockingOutput | None = None
        self.pending: deque[bytes] = deque()  # lines that wait; the first may be partly written
        self.pending_bytes = 0
        self.dropped = 0  # lines dropped since the last report
        self.blocked = Event()
        if descriptor is not None:
            with suppress(OSError):
                self.output = NonBlockingOutput(descriptor)

    def msg(self, line: str) -> None:
        """Writes one line, buffers it, or drops it if the buffer is full."""
        if self.output is None:
            return
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        if self.pending_bytes + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self.pending.append(data)
        self.pending_bytes += len(data)
        if not self.flush():
            self.blocked.set()

    debug = info = warning = error = critical = exception = msg  # structlog calls these by the event's level

    def flush(self) -> bool:
        """Writes as much as the reader accepts. Returns whether the buffer is empty."""
        while self.pending and self.output is not None:
            data = self.pending[0]
            try:
                written = self.output.write(data[:MAX_WRITE_BYTES])
            except OSError as error:
                if not is_closed(error):
                    return False  # for example, a full disk: the write is retried
                self.output = None  # the reader has closed its end for good
                self.pending.clear()
                return True
            if not written:
                return False
            self.pending_bytes -= written
            if written < len(data):
                self.pending[0] = data[written:]
            else:
                self.pending.popleft()
        return True

    def run(self, logger: Logger) -> None:
        """Writes buffered lines once the reader reads again, and logs how many lines were dropped. Never
        returns."""
        while True:
            self.blocked.wait()
            self.blocked.clear()
            while not self.flush():
                gevent.sleep(RETRY_S)
            if self.dropped:
                dropped = self.dropped
                self.dropped = 0
                logger.warning("log lines dropped", count=dropped)
