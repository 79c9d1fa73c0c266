"""The state folder of a standalone sender: whose it is, which version's, and what its tracks' numbers mean.

`lock` is held as long as the process lives. `imprint` names the version, the sender and the tracks in the
order of their numbers, as the ledger's records have numbers only.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Any

import orjson

from ashpath.server.storage.write_ahead_log import ForeignRecordError, LiveMessages, RecordReader

VERSION = 1


class StateDirectoryError(Exception):
    """The folder cannot be used by this sender; the words say why. Nothing in it was changed."""


class StateDirectory:
    def __init__(self, path: Path, sender: str) -> None:
        self.path, self.sender = path, sender
        self.imprint = path / "imprint"
        try:
            path.mkdir(parents=True, exist_ok=True)
            self.lock = os.open(path / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise StateDirectoryError(f"state folder {path}: {error.strerror}") from None
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            holder = os.pread(self.lock, 20, 0).decode("ascii", "replace").strip() or "unknown"
            os.close(self.lock)
            raise StateDirectoryError(
                f"state folder {path}: in use by another sender, process {holder}"
            ) from None
        try:
            self.traffic_classes = self.read()
        except StateDirectoryError:
            os.close(self.lock)
            raise

    def read(self) -> list[dict[str, Any]]:
        """The tracks that the ledger's numbers stand for; none where nothing was written yet."""
        try:
            told = orjson.loads(self.imprint.read_bytes())
            version, sender, tracks = told["version"], told["sender"], list(told["tracks"])
        except FileNotFoundError:
            if self.live_messages():
                raise StateDirectoryError(
                    f"state folder {self.path}: its journal has no imprint beside it"
                ) from None
            return []
        except (OSError, ValueError, KeyError, TypeError) as error:
            raise StateDirectoryError(f"{self.imprint}: cannot be read: {error}") from None
        if version != VERSION:
            raise StateDirectoryError(
                f"{self.imprint}: written by version {version}, this one reads {VERSION}"
            )
        if sender != self.sender:
            raise StateDirectoryError(
                f"{self.imprint}: the folder of sender {sender!r}, not of {self.sender!r}"
            )
        return tracks

    def live_messages(self) -> int:
        """How many envelopes the journal holds."""
        held = LiveMessages()
        try:
            with (self.path / "journal").open("rb") as file:
                for (what, number, *fields), body, size in RecordReader(file):
                    held.apply(what, number, fields, body, size)
        except FileNotFoundError:
            return 0
        except (OSError, ForeignRecordError) as error:
            raise StateDirectoryError(f"{self.path / 'journal'}: {error}") from None
        return len(held.live)

    def write(self, tracks: list[dict[str, Any]]) -> None:
        """Before the ledger is opened; as a whole or not at all."""
        told = {"version": VERSION, "sender": self.sender, "tracks": tracks}
        fresh = self.path / "imprint.new"
        try:
            os.truncate(self.lock, 0)
            os.pwrite(self.lock, b"%d\n" % os.getpid(), 0)
            if tracks != self.traffic_classes or not self.imprint.exists():
                fresh.write_bytes(orjson.dumps(told))
                os.replace(fresh, self.imprint)
        except OSError as error:
            raise StateDirectoryError(f"state folder {self.path}: {error.strerror}") from None

    def close(self) -> None:
        os.close(self.lock)
