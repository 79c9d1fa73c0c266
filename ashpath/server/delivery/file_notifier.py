"""Appends notifications to a file, one line of JSON each, for senders without a platform.

A batch that cannot be written stays pending and is tried again. If the process is killed after it has
written a line and before the write-ahead log records that, it writes the line again after the restart, with
the same id and status.
"""

from __future__ import annotations

import gevent

from ashpath.server.delivery.notifier import PendingNotifications, encode_batch
from ashpath.server.delivery.rotating_file import RotatingFile
from ashpath.server.limits.notifications import NotificationLimits
from ashpath.server.logs import Logger
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog


class FileNotifier(PendingNotifications):
    """A `Notifier` whose receiver is a file."""

    def __init__(
        self,
        file: RotatingFile,
        limits: NotificationLimits,
        retry_s: float,
        write_ahead_log: WriteAheadLog,
        logger: Logger,
    ) -> None:
        super().__init__(write_ahead_log)
        self.file = file
        self.limits = limits
        self.retry_s = retry_s  # after a failed write
        self.logger = logger
        self.failing = False  # the last write failed and its error was logged

    def run(self) -> None:
        """Writes pending notifications until the process ends."""
        self.failing = False
        while True:
            batch = self.wait_for_batch(self.limits.notification_batch)
            try:
                self.file.append(encode_batch(batch))
            except OSError as error:
                self.write_failed(error)
                gevent.sleep(self.retry_s)
            else:
                self.write_succeeded(batch)

    def write_failed(self, error: OSError) -> None:
        """Logs the first of consecutive failures."""
        if not self.failing:
            self.logger.error("notifications not written", error=str(error), pending=len(self.pending))
        self.failing = True

    def write_succeeded(self, batch: list[StoredMessage]) -> None:
        """Acknowledges the batch; logs if the write before it failed."""
        if self.failing:
            self.logger.info("notifications written again", pending=len(self.pending))
        self.failing = False
        self.acknowledge(batch)
