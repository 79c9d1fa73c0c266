"""A record of each attempt: the latest ones in memory, and a line each in the log where operators want it.

| lines are written | by |
| --- | --- |
| for each attempt, while the configuration says so | `attempt_log` in the file, read again on SIGHUP |
| for each attempt, for `TRACE_S` | the command TRACE at the control address |
| for the latest attempts, once | the command ATTEMPTS, and a failed check of the sender's own books |
"""

from __future__ import annotations

from collections import deque
from time import monotonic

from msgspec import Struct

from ashpath.core.interface import AttemptOutcome
from ashpath.core.time_units import SECOND
from ashpath.server.delivery.attempts import Attempt
from ashpath.server.logs import Logger

KEPT_ATTEMPTS = 1000
TRACE_S = 60.0


class AttemptRecord(Struct, frozen=True):
    """One attempt that has ended."""

    trace_id: str
    endpoint: str
    connection: int
    """Number of the connection in this process; 0 if there was none."""
    place: int
    """The attempt's place among the requests on its connection, from 1; 0 if it was not written."""
    idle_us: int
    """For how long the connection was idle before; 0 for its first request."""
    outcome: str
    provisional: bool
    failure: str
    """The error that ended the attempt, or an empty text."""
    duration_us: int


class AttemptLog:
    """The latest attempts of a sender, and whether each one gets a line."""

    def __init__(self, logger: Logger) -> None:
        self.logger = logger
        self.always = False
        """Whether each attempt gets a line, until the configuration says otherwise."""
        self.records: deque[AttemptRecord] = deque(maxlen=KEPT_ATTEMPTS)
        self._traced_until = 0.0

    def trace(self) -> None:
        """Writes a line for each attempt from now on, for `TRACE_S`."""
        self._traced_until = monotonic() + TRACE_S

    def add(self, attempt: Attempt, outcome: AttemptOutcome, duration_us: int) -> None:
        """Records an attempt that has ended."""
        connection = attempt.connection
        record = AttemptRecord(
            trace_id=attempt.message.trace_id,
            endpoint=attempt.endpoint_id,
            connection=0 if connection is None else connection.number,
            place=connection.requests if connection is not None and attempt.written else 0,
            idle_us=0 if connection is None else round(connection.idle_before_use_s * SECOND),
            outcome=outcome.value,
            provisional=attempt.provisional,
            failure="" if attempt.failure is None else type(attempt.failure).__name__,
            duration_us=duration_us,
        )
        self.records.append(record)
        if self.always or monotonic() < self._traced_until:
            self._write(record)

    def write_latest(self) -> int:
        """Writes a line for each recorded attempt, and forgets them. Returns their number."""
        records = list(self.records)
        self.records.clear()
        for record in records:
            self._write(record)
        return len(records)

    def _write(self, record: AttemptRecord) -> None:
        self.logger.info(
            "attempt",
            trace_id=record.trace_id,
            endpoint=record.endpoint,
            connection=record.connection,
            place=record.place,
            idle_us=record.idle_us,
            outcome=record.outcome,
            provisional=record.provisional,
            failure=record.failure,
            duration_us=record.duration_us,
        )
