"""Retries failed writes to the files of the state directory until the disk accepts them."""

from __future__ import annotations

import gevent

from ashpath.server.logs import Logger
from ashpath.server.storage.repairable import Repairable
from ashpath.server.storage.write_ahead_log import WriteAheadLog


class LogRepairer:
    """Repairs the write-ahead log every `interval_s` seconds. Logs once when the log falls behind or cannot
    be rewritten, and once when each is over. Beside another process's log, also rewrites it to leave room.

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
        self.not_rewritten = False

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
        if log.needs_repair or log.rewrite_failing:
            log.repair()
        else:
            log.leave_room_for_others()
        self._report_behind(behind=log.needs_repair)
        self._report_rewrites(not_rewritten=log.rewrite_failing and not log.needs_repair)

    def _report_behind(self, *, behind: bool) -> None:
        if behind == self.behind:
            return
        self.behind = behind
        live = len(self.write_ahead_log.messages.live)
        if behind:
            self.logger.error("write-ahead log behind", live=live)
        else:
            self.logger.info("write-ahead log whole again", live=live)

    def _report_rewrites(self, *, not_rewritten: bool) -> None:
        if not_rewritten == self.not_rewritten:
            return
        self.not_rewritten = not_rewritten
        log = self.write_ahead_log
        if not_rewritten:
            self.logger.error(
                "write-ahead log not rewritten", bytes=log.file.written, max_bytes=log.max_bytes
            )
        elif not log.rewrite_failing:
            self.logger.info("write-ahead log rewritten again", bytes=log.file.written)
