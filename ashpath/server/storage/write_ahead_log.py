"""The journal of what was taken on, in the folder that outlives the process.

A record is its length, its checksum and a line of JSON, with the body behind the first. Every change of an
entry goes through `Ledger.apply`, as it happens and when it is read again. Nothing is synced: what the kernel
has survives a kill.

During a hot upgrade two processes share the folder. Each journal has a lock file beside it, held by the
process that writes it for as long as that process lives: a process takes `journal` when its lock is free,
else `journal-PID`. A journal whose lock is free is an orphan: its live entries are adopted (renumbered, the
same trace once only), written into the adopter's own journal, and only then is the orphan emptied. No process
writes a file of another that lives.
"""

from __future__ import annotations

import fcntl
import os
import re
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any, BinaryIO
from zlib import crc32

import orjson

SPARE = 240  # bytes an entry may grow by until it is over: two moments, two endpoints, a notice less its id
LENGTHS = {"taken": 15, "shot": 4, "outcome": 3, "ended": 3}  # fields of each kind of record
LONGEST = 16 << 20  # bytes of a record
BLOCK = 4096  # what rounding up to whole blocks may add, both files together
FIRST = "journal"  # the journal of a process that found no other alive
NAMES = re.compile(r"journal(-[0-9]+)?")  # the journals of a folder, its own and those of other processes


@dataclass(eq=False, slots=True)
class StoredMessage:
    """An envelope as the sockets know it: what came in, and what a further life has to know."""

    message_id: int  # its id at the door
    trace_id: str
    traffic_class: int
    destination: int
    ordering_key: int | None  # the key whose envelopes go in turn
    idempotency_key: str | None
    deadline: int  # on the wall's clock
    body: bytes
    attempts: int = 0
    first_run_at: int | None = None  # when the first shot that may have run began, and where it went
    first_run_endpoint: str = ""
    in_flight_since: int | None = None  # the same of the shot that is out
    in_flight_endpoint: str = ""
    notice: str | None = None  # the line that ends it, until the platform has it
    finished: bool = False
    reserved_size: int = 0  # what it may take in a journal written anew

    def fields(self) -> list[Any]:
        return [
            self.message_id,
            self.trace_id,
            self.traffic_class,
            self.destination,
            self.ordering_key,
            self.idempotency_key,
            self.deadline,
            self.attempts,
            self.first_run_at,
            self.first_run_endpoint,
            self.in_flight_since,
            self.in_flight_endpoint,
            self.notice,
            self.finished,
        ]

    def encode(self) -> bytes:
        """All of it, as it stands."""
        return encode_record(["taken", *self.fields()], self.body)


def encode_record(fields: list[Any], body: bytes = b"") -> bytes:
    payload = orjson.dumps(fields) + b"\n" + body
    return len(payload).to_bytes(4, "big") + crc32(payload).to_bytes(4, "big") + payload


class ForeignRecordError(ValueError):
    """A record whose checksum is right and whose words are not ours: another version wrote it."""


class RecordReader:
    """All whole records of a journal with their bodies and sizes, in order; from the first torn or false one
    nothing counts. Afterwards `at` is the byte where the whole ones end, and `fault` says what stands there:
    nothing, if the journal is sound."""

    def __init__(self, file: BinaryIO) -> None:
        self.file, self.at, self.fault = file, 0, ""

    def __iter__(self) -> Iterator[tuple[list[Any], bytes, int]]:
        while head := self.file.read(8):
            size = int.from_bytes(head[:4], "big")
            if len(head) == 8 and size > LONGEST:  # guards memory against a length that was never written
                self.fault = f"false: a record of {size} bytes"
                return
            payload = self.file.read(size) if len(head) == 8 else b""
            if len(head) < 8 or len(payload) < size:
                whole = 8 + size if len(head) == 8 else 8
                self.fault = f"torn: {len(head) + len(payload)} of {whole} bytes"
                return
            if crc32(payload) != int.from_bytes(head[4:], "big") or b"\n" not in payload:
                self.fault = "false: its checksum is not that of its bytes"
                return
            line, body = payload.split(b"\n", 1)
            yield self.fields(line), body, 8 + size
            self.at += 8 + size

    def fields(self, line: bytes) -> list[Any]:
        """Guards what another version wrote: it is not read as ours, and so not written anew without it."""
        try:
            fields = orjson.loads(line)
            if isinstance(fields, list) and len(fields) == LENGTHS[fields[0]] and isinstance(fields[1], int):
                return fields
        except (ValueError, LookupError, TypeError):
            pass
        self.fault = "foreign: not a record of this version"
        raise ForeignRecordError(f"byte {self.at}: {self.fault}")


