"""A client's connection as a socket with a bounded buffer, whose wait for bytes another greenlet can end."""

from __future__ import annotations

import errno

from gevent import get_hub, socket

from ashpath.server.descriptors import UNCOUNTED, Lease
from ashpath.server.http.buffer_memory import AccountedBuffer, RequestMemory
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.errors import ProtocolError
from ashpath.server.http.turn_queue import TurnQueue
from ashpath.server.limits.http import HttpLimits

READ = 1  # the event of libev's io watchers
DISCARDED = bytearray(64 << 10)  # receives bytes that nobody reads, of all connections
CLOSED_TEXT = "connection closed"
NO_WAIT = 0.0  # the timeout of a socket that does not wait


class ClientSocket(HttpConnection):
    """The server's end of a client connection.

    Memory for received bytes is allocated once they have arrived, so a connection that waits holds none.
    Each read waits for a turn of the event loop: a client that writes continuously gets a turn among the
    others. Until a message of it has been accepted, a client shares its turns with all such clients.
    """

    def __init__(
        self,
        sock: socket.socket,
        limits: HttpLimits,
        memory: RequestMemory,
        turns: TurnQueue,
        lease: Lease = UNCOUNTED,
    ) -> None:
        super().__init__(sock, limits)
        self._lease = lease
        self.has_accepted_messages = False
        """Whether a message of this client was accepted on this connection."""
        self._turns = turns
        self._memory = memory
        self.request_buffer = AccountedBuffer(
            limits.buffer_bytes, limits.body_bytes, self._reserve, memory.release
        )
        self.buffer = self.request_buffer
        self._cancellation: ProtocolError | None = None
        self._closed = False
        self._readable = get_hub().loop.io(sock.fileno(), READ)

    def _reserve(self, size: int) -> None:
        self._memory.reserve_for(size, has_accepted_messages=self.has_accepted_messages)

    def receive(self) -> bool:
        """See `BufferedSocket`. Raises the error of `cancel`."""
        if self.sock.gettimeout() == NO_WAIT:
            return super().receive()
        self._wait_for_turn()
        self.read_into_buffer()
        return not self.eof_received

    def _wait_for_turn(self) -> None:
        if self._closed:
            raise OSError(errno.EBADF, CLOSED_TEXT)
        try:
            if self._cancellation is None:
                socket.wait(self._readable)
                if not self.has_accepted_messages:
                    self._turns.wait()
            if self._cancellation is not None:
                raise self._cancellation
        except ProtocolError:
            self._cancellation = None  # it ends one read, and not the drain behind it
            raise

    def drain(self, max_bytes: int) -> None:
        """See `BufferedSocket`."""
        waits = self.sock.gettimeout() != NO_WAIT
        drained = len(self.buffer)
        self.buffer.clear()
        while drained < max_bytes and not self.eof_received:
            if waits:
                self._wait_for_turn()
            count = self.sock.recv_into(DISCARDED)
            self.eof_received = not count
            drained += count

    def cancel(self, error: ProtocolError) -> None:
        """Makes the read of the request in progress fail with an error, and frees its buffer. Does not
        wait."""
        self._cancellation = error
        self.buffer.clear()
        get_hub().cancel_wait(self._readable, error)

    def expect_body(self, size: int) -> None:
        """Reserves memory for a body of a declared length. Raises MemoryBudgetError."""
        self.buffer.make_room_for(size)

    def close(self) -> None:
        """See `BufferedSocket`. A read that waits fails, and the buffer is freed."""
        if not self._closed:
            self._closed = True
            get_hub().cancel_wait(self._readable, OSError(errno.EBADF, CLOSED_TEXT), True)
        super().close()
        self._lease.release()
        self.buffer.clear()
