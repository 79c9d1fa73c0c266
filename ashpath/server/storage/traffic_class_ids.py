"""What the traffic class ids of the write-ahead log stand for, once a running sender switched settings.

One file of the state directory, `track-numbers`: JSON, `{"version": 1, "tracks": [rows]}`, the rows of the
platform's settings in the order of the ids. It is replaced as a whole, before a message is accepted under
the new settings, and is not there until a switch. A start with an empty log removes it. A sender with a
configuration file of its own has the imprint in place of it (`state_directory.py`).
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

    def read(self) -> list[dict[str, Any]]:
        """The traffic classes by id; none before any switch. Raises OSError, TrafficClassIdsError."""
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
        """Raises OSError: the file is then as it was."""
        replace_file(self._file.path, self._file.encode(traffic_classes), self._temporary)

    def remove(self) -> None:
        """Nothing in the log needs it any more. Raises OSError."""
        self._file.path.unlink(missing_ok=True)