class LiveMessages:
    """What the records leave: `live` and `traces` are emptied as envelopes have their end, and whoever is
    owed a notice has it. Every change of an entry, as it happens and as it is read again, is made here."""

    def __init__(self) -> None:
        self.live: dict[int, StoredMessage] = {}
        self.by_trace_id: dict[str, StoredMessage] = {}  # the live ones by their ids outside
        self.reserved = 0  # what the live ones would take, written anew
        self.last_id = 0  # the highest number given

    def apply(self, what: str, number: int, fields: list[Any], body: bytes = b"", size: int = 0) -> None:
        """What a record does, in this life and the next."""
        if what == "taken":
            self.add(StoredMessage(*[number, *fields[:6], body, *fields[6:]]), size)
        elif number in self.live:
            entry = self.live[number]
            if what == "shot":
                entry.attempts += 1
                entry.in_flight_since, entry.in_flight_endpoint = fields
            elif what == "outcome":
                if fields[0] and entry.first_run_at is None:
                    entry.first_run_at, entry.first_run_endpoint = (
                        entry.in_flight_since,
                        entry.in_flight_endpoint,
                    )
                entry.in_flight_since, entry.in_flight_endpoint = None, ""
            else:
                entry.finished, entry.notice = True, fields[0]
                if entry.notice is None:
                    del self.live[number]
                    self.by_trace_id.pop(entry.trace_id, None)
                    self.reserved -= entry.reserved_size

    def add(self, entry: StoredMessage, size: int) -> None:
        entry.reserved_size = self.grown(entry, size)
        self.live[entry.message_id] = entry
        self.by_trace_id[entry.trace_id] = entry
        self.reserved += entry.reserved_size
        self.last_id = max(self.last_id, entry.message_id)

    @staticmethod
    def grown(entry: StoredMessage, size: int) -> int:
        """What a record of this size may come to, written anew: a notice repeats the trace."""
        return size + len(entry.trace_id) + SPARE


