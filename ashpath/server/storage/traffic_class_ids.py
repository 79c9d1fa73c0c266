"""What the ledger's track numbers stand for, once settings were switched in a running sender.

One file of the state folder, `track-numbers`: JSON, `{"version": 1, "tracks": [rows]}`, in the order of the
numbers. Written as a whole or not at all, before anything is taken on under the new settings; none is there
until a switch. A start that holds nothing forgets it. A sender of its own file has `imprint` for this.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson

NAME = "track-numbers"
VERSION = 1


def read(folder: Path) -> list[dict[str, Any]]:
    """The tracks by number; none where nothing was switched. Raises ValueError, naming the file."""
    path = folder / NAME
    try:
        told = orjson.loads(path.read_bytes())
        if told["version"] != VERSION or not all(isinstance(row, dict) for row in told["tracks"]):
            raise ValueError("not a file of track numbers of this version")
        return list(told["tracks"])
    except FileNotFoundError:
        return []
    except (ValueError, KeyError, TypeError) as error:
        raise ValueError(f"{path}: {error}") from None


def write(folder: Path, tracks: list[dict[str, Any]]) -> None:
    """Raises OSError."""
    fresh = folder / f"{NAME}.new"
    fresh.write_bytes(orjson.dumps({"version": VERSION, "tracks": tracks}))
    fresh.replace(folder / NAME)


def forget(folder: Path) -> None:
    (folder / NAME).unlink(missing_ok=True)
