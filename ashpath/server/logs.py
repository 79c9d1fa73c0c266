"""Log lines on their way out: in one of three forms, and never a reason for the sender to stop or to wait."""

from __future__ import annotations

import logging
import os
import stat
import sys
from collections import deque
from select import POLLOUT, poll
from socket import AF_UNIX, MSG_DONTWAIT, SOCK_STREAM, socket
from typing import Any

import gevent
from gevent.event import Event

# Where rich is installed structlog loads it, for tracebacks not drawn here: 50 ms and 3 MB of a start.
hidden = sys.modules.setdefault("rich", None)  # type: ignore[arg-type]
import structlog  # noqa: E402

if hidden is None:
    del sys.modules["rich"]

Logger = structlog.typing.FilteringBoundLogger  # the type of every logger that is handed to a part

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
PIECE = 4096  # what a pipe that polls as writable takes without blocking
KEPT = 256 << 10  # bytes of lines that wait for a reader; further ones are dropped and counted
LOOK = 0.25  # seconds between looks at a reader that does not read


class LogWriter:
    """Standard output, or whatever descriptor it is: a write that would block waits here, and a reader that
    is gone is written to no more. Guards the sender's turns: a full pipe would hold up every envelope.
    `waiting` is emptied as the reader reads; what it cannot hold is dropped, and their number told."""

    def __init__(self, descriptor: int | None) -> None:
        self.descriptor, self.socket = descriptor, None
        self.waiting: deque[bytes] = deque()
        self.size = self.dropped = 0
        self.stuck = Event()
        if descriptor is None:
            return
        self.poll = poll()
        self.poll.register(descriptor, POLLOUT)
        try:
            if stat.S_ISSOCK(os.fstat(descriptor).st_mode):
                self.socket = socket(AF_UNIX, SOCK_STREAM, fileno=os.dup(descriptor))
        except OSError:
            self.descriptor = None

    def msg(self, line: str) -> None:
        """One line; structlog's loggers end here."""
        if self.descriptor is None:
            return
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        if self.size + len(data) > KEPT:
            self.dropped += 1
            return
        self.waiting.append(data)
        self.size += len(data)
        if not self.flush():
            self.stuck.set()

    debug = info = warning = error = critical = exception = msg

    def flush(self) -> bool:
        """Whether all is out."""
        while self.waiting and self.descriptor is not None:
            data = self.waiting[0]
            try:
                count = self.write(data[:PIECE])
            except OSError:  # closed: nobody reads, now or later
                self.descriptor = None
                self.waiting.clear()
                return True
            if not count:
                return False
            self.size -= count
            if count < len(data):
                self.waiting[0] = data[count:]
            else:
                self.waiting.popleft()
        return True

    def write(self, piece: bytes) -> int:
        """How much was taken without waiting."""
        assert self.descriptor is not None
        if self.socket is not None:
            try:
                return self.socket.send(piece, MSG_DONTWAIT)
            except BlockingIOError:
                return 0
        events = self.poll.poll(0)
        if not events or not events[0][1] & POLLOUT:
            if events:
                raise BrokenPipeError
            return 0
        return os.write(self.descriptor, piece)

    def run(self, log: Any) -> None:
        """Writes on once the reader reads, and says how many lines it missed."""
        while True:
            self.stuck.wait()
            self.stuck.clear()
            while not self.flush():
                gevent.sleep(LOOK)
            if self.dropped:
                dropped, self.dropped = self.dropped, 0
                log.warning("log lines dropped", count=dropped)


class LogFormat:
    """Level and look of the lines; both may change while the sender runs."""

    def __init__(self, level: str = "info", form: str = "logfmt") -> None:
        self.use(level, form)

    def use(self, level: str, form: str) -> None:
        self.least = LEVELS[level]
        order = ["timestamp", "level", "sender", "event"]
        self.render: Any = (
            structlog.processors.LogfmtRenderer(key_order=order)
            if form == "logfmt"
            else structlog.processors.JSONRenderer(default=str)
            if form == "json"
            else structlog.dev.ConsoleRenderer(colors=False)
        )

    def keep(self, _: Any, method: str, event: Any) -> Any:
        if LEVELS.get(method, logging.ERROR) < self.least:
            raise structlog.DropEvent
        return event

    def __call__(self, logger: Any, method: str, event: Any) -> Any:
        try:
            return self.render(logger, method, event)
        except Exception as error:  # a value that cannot be written must not end what wrote it
            return f"event={event.get('event')!r} not_rendered={error!r}"


def create_logger(name: str, form: LogFormat) -> tuple[Any, LogWriter]:
    """The sender's log on standard output. Nothing of a body, a key or a secret is handed to it."""
    try:
        descriptor = None if sys.stdout is None else sys.stdout.fileno()
    except (OSError, ValueError):
        descriptor = None
    lines = LogWriter(descriptor)
    structlog.configure(
        processors=[
            form.keep,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            form,
        ],
        logger_factory=lambda *_: lines,
        wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG),  # `form` has the level,
    )
    return structlog.get_logger().bind(sender=name), lines