class WriteAheadLog(LiveMessages):
    """The journal of one process, and what is live in it: its own, and what it adopted from orphans."""

    def __init__(self, folder: Path, most: int) -> None:
        super().__init__()
        self.folder, self.max_bytes = folder, most
        self.lock, name = claim(folder)
        self.path, self.fresh = folder / name, folder / f"{name}.new"
        self.file, self.written = -1, 0  # the journal's descriptor, and the bytes in it
        self.other_logs_bytes = 0  # bytes of journals of living processes beside this one: the disk is shared
        if self.path.exists():
            with self.path.open("rb") as file:
                for (what, number, *fields), body, size in RecordReader(file):
                    self.apply(what, number, fields, body, size)
        self.fresh.unlink(missing_ok=True)
        self.rewrite()
        self.adopt()

    def adopt(self) -> list[StoredMessage]:
        """The live entries of journals whose process is gone, now this one's; their files emptied after.
        A journal that cannot be read is left as it is, for `ashpath ledger` to show."""
        adopted: list[StoredMessage] = []
        for orphan, lock in orphans(self.folder, self.path.name):
            try:
                held = LiveMessages()
                with orphan.open("rb") as file:
                    for (what, number, *fields), body, _ in RecordReader(file):
                        held.apply(what, number, fields, body)
            except (OSError, ForeignRecordError):
                os.close(lock)
                continue
            for entry in held.live.values():
                if (
                    entry.trace_id not in self.by_trace_id
                ):  # guards against a kill between the two writes below
                    entry.message_id = self.last_id + 1
                    self.add(entry, len(entry.encode()))
                    adopted.append(entry)
            self.rewrite()
            empty(orphan)
            os.close(lock)
        self.other_logs_bytes = beside(self.folder, self.path.name)
        return adopted

    def record_submitted(self, entry: StoredMessage) -> bool:
        """False: there is no space for it, and nothing was written."""
        data = entry.encode()
        # The old and the new file fit beside each other, and a twentieth is left to append to.
        if (
            2.1 * (self.reserved + self.grown(entry, len(data)))
            > self.max_bytes - BLOCK - self.other_logs_bytes
        ):
            return False
        try:
            self.write(data)
        except OSError:
            return False
        self.add(entry, len(data))
        return True

    def record_attempt(self, entry: StoredMessage, at: int, endpoint: str) -> None:
        """Raises where it cannot be written: an unrecorded shot could run twice."""
        self.write(encode_record(["shot", entry.message_id, at, endpoint]))
        self.apply("shot", entry.message_id, [at, endpoint])

    def record_outcome(self, entry: StoredMessage, may_have_run: bool) -> None:
        self.append_record("outcome", entry, may_have_run)

    def record_finished(self, entry: StoredMessage, notice: str | None = None) -> None:
        """Over; with a notice it stays until `ended` comes without one, as the platform must have it."""
        self.append_record("ended", entry, notice)

    def append_record(self, what: str, entry: StoredMessage, *fields: Any) -> None:
        """One that cannot be written counts in this life; to the next, the shot may have run."""
        if entry.message_id in self.live:
            with suppress(OSError):
                self.write(encode_record([what, entry.message_id, *fields]))
            self.apply(what, entry.message_id, list(fields))

    def write(self, data: bytes) -> None:
        if self.written + len(data) + self.reserved + BLOCK > self.max_bytes:
            self.rewrite()
        try:
            count = os.write(self.file, data)
            if count < len(data):
                raise OSError(f"only {count} of {len(data)} bytes written")
        except OSError:
            os.ftruncate(self.file, self.written)  # a torn record would hide all that follow it
            raise
        self.written += len(data)

    def rewrite(self) -> None:
        """Only what is live, beside the old file, then over it: at any moment one of them is whole."""
        with self.fresh.open("wb") as file:
            for entry in self.live.values():
                file.write(entry.encode())
        os.replace(self.fresh, self.path)
        if self.file >= 0:
            os.close(self.file)
        self.file = os.open(self.path, os.O_WRONLY | os.O_APPEND)
        self.written = os.fstat(self.file).st_size

    def close(self) -> None:
        os.close(self.file)
        os.close(self.lock)


def locked(path: Path) -> int | None:
    """The descriptor of the lock file, held; None where a living process holds it."""
    lock = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(lock)
        return None
    return lock


def claim(folder: Path) -> tuple[int, str]:
    """The lock and the name of this process's journal: the first one if no living process holds it."""
    folder.mkdir(parents=True, exist_ok=True)
    for name in (FIRST, f"{FIRST}-{os.getpid()}"):
        lock = locked(folder / f"{name}.lock")
        if lock is not None:
            return lock, name
    raise OSError(f"{folder}: the journal of process {os.getpid()} is locked by another")


def beside(folder: Path, own: str) -> int:
    """Bytes that other journals may take: of a living process, or not yet adopted. Each may be written anew
    beside itself, and what is live in it is more than its records (SPARE): 2.2 times, and a block."""
    total = count = 0
    for path in folder.iterdir():
        if path.name != own and NAMES.fullmatch(path.name.removesuffix(".new")):
            with suppress(OSError):
                size = path.stat().st_size
                total, count = total + size, count + (size > 0)
    return int(2.2 * total) + BLOCK * count


def orphans(folder: Path, own: str) -> Iterator[tuple[Path, int]]:
    """Journals of other processes that are gone, each with its lock held until the caller closes it."""
    for path in sorted(folder.iterdir()):
        if path.name != own and NAMES.fullmatch(path.name):
            lock = locked(folder / f"{path.name}.lock")
            if lock is not None:
                yield path, lock


def empty(path: Path) -> None:
    """An adopted journal: the first name stays, for the next process to take; the others go."""
    if path.name == FIRST:
        path.with_name(f"{FIRST}.new").write_bytes(b"")
        os.replace(path.with_name(f"{FIRST}.new"), path)
        return
    path.unlink(missing_ok=True)
    path.with_name(f"{path.name}.new").unlink(missing_ok=True)
    path.with_name(f"{path.name}.lock").unlink(missing_ok=True)
