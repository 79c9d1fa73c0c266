"""Small JSON files of rows with a version number, `{"version": 1, NAME: [rows]}`."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson

from ashpath.server.storage.errors import ForeignFileError

READ_ERRORS = (OSError, ValueError, KeyError, TypeError)  # raised by `read_rows` and by checks of the rows


class VersionedFile:
    """One versioned file. `atomic_file` writes it, with the bytes that `encode` returns."""

    def __init__(self, path: Path, *, version: int, rows_name: str, contents: str) -> None:
        """`rows_name`: the JSON field of the rows; `contents`: the kind of content, for error messages."""
        self.path = path
        self.version = version
        self.rows_name = rows_name
        self.contents = contents

    def read_rows(self) -> list[Any]:
        """Returns the rows, which may have any JSON type: the caller checks them.

        Raises FileNotFoundError if the file does not exist, ForeignFileError if it has another version, and
        another of READ_ERRORS if it cannot be read.
        """
        content = orjson.loads(self.path.read_bytes())
        if content["version"] != self.version:
            raise self.foreign_file_error()
        rows: list[Any] = content[self.rows_name]
        return rows

    def encode(self, rows: list[Any]) -> bytes:
        """Returns the content of a file with these rows."""
        return orjson.dumps({"version": self.version, self.rows_name: rows})

    def foreign_file_error(self) -> ForeignFileError:
        """Returns the error for content that this version does not write."""
        return ForeignFileError(self.contents)
