"""Notices for senders without a platform: to a file with a line of JSON for each, or to nobody."""

from __future__ import annotations

import os
from contextlib import suppress
from itertools import islice
from pathlib import Path
from typing import Any

import gevent
from gevent.event import Event

from ashpath.server.delivery.notifier import PendingNotifications
from ashpath.server.limits import ServerLimits
from ashpath.server.storage.write_ahead_log import StoredMessage, WriteAheadLog


class RotatingFile:
    """Lines behind one another; a full file becomes `.1`, that one `.2`, and the last one is dropped.
    The standard library's rotating handler keeps what it could not write in a buffer and writes it twice."""

    def __init__(self, path: Path, most: int, kept: int) -> None:
        self.path, self.most, self.kept = path, most, kept
        self.open()

    def open(self) -> None:
        self.file = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o640)
        self.written = os.fstat(self.file).st_size

    def aged(self, number: int) -> Path:
        return self.path.with_name(f"{self.path.name}.{number}") if number else self.path

    def age(self) -> None:
        if not self.path.exists():  # guards the older ones where no new file could be made the last time
            return
        for number in range(self.kept, 0, -1):
            with suppress(FileNotFoundError):
                os.replace(self.aged(number - 1), self.aged(number))
        if not self.kept:
            self.path.unlink()

    def write(self, data: bytes) -> None:
        """Raises OSError, and then nothing of it is in the file."""
        if self.written and self.written + len(data) > self.most:
            self.age()
            full = self.file
            self.open()
            os.close(full)
        try:
            count = os.write(self.file, data)
            if count < len(data):
                raise OSError(f"only {count} of {len(data)} bytes written")
        except OSError:
            os.ftruncate(self.file, self.written)
            raise
        self.written += len(data)


class FileNotifier(PendingNotifications):
    """`waiting` is emptied as the file takes the lines. A kill between a line and the ledger's record of it
    repeats the line: the same id, the same status."""

    def __init__(self, file: RotatingFile, limits: ServerLimits, ledger: WriteAheadLog, log: Any) -> None:
        super().__init__()
        self.file, self.limits, self.write_ahead_log, self.log = file, limits, ledger, log

    def run(self) -> None:
        failing = False
        while True:
            self.has_pending.wait()
            batch = list(islice(self.pending, self.limits.notification_batch))
            if not batch:
                self.has_pending.clear()
                continue
            try:
                self.file.write("".join(f"{entry.notice}\n" for entry in batch).encode())
            except OSError as error:
                if not failing:
                    self.log.error("notifications not written", error=str(error), pending=len(self.pending))
                failing = True
                gevent.sleep(self.limits.retry_s)
                continue
            if failing:
                self.log.info("notifications written again", pending=len(self.pending))
            failing = False
            self.acknowledged(batch, self.write_ahead_log)


class NullNotifier:
    """Nobody is told: who asks for an envelope's end hears it."""

    def __init__(self, ledger: WriteAheadLog) -> None:
        self.write_ahead_log = ledger
        self.pending: dict[StoredMessage, None] = {}

    def add(self, entry: StoredMessage) -> None:
        self.write_ahead_log.record_finished(entry)

    def pending_for(self, entry: StoredMessage) -> None:
        """Nothing is ever waited for."""

    def run(self) -> None:
        Event().wait()
