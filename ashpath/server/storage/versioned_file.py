"""Small JSON files of rows, `{"version": 1, NAME: [rows]}`: how they are read, and what they look like."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson

from ashpath.server.storage.errors import ForeignFileError

READ_ERRORS = (OSError, ValueError, KeyError, TypeError)  # what `read_rows` and a look at the rows may raise


class VersionedFile:
    """One such file. It is written by `atomic_file`, with the bytes of `encode`."""

    def __init__(self, path: Path, *, version: int, rows_name: str, contents: str) -> None:
        """`rows_name`: the JSON field of the rows; `contents`: what they are, for the message of an error."""
        self.path = path
        self.version = version
        self.rows_name = rows_name
        self.contents = contents

    def read_rows(self) -> list[Any]:
        """The rows, of any JSON type: the caller checks them.

        Raises FileNotFoundError; one of READ_ERRORS, ForeignFileError among them.
        """
        content = orjson.loads(self.path.read_bytes())
        if content["version"] != self.version:
            raise self.foreign_file_error()
        rows: list[Any] = content[self.rows_name]
        return rows

    def encode(self, rows: list[Any]) -> bytes:
        """The content of the file."""
        return orjson.dumps({"version": self.version, self.rows_name: rows})

    def foreign_file_error(self) -> ForeignFileError:
        """For rows that this version does not write."""
        return ForeignFileError(self.contents)
