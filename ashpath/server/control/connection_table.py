"""Open connections at the control address, and the choice of the one that is evicted at the limit."""

from __future__ import annotations

from collections import OrderedDict
from contextlib import suppress

from gevent import socket

from ashpath.server.control.commands import CommandResult
from ashpath.server.control.protocol import encode_result

BUSY = CommandResult(succeeded=False, message="busy: said nothing for the longest")


class ControlConnectionTable:
    """Open connections in the order of their last input, the longest silent one first."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.connections: OrderedDict[socket.socket, None] = OrderedDict()

    @property
    def full(self) -> bool:
        """Whether a connection must be evicted before another is added."""
        return len(self.connections) >= self.capacity

    def add(self, connection: socket.socket) -> None:
        """Adds an accepted connection."""
        self.connections[connection] = None

    def mark_active(self, connection: socket.socket) -> None:
        """Records that bytes were received on a connection."""
        self.connections.move_to_end(connection)

    def remove(self, connection: socket.socket) -> None:
        """Removes a connection, if it was not evicted before."""
        self.connections.pop(connection, None)

    def evict_silent(self) -> bool:
        """Closes the longest silent connection without unread input; returns False if all have some."""
        for connection in self.connections:
            if not has_unread_input(connection):
                del self.connections[connection]
                with suppress(OSError):
                    connection.settimeout(0)
                    connection.send(encode_result(BUSY))
                connection.close()
                return True
        return False


def has_unread_input(connection: socket.socket) -> bool:
    """Whether bytes, or the end of the connection, wait to be read. Does not wait."""
    connection.settimeout(0)
    try:
        connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        connection.settimeout(None)
    return True
