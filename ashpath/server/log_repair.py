"""Retries failed writes to the files of the state directory until the disk accepts them."""

from __future__ import annotations

from typing import Protocol

import gevent

from ashpath.server.logs import Logger
from ashpath.server.storage.write_ahead_log import WriteAheadLog


class Repairable(Protocol):
    """A file whose writes may have failed."""

    @property
    def needs_repair(self) -> bool:
        """Whether data is still to be written."""

    def repair(self) -> bool:
        """Writes the outstanding data. Returns False if the disk does not accept it yet."""


class LogRepairer:
    """Repairs the write-ahead log every `interval_s` seconds. Logs once when the log falls behind, and once
    when it is complete again.

    `outcome_store` is repaired first, as the log may drop a message only after its final state was stored
    there."""

    def __init__(
        self,
        write_ahead_log: WriteAheadLog,
        interval_s: float,
        logger: Logger,
        outcome_store: Repairable | None = None,
    ) -> None:
        self.write_ahead_log = write_ahead_log
        self.interval_s = interval_s
        self.logger = logger
        self.outcome_store = outcome_store
        self.behind = False

    def run(self) -> None:
        """Checks at each interval. Never returns."""
        while True:
            gevent.sleep(self.interval_s)
            self.repair_if_behind()

    def repair_if_behind(self) -> None:
        """Writes the outstanding data of the outcome store, then of the write-ahead log."""
        store = self.outcome_store
        if store is not None and store.needs_repair and not store.repair():
            return
        log = self.write_ahead_log
        behind = log.needs_repair and not log.repair()
        if behind != self.behind:
            self.behind = behind
            if behind:
                self.logger.error("write-ahead log behind", live=len(log.messages.live))
            else:
                self.logger.info("write-ahead log whole again", live=len(log.messages.live))
