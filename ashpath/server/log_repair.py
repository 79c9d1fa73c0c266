"""Writes what the write-ahead log could not take, as soon as the disk takes it again."""

from __future__ import annotations

import gevent

from ashpath.server.logs import Logger
from ashpath.server.storage.write_ahead_log import WriteAheadLog


class LogRepairer:
    """Looks every `interval_s` seconds; logs once that the log is behind, and once that it is whole again."""

    def __init__(self, write_ahead_log: WriteAheadLog, interval_s: float, logger: Logger) -> None:
        self.write_ahead_log = write_ahead_log
        self.interval_s = interval_s
        self.logger = logger
        self.behind = False

    def run(self) -> None:
        """Never returns."""
        while True:
            gevent.sleep(self.interval_s)
            self.look()

    def look(self) -> None:
        """Repairs the log where it is behind."""
        log = self.write_ahead_log
        behind = log.needs_repair and not log.repair()
        if behind != self.behind:
            self.behind = behind
            if behind:
                self.logger.error("write-ahead log behind", live=len(log.messages.live))
            else:
                self.logger.info("write-ahead log whole again", live=len(log.messages.live))
