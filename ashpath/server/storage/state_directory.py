"""The state directory of a standalone sender: its owner, its version and its traffic class ids.

The process holds the file `lock` for its lifetime, and the file has the process's id for the error message of
a second sender. `imprint` is JSON, `{"version": 1, "sender": name, "tracks": [rows]}`, with the rows of the
traffic classes in the order of their ids, since the records of the write-ahead log have ids only. A directory
of another sender or of another version is refused and left unchanged; so is a directory that has live
messages and no imprint that names their traffic classes.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

from ashpath.server.storage.atomic_file import replace_file
from ashpath.server.storage.errors import ForeignRecordError, StateDirectoryError
from ashpath.server.storage.file_lock import FileLock
from ashpath.server.storage.live_messages import LiveMessages
from ashpath.server.storage.log_directory import FIRST_LOG
from ashpath.server.storage.record_codec import RecordReader

IMPRINT_FILE = "imprint"
VERSION = 1
MAX_PROCESS_ID_BYTES = 20


class StateDirectory:
    """The state directory, locked from construction until `close`.

    Raises StateDirectoryError if another sender uses or owns the directory, or if it cannot be read.
    """

    def __init__(self, path: Path, sender: str) -> None:
        """`sender`: the name of this sender, which an existing imprint must have too."""
        self.path = path
        self.sender = sender
        self.imprint = path / IMPRINT_FILE
        try:
            path.mkdir(parents=True, exist_ok=True)
            self._lock = FileLock(path / "lock")
        except OSError as error:
            raise StateDirectoryError.of_directory(path, error.strerror) from error
        try:
            self._acquire()
            self.traffic_classes = self._read_imprint()
        except StateDirectoryError:
            self._lock.release()
            raise

    def _acquire(self) -> None:
        if not self._lock.acquire():
            content = os.pread(self._lock.descriptor, MAX_PROCESS_ID_BYTES, 0)
            holder = content.decode("ascii", "replace").strip() or "unknown"
            raise StateDirectoryError.of_directory(self.path, f"in use by another sender, process {holder}")

    def _read_imprint(self) -> list[dict[str, Any]]:
        """Returns the traffic classes by id, in the form of the platform's settings; [] if none exist."""
        try:
            content = orjson.loads(self.imprint.read_bytes())
            version = content["version"]
            sender = content["sender"]
            traffic_classes = list(content["tracks"])
        except FileNotFoundError as error:
            if self.live_messages():
                reason = "no imprint names the traffic classes of the journal's live messages"
                raise StateDirectoryError.of_directory(self.path, reason) from error
            return []
        except (OSError, ValueError, KeyError, TypeError) as error:
            raise StateDirectoryError.of_file(self.imprint, f"cannot be read: {error}") from error
        if version != VERSION:
            reason = f"found format version {version}, expected {VERSION}"
            raise StateDirectoryError.of_file(self.imprint, reason)
        if sender != self.sender:
            reason = f"belongs to sender {sender!r}, not to {self.sender!r}"
            raise StateDirectoryError.of_file(self.imprint, reason)
        return traffic_classes

    def live_messages(self) -> int:
        """Returns the number of live messages in the log. Raises StateDirectoryError if it cannot be read."""
        log = self.path / FIRST_LOG
        messages = LiveMessages()
        try:
            with log.open("rb") as file:
                messages.read(RecordReader(file))
        except FileNotFoundError:
            return 0
        except (OSError, ForeignRecordError) as error:
            raise StateDirectoryError.of_file(log, error) from error
        return len(messages.live)

    def write(self, traffic_classes: list[dict[str, Any]]) -> None:
        """Writes the process id and the imprint, before a message is accepted under these traffic classes.

        The imprint is replaced atomically. Raises StateDirectoryError if it cannot be written; a process id
        that cannot be written is missing in an error message only.
        """
        content = {"version": VERSION, "sender": self.sender, "tracks": traffic_classes}
        with suppress(OSError):
            os.truncate(self._lock.descriptor, 0)
            os.pwrite(self._lock.descriptor, b"%d\n" % os.getpid(), 0)
        try:
            if traffic_classes != self.traffic_classes or not self.imprint.exists():
                replace_file(self.imprint, orjson.dumps(content), self.path / f"{IMPRINT_FILE}.new")
        except OSError as error:
            raise StateDirectoryError.of_directory(self.path, error.strerror) from error

    def close(self) -> None:
        """Releases the lock, so that another sender may use the directory."""
        self._lock.release()
