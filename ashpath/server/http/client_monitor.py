"""Logs why client connections ended, at most one line an interval."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import gevent

from ashpath.server.http.close_reason import EXPECTED_REASONS, ClientCloseReason
from ashpath.server.http.connection_table import ConnectionTable
from ashpath.server.logs import Logger

REPORT_INTERVAL_S = 1.0


class ClientMonitor:
    """Logs a line for each interval in which connections ended for a reason that clients did not cause, or
    requests were rejected."""

    def __init__(self, table: ConnectionTable, logger: Logger) -> None:
        self.table = table
        self.logger = logger
        self.reported_closes: Counter[ClientCloseReason] = Counter()
        self.reported_rejections: Counter[str] = Counter()

    def run(self) -> None:
        """Reports at each interval. Never returns."""
        while True:
            gevent.sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Logs what has ended since the last report, if any of it is worth a line."""
        closes = self.table.closed - self.reported_closes
        rejections = self.table.rejections - self.reported_rejections
        if rejections or closes.keys() - EXPECTED_REASONS:
            self.logger.info(
                "client connections closed",
                reasons=counts_text(closes),
                rejections=counts_text(rejections),
                connections=self.table.counts_text(),
            )
        self.reported_closes = self.table.closed.copy()
        self.reported_rejections = self.table.rejections.copy()


def counts_text(counts: Mapping[ClientCloseReason, int] | Mapping[str, int]) -> str:
    """Returns counts as one field of a log line.

    >>> counts_text({"idle limit": 2, "rejected": 1})
    'idle limit:2,rejected:1'
    """
    return ",".join(f"{name}:{count}" for name, count in sorted(counts.items()))
