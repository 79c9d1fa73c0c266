"""Writes log lines to a descriptor, and never makes the sender wait or stop.

A full pipe would hold up every message, so a write that would block is put off: its lines wait here for the
reader, up to `MAX_PENDING_BYTES`. Further lines are dropped and counted, and their number is logged once the
reader reads again. A reader that is gone is written to no more.
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

MAX_PENDING_BYTES = 256 << 10  # of lines that wait for a reader
MAX_WRITE_BYTES = 4096  # what a pipe that polls as writable takes without blocking
RETRY_S = 0.25  # between tries at a reader that does not read


class NonBlockingOutput:
    """A descriptor that is written to without waiting, whatever it is: a file, a pipe, a socket."""

    def __init__(self, descriptor: int) -> None:
        """Raises OSError where it is not open."""
        self.descriptor = descriptor
        self.poll = poll()
        self.poll.register(descriptor, POLLOUT)
        self.socket: socket | None = None
        if stat.S_ISSOCK(os.fstat(descriptor).st_mode):
            self.socket = socket(AF_UNIX, SOCK_STREAM, fileno=os.dup(descriptor))

    def write(self, data: bytes) -> int:
        """How many bytes of at most `MAX_WRITE_BYTES` were taken. Raises OSError where nobody reads."""
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
    """Where structlog's lines end. `descriptor` None, or one that is not open: lines go nowhere."""

    def __init__(self, descriptor: int | None) -> None:
        self.output: NonBlockingOutput | None = None
        self.pending: deque[bytes] = deque()  # lines, the first perhaps cut; emptied as the reader reads
        self.pending_bytes = 0
        self.dropped = 0  # lines since the last report
        self.blocked = Event()
        if descriptor is not None:
            with suppress(OSError):
                self.output = NonBlockingOutput(descriptor)

    def msg(self, line: str) -> None:
        """Writes one line, or lets it wait, or drops it."""
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

    debug = info = warning = error = critical = exception = msg  # what structlog calls, by the event's level

    def flush(self) -> bool:
        """Writes what the reader takes; whether nothing waits any more."""
        while self.pending and self.output is not None:
            data = self.pending[0]
            try:
                written = self.output.write(data[:MAX_WRITE_BYTES])
            except OSError as error:
                if not is_closed(error):
                    return False  # a full disk, say: it is tried again
                self.output = None  # nobody reads, now or later
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
        """Goes on writing once the reader reads, and logs how many lines it missed."""
        while True:
            self.blocked.wait()
            self.blocked.clear()
            while not self.flush():
                gevent.sleep(RETRY_S)
            if self.dropped:
                dropped = self.dropped
                self.dropped = 0
                logger.warning("log lines dropped", count=dropped)
