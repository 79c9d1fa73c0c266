"""Who is connected to the control address, and who gives way when one more comes than may be."""

from __future__ import annotations

from collections import OrderedDict
from contextlib import suppress

from gevent import socket

from ashpath.server.control.commands import CommandResult
from ashpath.server.control.protocol import encode_result

BUSY = CommandResult(succeeded=False, message="busy: said nothing for the longest")


class ControlConnectionTable:
    """The open connections by when something last came of them: the longest silent one first."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.connections: OrderedDict[socket.socket, None] = OrderedDict()

    @property
    def full(self) -> bool:
        """Whether one must give way before another is added."""
        return len(self.connections) >= self.capacity

    def add(self, connection: socket.socket) -> None:
        """A connection that was just accepted."""
        self.connections[connection] = None

    def mark_active(self, connection: socket.socket) -> None:
        """Something came of it."""
        self.connections.move_to_end(connection)

    def remove(self, connection: socket.socket) -> None:
        """It ends; also where it gave way already."""
        self.connections.pop(connection, None)

    def evict_silent(self) -> bool:
        """Ends the longest silent connection; False where bytes of all of them wait to be read."""
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
    """Whether bytes of it, or its end, wait to be read. Does not wait."""
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
