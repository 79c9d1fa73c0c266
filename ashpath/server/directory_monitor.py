"""Measures the disk space of the state directory, all processes' files together, and logs an excess."""

from __future__ import annotations

from pathlib import Path

import gevent

from ashpath.server.logs import Logger
from ashpath.server.storage.directory_usage import directory_usage


class DirectoryMonitor:
    """Measures the state directory every `interval_s` seconds. Logs one line for each transition over the
    limit or back."""

    def __init__(self, directory: Path, max_bytes: int, interval_s: float, logger: Logger) -> None:
        """`max_bytes`: the limit of all files together."""
        self.directory = directory
        self.max_bytes = max_bytes
        self.interval_s = interval_s
        self.logger = logger
        self.bytes = 0  # as last measured
        self.peak_bytes = 0  # the most that was measured
        self.over_limit = False

    def run(self) -> None:
        """Measures at each interval. Never returns."""
        while True:
            self.measure()
            gevent.sleep(self.interval_s)

    def measure(self) -> None:
        """Measures once; a directory that cannot be listed counts as it was last measured."""
        try:
            usage = directory_usage(self.directory)
        except OSError:
            return
        self.bytes = sum(usage.values())
        self.peak_bytes = max(self.peak_bytes, self.bytes)
        over_limit = self.bytes > self.max_bytes
        if over_limit and not self.over_limit:
            files = ",".join(f"{name}:{size}" for name, size in sorted(usage.items()) if size)
            self.logger.error(
                "state directory over its limit", bytes=self.bytes, max_bytes=self.max_bytes, files=files
            )
        elif self.over_limit and not over_limit:
            self.logger.info("state directory within its limit", bytes=self.bytes, max_bytes=self.max_bytes)
        self.over_limit = over_limit
