"""How envelopes ended, for clients that ask where no platform tells them: for a stated time, in stated bytes.

Two files in the state folder, `ends` and `ends.old`, each of half the bytes at most, a line of JSON for each
end. An end is written here before the ledger lets go of its envelope, so that a kill leaves at least one of
them that knows; where both do, what is held counts.
"""

from __future__ import annotations

import os
from collections import OrderedDict
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from ashpath.server.timers import wall

SPARE = 200  # bytes of memory that an end takes beside its line


@dataclass(frozen=True, slots=True)
class FinalOutcome:
    """`state` is completed, deferred, undeliverable or withdrawn; times are whole microseconds."""

    state: str
    at: int  # on the wall's clock
    come_back: int  # deferred: when to hand it in again, from then; 0: not told


class OutcomeStore:
    """`known` is emptied by age and by size, the oldest first. `most` is bytes on disk, and of memory."""

    def __init__(self, folder: Path, most: int, life: int, log: Any) -> None:
        self.path, self.previous_path = folder / "ends", folder / "ends.old"
        self.max_bytes, self.retention, self.log = most, life, log
        self.outcomes: OrderedDict[str, tuple[FinalOutcome, int]] = OrderedDict()
        self.size = 0  # of what is known
        self.failing = False
        for path in (self.previous_path, self.path):
            self.read(path)
        self.file, self.written = self.open()
        if self.written and os.pread(self.file, 1, self.written - 1) != b"\n":
            self.write(b"\n")  # a torn last line must not swallow the next one

    def open(self) -> tuple[int, int]:
        """The file's descriptor, and the bytes in it."""
        file = os.open(self.path, os.O_RDWR | os.O_APPEND | os.O_CREAT, 0o600)
        return file, os.fstat(file).st_size

    def read(self, path: Path) -> None:
        """What an earlier life wrote. A line that cannot be read, a torn last one say, is passed over."""
        with suppress(FileNotFoundError), path.open("rb") as file:
            for line in file:
                with suppress(ValueError, TypeError, KeyError):
                    trace, state, at, come_back = orjson.loads(line)
                    self.remember(str(trace), FinalOutcome(str(state), int(at), int(come_back)), len(line))

    def add(self, trace: str, state: str, come_back: int = 0) -> None:
        end = FinalOutcome(state, wall(), come_back)
        line = orjson.dumps([trace, state, end.at, come_back]) + b"\n"
        self.remember(trace, end, len(line))
        try:
            self.write(line)
        except OSError as error:  # the answer is still here until the process ends
            if not self.failing:
                self.log.error("outcomes not written", error=str(error))
            self.failing = True
        else:
            if self.failing:
                self.log.info("outcomes written again")
            self.failing = False

    def write(self, line: bytes) -> None:
        if self.written + len(line) > self.max_bytes // 2:
            with suppress(FileNotFoundError):  # moved already, and no new one could be made
                os.replace(self.path, self.previous_path)
            full = self.file
            self.file, self.written = self.open()
            os.close(full)
        count = os.write(self.file, line)
        if count < len(line):
            os.ftruncate(self.file, self.written)
            raise OSError(f"only {count} of {len(line)} bytes written")
        self.written += count

    def remember(self, trace: str, end: FinalOutcome, length: int) -> None:
        self.drop(trace)
        self.outcomes[trace] = (end, length + SPARE)
        self.size += length + SPARE
        oldest = wall() - self.retention
        while self.outcomes:
            first, (end, _) = next(iter(self.outcomes.items()))
            if self.size <= self.max_bytes and end.at >= oldest:
                break
            self.drop(first)

    def drop(self, trace: str) -> None:
        found = self.outcomes.pop(trace, None)
        if found is not None:
            self.size -= found[1]

    def get(self, trace: str) -> FinalOutcome | None:
        """The end, or None where it is not known, or no more."""
        found = self.outcomes.get(trace)
        return found[0] if found is not None and wall() - found[0].at <= self.retention else None

    def close(self) -> None:
        os.close(self.file)
