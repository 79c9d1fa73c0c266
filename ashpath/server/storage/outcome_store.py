"""Final states of messages, for clients that query them where no platform notifies them.

The store has a limit of age and a limit of size. A final state is stored before the write-ahead log drops
its message, so that after a kill at least one of the two has the message; if both have it, the live message
takes precedence. The store is a table in memory, which evicts the oldest entries by age and size, and a line
of JSON on disk for each state, `[trace id, state, time, Retry-After]` (`outcome_file.py`), from which the
next incarnation rebuilds the table. A line that cannot be written is kept in memory until a write succeeds,
and the failure is logged once; beyond MAX_UNWRITTEN such lines, the oldest outcomes stay in memory only.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from contextlib import suppress
from pathlib import Path

import orjson
from msgspec import Struct

from ashpath.server.logs import Logger
from ashpath.server.storage.final_state import FinalState
from ashpath.server.storage.outcome_file import OutcomeFile
from ashpath.server.timers import stored_time

MAX_UNWRITTEN = 4096  # lines whose write failed and is retried
MEMORY_OVERHEAD_BYTES = 200  # memory of one outcome in addition to its line


class FinalOutcome(Struct, frozen=True):
    """The final state of one message; times are whole microseconds."""

    state: str
    """A FinalState, or a state that another version wrote."""
    at: int
    """Time of the final state by the stored clock."""
    retry_after: int
    """Time from `at` until a rejected message may be submitted again; 0 if none was given."""


class _StoredOutcome(Struct, frozen=True):
    outcome: FinalOutcome
    size: int
    """Bytes that the outcome takes in memory."""


class OutcomeStore:
    """The final states of one sender's messages, by trace id."""

    def __init__(self, directory: Path, max_bytes: int, retention: int, logger: Logger) -> None:
        """`max_bytes`: the limit on disk, and the same limit in memory. `retention`: microseconds.

        Raises OSError if the files cannot be read or opened.
        """
        self.max_bytes = max_bytes
        self.retention = retention
        self.size = 0  # bytes of memory
        self.file = OutcomeFile(directory, max_bytes)
        self._logger = logger
        self._failing = False  # whether the last write failed; only the first failure in a row is logged
        self._unwritten: deque[bytes] = deque(maxlen=MAX_UNWRITTEN)  # lines to write, the oldest first
        self._outcomes: OrderedDict[str, _StoredOutcome] = OrderedDict()
        for line in self.file.lines():
            self._read(line)
        self.file.open()

    def _read(self, line: bytes) -> None:
        """Adds the outcome of one line to the table; skips an invalid line, such as a torn last line."""
        with suppress(ValueError, TypeError, KeyError):
            trace_id, state, at, retry_after = orjson.loads(line)
            self._remember(str(trace_id), FinalOutcome(str(state), int(at), int(retry_after)), len(line))

    def add(self, trace_id: str, state: FinalState, retry_after: int = 0) -> None:
        """Stores a final state with the current time; `retry_after` in microseconds."""
        outcome = FinalOutcome(state, stored_time(), retry_after)
        line = orjson.dumps([trace_id, state, outcome.at, retry_after]) + b"\n"
        self._remember(trace_id, outcome, len(line))
        self._unwritten.append(line)
        self.repair()

    @property
    def needs_repair(self) -> bool:
        """Whether lines whose write failed are still to be written."""
        return bool(self._unwritten)

    def repair(self) -> bool:
        """Writes the unwritten lines in their order; returns False if a write fails."""
        try:
            while self._unwritten:
                self.file.append(self._unwritten[0])
                self._unwritten.popleft()
        except OSError as error:
            if not self._failing:
                self._logger.error("outcomes not written", error=str(error))  # noqa: TRY400 - one line is enough
            self._failing = True
            return False
        if self._failing:
            self._logger.info("outcomes written again")
        self._failing = False
        return True

    def _remember(self, trace_id: str, outcome: FinalOutcome, line_bytes: int) -> None:
        self._forget(trace_id)
        stored = _StoredOutcome(outcome, line_bytes + MEMORY_OVERHEAD_BYTES)
        self._outcomes[trace_id] = stored
        self.size += stored.size
        oldest = stored_time() - self.retention
        while self._outcomes:
            first, stored = next(iter(self._outcomes.items()))
            if self.size <= self.max_bytes and stored.outcome.at >= oldest:
                break
            self._forget(first)

    def _forget(self, trace_id: str) -> None:
        stored = self._outcomes.pop(trace_id, None)
        if stored is not None:
            self.size -= stored.size

    def get(self, trace_id: str) -> FinalOutcome | None:
        """Returns the outcome of a message, or None if it is unknown or its retention time has passed."""
        stored = self._outcomes.get(trace_id)
        if stored is None or stored_time() - stored.outcome.at > self.retention:
            return None
        return stored.outcome

    def trace_ids(self) -> list[str]:
        """Returns the trace ids of all stored outcomes, the oldest first."""
        return list(self._outcomes)

    def close(self) -> None:
        """Closes the file, which is complete at any time except for unwritten lines."""
        self.file.close()
