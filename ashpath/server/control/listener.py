"""Accepts operators at the control address.

Each connection has a greenlet and a time limit of its own (`ServerLimits.control_timeout_s`): an operator
that sends nothing, or half a line, and stays holds up nobody else. Of `ServerLimits.control_connections` at
once the longest silent one gives way to the next, unless bytes of it have just come: so silent ones keep
nobody out, and take no more descriptors than that. What a command does is its `CommandHandler`'s business.
"""

from __future__ import annotations

from contextlib import suppress

import gevent
from gevent import socket

from ashpath.server.addresses import Address
from ashpath.server.control.commands import CommandHandler
from ashpath.server.control.connection import ControlConnection
from ashpath.server.control.connection_table import ControlConnectionTable
from ashpath.server.limits import ServerLimits
from ashpath.server.local_errors import is_closed
from ashpath.server.logs import Logger

BACKLOG = 1024  # connections not yet accepted; one that finds this full comes again a second late
ACCEPT_RETRY_S = 0.01  # after an accept that failed


class ControlListener:
    """The listening socket of the operators' address. `listen` before `run`."""

    listening_socket: socket.socket  # from `listen` on

    def __init__(
        self,
        address: Address,
        limits: ServerLimits,
        handler: CommandHandler,
        logger: Logger,
    ) -> None:
        self.address = address
        self.limits = limits
        self.handler = handler
        self.logger = logger
        self.table = ControlConnectionTable(limits.control_connections)

    def listen(self) -> None:
        """Raises OSError where the address cannot be had."""
        self.listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listening_socket.bind(self.address)
        self.listening_socket.listen(BACKLOG)

    def run(self) -> None:
        """Accepts until the process ends."""
        while True:
            try:
                accepted = self.listening_socket.accept()[0]
            except OSError as error:  # out of descriptors, or an operator that left again
                if is_closed(error):
                    self.listen_again(error)
                gevent.sleep(ACCEPT_RETRY_S)
                continue
            while self.table.full:
                if not self.table.evict_silent():
                    gevent.sleep(0)  # all have just sent something, and are answered now
            self.table.add(accepted)
            connection = ControlConnection(accepted, self.table, self.limits, self.handler, self.logger)
            gevent.spawn(connection.serve)
            gevent.sleep(0)

    def listen_again(self, error: OSError) -> None:
        """The listening socket will accept nothing any more: operators would reach nobody."""
        self.logger.error("listening socket lost", error=str(error), inherited=False)
        with suppress(OSError):
            self.listening_socket.close()
        with suppress(OSError):  # it is tried again with the next accept
            self.listen()
