"""A connected socket with its receive buffer; it knows nothing of HTTP."""

from __future__ import annotations

from contextlib import suppress

import gevent
from gevent import socket

from ashpath.server.http.receive_buffer import ReceiveBuffer


class BufferedSocket:
    """A connected TCP socket, which it owns, and what came from it and is not consumed yet."""

    def __init__(self, sock: socket.socket, buffer: ReceiveBuffer) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.buffer = buffer
        self.unusable = False  # cannot carry a further message; stays so
        self.eof_received = False  # the far end has closed its side

    def close(self) -> None:
        """Closes the socket, which resets it over bytes that were not read."""
        self.unusable = True
        self.sock.close()

    def write(self, data: bytes) -> None:
        """Waits until all of it is handed to the kernel."""
        self.sock.sendall(data)

    def receive(self) -> bool:
        """Waits for bytes; False once the far end has closed."""
        space = self.buffer.free_space()
        size = len(space)
        try:
            count = self.sock.recv_into(space)
        finally:
            space.release()
        self.buffer.commit(count)
        self.eof_received = not count
        if count == size:
            gevent.sleep(0)  # guards the rest against a far end that sends without end
        return count > 0

    def half_close(self) -> None:
        """Nothing is written any more, and what still comes is for nobody: see `drain`."""
        self.unusable = True
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def drain(self, max_bytes: int) -> None:
        """Reads on and drops it, up to the end of the far side or so many bytes: closing on unread bytes
        resets a connection, and takes back what was written last."""
        drained = 0
        while drained < max_bytes and not self.eof_received and self.receive():
            drained += len(self.buffer)
            self.buffer.consume(len(self.buffer))

    def is_idle(self) -> bool:
        """Nothing unread, nothing closed: fit to carry a message. Does not wait."""
        return not self.unusable and not len(self.buffer) and self.peek_byte() is None

    def closed_by_peer(self) -> bool:
        """The far end has closed its side, as far as is known without waiting."""
        return self.peek_byte() == b""

    def peek_byte(self) -> bytes | None:
        """A first byte that waits in the kernel; b"" for an end or a failure, None for neither. Does not
        wait, and consumes nothing."""
        self.sock.settimeout(0)
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""
        finally:
            self.sock.settimeout(None)
