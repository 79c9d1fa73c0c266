"""Hot upgrade: what the process beside this one leaves behind, and what it does meanwhile.

Theory of operation: the platform hands the clients' listening socket to a second process of the same sender,
and then sends SIGTERM to the first. Each process writes a log of its own; the log of one that is gone is an
orphan. `OrphanAdopter` looks for orphans as long as the process runs, which covers a process that was killed
as well. A process that binds the address by itself is alone, and adopts nothing.
"""

from __future__ import annotations

from typing import Protocol

import gevent

from ashpath.server.logs import Logger
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog


class MessageAdopter(Protocol):
    """Who goes on with messages of another process."""

    def adopt(self, messages: list[StoredMessage]) -> None:
        """They are in this process' write-ahead log by now, in the order in which they were accepted."""
        ...


class OrphanAdopter:
    """Takes over the live messages of orphaned logs, every `interval_s` seconds."""

    def __init__(
        self, write_ahead_log: WriteAheadLog, adopter: MessageAdopter, interval_s: float, logger: Logger
    ) -> None:
        self.write_ahead_log = write_ahead_log
        self.adopter = adopter
        self.interval_s = interval_s
        self.logger = logger

    def run(self) -> None:
        """Never returns."""
        while True:
            gevent.sleep(self.interval_s)
            adopted = self.write_ahead_log.adopt()
            if adopted:
                self.logger.info("write-ahead log adopted", messages=len(adopted))
                self.adopter.adopt(adopted)
