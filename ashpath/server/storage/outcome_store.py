"""Final states of messages, for clients that ask where no platform notifies them: for a stated time and size.

A final state is stored here before the write-ahead log forgets its message, so that a kill leaves at least
one of them that knows; where both do, the live message counts. The store is a table in memory, emptied by
age and size from the oldest on, and a line of JSON on disk for each state, `[trace id, state, time,
Retry-After]` (`outcome_file.py`), from which the next incarnation makes the table again. A line that cannot
be written is kept in memory until it can, and said once; of very many the oldest stay there alone.
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

MAX_UNWRITTEN = 4096  # lines that wait for the disk
MEMORY_OVERHEAD_BYTES = 200  # what an outcome takes in memory beside its line


class FinalOutcome(Struct, frozen=True):
    """How one message ended; times are whole microseconds."""

    state: str
    """A FinalState, or what another version wrote."""
    at: int
    """By the stored clock."""
    retry_after: int
    """Rejected: when to submit it again, from then; 0: not said."""


class _StoredOutcome(Struct, frozen=True):
    outcome: FinalOutcome
    size: int
    """Bytes that it takes in memory."""


class OutcomeStore:
    """The final states of one sender, by trace id."""

    def __init__(self, directory: Path, max_bytes: int, retention: int, logger: Logger) -> None:
        """`max_bytes`: on disk, and as many of memory. `retention`: microseconds. Raises OSError."""
        self.max_bytes = max_bytes
        self.retention = retention
        self.size = 0  # bytes of memory
        self.file = OutcomeFile(directory, max_bytes)
        self._logger = logger
        self._failing = False  # the last write failed: said once
        self._unwritten: deque[bytes] = deque(maxlen=MAX_UNWRITTEN)  # lines that failed, the oldest first
        self._outcomes: OrderedDict[str, _StoredOutcome] = OrderedDict()
        for line in self.file.lines():
            self._read(line)
        self.file.open()

    def _read(self, line: bytes) -> None:
        """One that cannot be read is passed over: a torn last one, say."""
        with suppress(ValueError, TypeError, KeyError):
            trace_id, state, at, retry_after = orjson.loads(line)
            self._remember(str(trace_id), FinalOutcome(str(state), int(at), int(retry_after)), len(line))

    def add(self, trace_id: str, state: FinalState, retry_after: int = 0) -> None:
        """Stores a final state as of now; `retry_after` in microseconds."""
        outcome = FinalOutcome(state, stored_time(), retry_after)
        line = orjson.dumps([trace_id, state, outcome.at, retry_after]) + b"\n"
        self._remember(trace_id, outcome, len(line))
        self._unwritten.append(line)
        self.repair()

    @property
    def needs_repair(self) -> bool:
        """Lines that failed are still to be written."""
        return bool(self._unwritten)

    def repair(self) -> bool:
        """Writes the lines that failed, in their order; False where the disk does not take them yet."""
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
        """None where it is not known, or no more."""
        stored = self._outcomes.get(trace_id)
        if stored is None or stored_time() - stored.outcome.at > self.retention:
            return None
        return stored.outcome

    def trace_ids(self) -> list[str]:
        """Those that are stored, the oldest first."""
        return list(self._outcomes)

    def close(self) -> None:
        """The files are whole at any time."""
        self.file.close()
