"""The traffic classes of the ids in the write-ahead log.

The file `track-numbers` of the state directory is JSON, `{"version": 1, "tracks": [rows]}`, with the rows of
the platform's settings in the order of the ids. Each start and each switch of settings replaces it atomically
before a message is accepted under the settings. A start that cannot write it yet accepts nothing until it
can (`WriteAheadLog.prerequisite`). Earlier releases wrote it at a switch alone. A sender with a configuration
file of its own has the imprint instead (`state_directory.py`).
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from ashpath.server.storage.atomic_file import replace_file
from ashpath.server.storage.errors import TrafficClassIdsError
from ashpath.server.storage.versioned_file import VersionedFile

FILE_NAME = "track-numbers"
VERSION = 1


class TrafficClassIds:
    """The file in one state directory; one process at a time writes it."""

    def __init__(self, directory: Path) -> None:
        self._file = VersionedFile(
            directory / FILE_NAME, version=VERSION, rows_name="tracks", contents="track numbers"
        )
        self._temporary = directory / f"{FILE_NAME}.new"
        self._unwritten: list[dict[str, Any]] = []  # the rows that the start could not write yet

    def read(self) -> list[dict[str, Any]]:
        """Returns the traffic classes by id; [] if there is no file.

        Raises TrafficClassIdsError if the content is invalid, and OSError if the file cannot be read.
        """
        try:
            rows = self._file.read_rows()
            self._check(rows)
            return list(rows)
        except FileNotFoundError:
            return []
        except (ValueError, KeyError, TypeError) as error:
            raise TrafficClassIdsError(self._file.path, error) from error

    def _check(self, rows: list[object]) -> None:
        if not all(isinstance(row, dict) for row in rows):
            raise self._file.foreign_file_error()

    def write(self, traffic_classes: list[dict[str, Any]]) -> None:
        """Replaces the file. Raises OSError if that fails, in which case the file is unchanged."""
        replace_file(self._file.path, self._file.encode(traffic_classes), self._temporary)
        self._unwritten = []

    def keep(self, traffic_classes: list[dict[str, Any]]) -> None:
        """Replaces the file, now or, if that fails, by a later `repair`."""
        self._unwritten = traffic_classes
        self.repair()

    @property
    def needs_repair(self) -> bool:
        """Whether the rows of the start are still to be written."""
        return bool(self._unwritten)

    def repair(self) -> bool:
        """Writes the rows of the start; returns False if that fails."""
        try:
            self.write(self._unwritten)
        except OSError:
            return False
        return True
