"""A connection to an endpoint, with what is recorded of its use."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from time import monotonic

from gevent import get_hub, socket

from ashpath.server.delivery.response_notices import NoticeSource, ResponseNotices
from ashpath.server.descriptors import UNCOUNTED, Lease
from ashpath.server.http.buffer_memory import AccountedBuffer, ResponseMemory
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.messages import HttpResponse
from ashpath.server.limits.http import HttpLimits

READ = 1  # the event of libev's io watchers
MAX_LOGGED_BYTES = 64  # of what an endpoint sent without a request


class CloseReason(Enum):
    """The reason for which the sender closed a connection to an endpoint."""

    CLOSED_BY_ENDPOINT = "closed by endpoint"
    EXTRA_BYTES = "extra bytes"
    DISTRUST = "distrust"
    IDLE_LIMIT = "idle limit"
    ENDPOINT_LEFT = "endpoint left"
    RARELY_USED = "rarely used"
    POOL_FULL = "pool full"
    GIVEN_WAY = "given way"
    REPLACED = "replaced"
    ATTEMPT_FAILED = "attempt failed"
    NOT_KEPT_ALIVE = "not kept alive"
    UNFINISHED_RESPONSE = "unfinished response"


class EndpointConnection(HttpConnection):
    """A connection to an endpoint; the pool creates and closes it."""

    def __init__(
        self,
        sock: socket.socket,
        limits: HttpLimits,
        number: int,
        notices: ResponseNotices,
        memory: ResponseMemory,
        lease: Lease = UNCOUNTED,
    ) -> None:
        super().__init__(sock, limits)
        self._lease = lease
        self.buffer = AccountedBuffer(
            limits.buffer_bytes, limits.body_bytes, memory.reserve_for, memory.release
        )
        self.notices = notices
        self.endpoint_id = ""
        """The endpoint at the other end; empty until an attempt has the connection."""
        self.destination = 0
        """The destination of that endpoint."""
        self.number = number
        """In the order in which this process opened its connections, from 1."""
        self.in_use = True
        """False while the connection is idle or closed."""
        self.requests = 0
        """Number of requests that were written."""
        self.last_trace_id = ""
        """Trace id of the last request that was written."""
        self.idle_before_use_s: float = 0.0
        """Seconds for which the connection was idle before its last request; 0 if that is its first one."""
        self.written_at = 0.0
        """Time of the last request, in seconds of the monotonic clock."""
        self.answered_at = 0.0
        """Time of the last response to a request, in seconds of the monotonic clock."""
        self.awaits_response = False
        """Whether a request is out: no head of a response to it has been read."""
        self._watcher = get_hub().loop.io(sock.fileno(), READ)

    def use_for(self, endpoint_id: str, destination: int) -> None:
        """Records to which endpoint the connection leads."""
        self.endpoint_id = endpoint_id
        self.destination = destination

    def head_received(self, response: HttpResponse) -> None:
        """Passes on what the response says of its destination."""
        self.awaits_response = False
        self.answered_at = monotonic()
        self.notices.head_received(self, response, NoticeSource.RESPONSE)

    @property
    def is_reused(self) -> bool:
        """Whether the last request is not the first one."""
        return self.requests > 1

    def request_written(self, trace_id: str) -> None:
        """Records a request."""
        self.requests += 1
        self.last_trace_id = trace_id
        self.written_at = monotonic()
        self.awaits_response = True

    def watch(self, readable: Callable[[], None]) -> None:
        """Calls `readable` once bytes, or the end of the connection, have arrived. It must not switch."""
        self._watcher.start(readable)

    def stop_watching(self) -> None:
        """Undoes `watch`."""
        self._watcher.stop()

    def close(self) -> None:
        """Closes the socket, stops watching it, and frees its buffer."""
        self._watcher.stop()
        self._watcher.close()
        super().close()
        self._lease.release()
        self.buffer.clear()

    def take_received(self, max_bytes: int) -> bytes:
        """Returns what has arrived, without waiting, and sets `eof_received` at the end of the connection."""
        received = self.buffer.consume(len(self.buffer))[:max_bytes] if len(self.buffer) else b""
        try:
            self.sock.settimeout(0)
            while len(received) < max_bytes and not self.eof_received:
                part = self.sock.recv(max_bytes - len(received))
                self.eof_received = not part
                received += part
        except BlockingIOError:
            pass
        except OSError:
            self.eof_received = True
        return received

    def unread_bytes(self) -> bytes:
        """Returns the first bytes that are received and not consumed, without waiting or consuming any."""
        buffered = len(self.buffer)
        if buffered:
            return self.buffer.peek(0, min(buffered, MAX_LOGGED_BYTES))
        received = b""
        with suppress(OSError):
            self.sock.settimeout(0)
            received = self.sock.recv(MAX_LOGGED_BYTES, socket.MSG_PEEK)
        with suppress(OSError):
            self.sock.settimeout(None)
        return received
