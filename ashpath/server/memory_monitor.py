"""Measures the resident size of the process, and logs what holds the memory as it nears the limit."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from msgspec import Struct

from ashpath.server.logs import Logger
from ashpath.server.process_memory import peak_resident_bytes, resident_bytes

REPORTED_SHARES = (0.5, 0.625, 0.75, 0.875, 1.0)  # of the limit; reaching one is logged
REARM_MARGIN = 0.0625  # of the limit: a share is logged again once the size was this much below it


class MemoryUse(Struct, frozen=True):
    """What the parts of a sender hold."""

    connections: str
    """Client connections by state, such as `idle:3,reading:1`."""
    buffered_bytes: int
    """Bytes of receive buffers of client connections."""
    messages: int
    """Messages without a final outcome."""
    message_bytes: int
    """Bytes that these take in the write-ahead log."""


class MemoryMonitor:
    """Measures every `interval_s` seconds, and logs a line when the size reaches a share of the limit."""

    def __init__(
        self, max_bytes: int, interval_s: float, memory_use: Callable[[], MemoryUse], logger: Logger
    ) -> None:
        """`max_bytes`: the limit. `memory_use`: read only for a log line."""
        self.max_bytes = max_bytes
        self.interval_s = interval_s
        self.memory_use = memory_use
        self.logger = logger
        self.bytes = 0  # as last measured
        self.reported_share = 0.0  # the largest share that was logged and not left since

    @property
    def peak_bytes(self) -> int:
        """The largest resident size since the start of the process."""
        return peak_resident_bytes()

    def run(self) -> None:
        """Measures at each interval. Never returns."""
        while True:
            self.measure()
            gevent.sleep(self.interval_s)

    def measure(self) -> None:
        """Measures once."""
        self.bytes = resident_bytes()
        share = max((one for one in REPORTED_SHARES if self.bytes >= one * self.max_bytes), default=0.0)
        if share > self.reported_share:
            self.reported_share = share
            self.report()
        elif self.bytes < (self.reported_share - REARM_MARGIN) * self.max_bytes:
            self.reported_share = share

    def report(self) -> None:
        """Logs the size and what holds it."""
        use = self.memory_use()
        self.logger.warning(
            "memory in use",
            bytes=self.bytes,
            peak=self.peak_bytes,
            max_bytes=self.max_bytes,
            connections=use.connections,
            buffered=use.buffered_bytes,
            messages=use.messages,
            message_bytes=use.message_bytes,
        )
