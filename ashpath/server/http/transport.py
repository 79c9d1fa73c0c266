"""A connected socket with its receive buffer, independent of HTTP."""

from __future__ import annotations

from contextlib import suppress

import gevent
from gevent import socket

from ashpath.server.http.receive_buffer import ReceiveBuffer

RECEIVE_BYTES = 64 << 10  # of the kernel's buffer of received bytes, which otherwise grows to megabytes


def bound_receive_buffer(sock: socket.socket) -> None:
    """Bounds the kernel's memory for bytes that are not read yet. Connections that a listening socket accepts
    have its bound."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)


class BufferedSocket:
    """Owner of a connected TCP socket and of the received bytes that are not consumed yet."""

    def __init__(self, sock: socket.socket, buffer: ReceiveBuffer) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.buffer = buffer
        self.unusable = False  # permanently: the connection cannot carry a further message
        self.eof_received = False  # the peer has closed its side

    def close(self) -> None:
        """Closes the socket; the kernel resets the connection if received bytes are unread."""
        self.unusable = True
        self.sock.close()

    def write(self, data: bytes) -> None:
        """Waits until the kernel has taken all bytes. Raises OSError."""
        self.sock.sendall(data)

    def receive(self) -> bool:
        """Waits for bytes and buffers them; returns False if the peer has closed. Raises OSError."""
        if self.read_into_buffer():
            gevent.sleep(0)  # other greenlets run even while a peer sends continuously
        return not self.eof_received

    def read_into_buffer(self) -> bool:
        """Reads once; returns whether the free space of the buffer is used up. Raises OSError."""
        space = self.buffer.free_space()
        size = len(space)
        try:
            count = self.sock.recv_into(space)
        finally:
            space.release()
        self.buffer.commit(count)
        self.eof_received = not count
        return count == size

    def half_close(self) -> None:
        """Closes the writing side; the caller discards further input with `drain`."""
        self.unusable = True
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def drain(self, max_bytes: int) -> None:
        """Reads and discards input until the peer closes or `max_bytes` are read. Raises OSError.

        A close with unread bytes resets the connection, and the peer could lose the bytes written last."""
        drained = 0
        while drained < max_bytes and not self.eof_received and self.receive():
            drained += len(self.buffer)
            self.buffer.consume(len(self.buffer))

    def is_idle(self) -> bool:
        """Whether the connection can carry a message: open, without unread bytes. Does not wait."""
        return not self.unusable and not len(self.buffer) and self.peek_byte() is None

    def closed_by_peer(self) -> bool:
        """Whether the peer has closed its side, or the connection has failed, and no unread bytes precede
        that. Does not wait."""
        return self.peek_byte() == b""

    def peek_byte(self) -> bytes | None:
        """Returns the next byte in the kernel's buffer, b"" at the end or on a failure, or None if no byte is
        available. Does not wait, and consumes nothing."""
        self.sock.settimeout(0)
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""
        finally:
            self.sock.settimeout(None)
