"""Accepts operators' connections at the control address.

Each connection has a greenlet and a time limit of its own (`ControlLimits.control_timeout_s`): an operator
that stays connected and sends nothing, or an incomplete line, delays no other operator. At
`ControlLimits.control_connections` open connections, the longest silent one without unread bytes is evicted
for the next: silent connections block no operator, and their descriptors are limited to that number. The
`CommandHandler` implements the commands.
"""

from __future__ import annotations

from contextlib import suppress

import gevent
from gevent import socket

from ashpath.server.addresses import Address
from ashpath.server.control.commands import CommandHandler
from ashpath.server.control.connection import ControlConnection
from ashpath.server.control.connection_table import ControlConnectionTable
from ashpath.server.limits.control import ControlLimits
from ashpath.server.local_errors import is_closed
from ashpath.server.logs import Logger

BACKLOG = 1024  # connections not yet accepted; a connect to a full backlog is retried after a second
ACCEPT_RETRY_S = 0.01  # after a failed accept
CLOSE_PAUSE_S = 0.001  # for an iteration of the event loop, which closes sockets at its end


class ControlListener:
    """The listener of the control address; `listen` is called before `run`."""

    listening_socket: socket.socket  # set by `listen`

    def __init__(
        self,
        address: Address,
        limits: ControlLimits,
        write_timeout_s: float,
        handler: CommandHandler,
        logger: Logger,
    ) -> None:
        self.address = address
        self.limits = limits
        self.write_timeout_s = write_timeout_s  # of an answer
        self.handler = handler
        self.logger = logger
        self.table = ControlConnectionTable(limits.control_connections)

    def listen(self) -> None:
        """Opens the listening socket. Raises OSError if the address is not available."""
        self.listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listening_socket.bind(self.address)
        self.listening_socket.listen(BACKLOG)

    def run(self) -> None:
        """Accepts connections until the process ends."""
        while True:
            try:
                accepted = self.listening_socket.accept()[0]
            except OSError as error:  # no descriptor free, or the operator has left
                if is_closed(error):
                    self.listen_again(error)
                gevent.sleep(ACCEPT_RETRY_S)
                continue
            while self.table.full:
                # 0: all have unread input, and are served now. Else the loop closes the evicted connection.
                gevent.sleep(CLOSE_PAUSE_S if self.table.evict_silent() else 0)
            self.table.add(accepted)
            connection = ControlConnection(
                accepted, self.table, self.limits, self.write_timeout_s, self.handler, self.logger
            )
            gevent.spawn(connection.serve)
            gevent.sleep(0)

    def listen_again(self, error: OSError) -> None:
        """Logs the loss of the listening socket, which can accept no further connection, and replaces it.

        Without a new socket no operator could connect."""
        self.logger.error("listening socket lost", error=str(error), inherited=False)
        with suppress(OSError):
            self.listening_socket.close()
        with suppress(OSError):  # the next failed accept retries
            self.listen()
