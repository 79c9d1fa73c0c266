"""Hot upgrade: adoption of the messages that another process of the same sender left in its write-ahead log.

Theory of operation: the platform hands the clients' listening socket to a second process of the same sender,
and then sends SIGTERM to the first. Each process writes a log of its own; the log of a process that has ended
is an orphan. `OrphanAdopter` checks for orphans as long as its process runs, and so also finds the log of a
process that was killed. A process that binds the address itself has no other process beside it. It adopts the
logs of earlier processes as it opens its own, and has an `OrphanAdopter` only if some of them are left.
"""

from __future__ import annotations

from typing import Protocol

import gevent

from ashpath.server.logs import Logger
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog


class MessageAdopter(Protocol):
    """Continues the delivery of messages of another process."""

    def adopt(self, messages: list[StoredMessage]) -> None:
        """Takes over messages, in the order of acceptance, that this process's write-ahead log already
        contains."""
        ...


class OrphanAdopter:
    """Adopts the live messages of orphaned logs. Checks for such logs every `interval_s` seconds, and every
    `upgrade_interval_s` while another process of the sender runs."""

    def __init__(
        self,
        write_ahead_log: WriteAheadLog,
        adopter: MessageAdopter,
        interval_s: float,
        upgrade_interval_s: float,
        logger: Logger,
    ) -> None:
        self.write_ahead_log = write_ahead_log
        self.adopter = adopter
        self.interval_s = interval_s
        self.upgrade_interval_s = upgrade_interval_s
        self.logger = logger

    def run(self) -> None:
        """Checks for orphaned logs at each interval. Never returns."""
        while True:
            is_upgrade = self.write_ahead_log.has_living_others
            gevent.sleep(self.upgrade_interval_s if is_upgrade else self.interval_s)
            adopted = self.write_ahead_log.adopt()
            if adopted:
                self.logger.info("write-ahead log adopted", messages=len(adopted))
                self.adopter.adopt(adopted)
