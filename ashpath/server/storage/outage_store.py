"""The destinations and endpoints that this sender sees in outage, stored for its next incarnation.

After an outage a sender increases its rate in a slow start, also if it was restarted in the meantime:
otherwise a fleet that restarts during an outage would send all its held messages at once to a destination
that has just recovered.

The file `outages` is JSON, `{"version": 1, "out": [[destination, endpoint, rate, end], ...]}`, replaced
atomically at each change of mode. An empty endpoint means the whole destination. A file that cannot be read
counts as no outage and is logged once. This module stores outages only; the policy applies them
(`restore_outage`).

| mode | stored as | until |
| --- | --- | --- |
| in outage | end null | the outage ends |
| in slow start after an outage | end in microseconds of the stored clock | that time |
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

from msgspec import Struct

from ashpath.server.logs import Logger
from ashpath.server.storage.atomic_file import replace_shared_file
from ashpath.server.storage.versioned_file import READ_ERRORS, VersionedFile
from ashpath.server.timers import stored_time

FILE_NAME = "outages"
VERSION = 1
MAX_OUTAGES = 128  # the most recently changed are kept
MAX_ENDPOINT_CHARACTERS = 64  # the outage of an endpoint with a longer id is not stored
MAX_FILE_BYTES = 16 << 10  # more of the most recently changed outages are not stored


class Outage(Struct, frozen=True):
    """One outage, or the slow start after an outage."""

    destination: int
    endpoint: str
    """Endpoint id; empty for the whole destination."""
    rate: float
    """The sender's attempts per second to the destination or endpoint before the outage."""
    slow_start_end: int | None
    """End of the slow start in microseconds of the stored clock; None while the outage lasts."""

    @classmethod
    def of_row(cls, row: list[Any]) -> Outage:
        """Returns the outage of one row of the file. Raises ValueError or TypeError if the row is invalid."""
        destination, endpoint, rate, end = row
        return cls(int(destination), str(endpoint), float(rate), None if end is None else int(end))

    def row(self) -> list[Any]:
        """Returns the row that the file stores."""
        return [self.destination, self.endpoint, self.rate, self.slow_start_end]


class OutageStore:
    """The outages of one state directory. A change that cannot be written applies in this process only."""

    def __init__(self, directory: Path, logger: Logger) -> None:
        self._file = VersionedFile(
            directory / FILE_NAME, version=VERSION, rows_name="out", contents="outages"
        )
        self._logger = logger
        self._failing = False  # whether the last write failed; only the first failure in a row is logged
        self.outages: dict[tuple[int, str], Outage] = {}
        """By destination and endpoint, the oldest change first; the next change removes expired outages."""
        try:
            for row in self._file.read_rows()[-MAX_OUTAGES:]:
                self._add(Outage.of_row(row))
        except FileNotFoundError:
            pass
        except READ_ERRORS as error:
            self.outages.clear()
            logger.error("outages not read, none are known", file=str(self._file.path), error=str(error))  # noqa: TRY400 - one line is enough

    def active(self) -> list[Outage]:
        """Returns the outages that last, and those whose slow start has not ended."""
        return _active(self.outages.values(), stored_time())

    def outage_began(self, destination: int, endpoint: str, rate: float) -> None:
        """Stores the outage, unless the destination or endpoint is in outage already."""
        if not self._in_outage(destination, endpoint):
            self._store(Outage(destination, endpoint, rate, None), stored_time())

    def outage_ended(self, destination: int, endpoint: str, rate: float, slow_start_us: int) -> None:
        """Stores a slow start of `slow_start_us` microseconds from now, unless no outage was stored."""
        if self._in_outage(destination, endpoint):
            now = stored_time()
            self._store(Outage(destination, endpoint, rate, now + slow_start_us), now)

    def _in_outage(self, destination: int, endpoint: str) -> bool:
        known = self.outages.get((destination, endpoint))
        return known is not None and known.slow_start_end is None

    def _add(self, outage: Outage) -> None:
        self.outages[outage.destination, outage.endpoint] = outage

    def _store(self, outage: Outage, now: int) -> None:
        if len(outage.endpoint) > MAX_ENDPOINT_CHARACTERS:
            return
        active = _active(self.outages.values(), now)
        self.outages = {(entry.destination, entry.endpoint): entry for entry in active}
        self.outages.pop((outage.destination, outage.endpoint), None)  # it is added again at the end
        self._add(outage)
        while len(self.outages) > MAX_OUTAGES:
            del self.outages[next(iter(self.outages))]
        self._write()

    def _content(self) -> bytes:
        """Returns the file's content; without the oldest outages if their ids take too many bytes."""
        rows = [outage.row() for outage in self.outages.values()]
        content = self._file.encode(rows)
        while len(content) > MAX_FILE_BYTES:
            del rows[0]
            content = self._file.encode(rows)
        return content

    def _write(self) -> None:
        try:
            replace_shared_file(self._file.path, self._content())
            self._failing = False
        except OSError as error:
            if not self._failing:
                self._logger.error("outages not written", error=str(error))  # noqa: TRY400 - one line is enough
            self._failing = True


def _active(outages: Iterable[Outage], now: int) -> list[Outage]:
    return [outage for outage in outages if outage.slow_start_end is None or outage.slow_start_end > now]
