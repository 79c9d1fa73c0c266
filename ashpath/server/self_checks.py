"""Checks of the sender's own books, which no fault of another process can make fail.

A failed check is counted and logged, with the latest attempts if none were written for a while. It never ends
the process, and never changes what the sender does.
"""

from __future__ import annotations

from enum import Enum
from time import monotonic

from ashpath.server.delivery.attempt_log import AttemptLog
from ashpath.server.logs import Logger

ATTEMPTS_INTERVAL_S = 60.0  # between two times that failed checks write the latest attempts


class Check(Enum):
    """What is checked."""

    ONE_ATTEMPT = "a message has one attempt out"
    ONE_END = "a message ends once"
    ATTEMPT_IS_OUT = "an outcome is that of an attempt that is out"
    NO_RETRY_AFTER = "no Retry-After of its destination is in force at the first byte of an attempt"
    ONE_RELEASE = "a connection is released once"


class SelfChecks:
    """Counts and logs failed checks."""

    def __init__(self, attempt_log: AttemptLog, logger: Logger) -> None:
        self.attempt_log = attempt_log
        self.logger = logger
        self.failures: dict[Check, int] = dict.fromkeys(Check, 0)
        self._attempts_written_at = -ATTEMPTS_INTERVAL_S

    def expect(self, check: Check, *, holds: bool, subject: str) -> None:
        """Counts and logs a failure unless the check holds; `subject`: a trace id or an endpoint."""
        if holds:
            return
        self.failures[check] += 1
        self.logger.error("self-check failed", check=check.value, subject=subject)
        if monotonic() - self._attempts_written_at >= ATTEMPTS_INTERVAL_S:
            self._attempts_written_at = monotonic()
            self.attempt_log.write_latest()
