"""What one process of a sender was told that binds the others at once: waits, and that holds have changed.

To the rules the two processes of a hot upgrade are one sender. Each holds one of PLACES files in the state
folder, `board-0` and so on, locked for as long as it lives and mapped to write; it maps the others to read.
A wait told is a record stored in memory that the kernel shares: it binds the others from their next look,
which each turn and each shot takes before its first byte, and it outlives its writer however that ends. A
look compares two counters in memory, so that nothing is walked or read in a day without an upgrade.

Layout: MAGIC, the counter of waits, the counter of holds; then WAITS records of checksum, end on the wall's
clock (microseconds), destination, and the endpoint's id. A record is whole before its counter moves; one
that is not sound binds nobody. Room for a file is taken as it is made, since a store into a mapped hole on a
full disk would end the process. Past WAITS running waits the one that ends first gives way.
"""

from __future__ import annotations

import fcntl
import mmap
import os
from contextlib import suppress
from pathlib import Path
from struct import Struct
from zlib import crc32

PLACES = 3  # an old process, a new one, and one more that was killed and is not gone yet
WAITS = 255
MAGIC = b"ashbrd01"
HEAD = Struct("<8sQQ40x")
RECORD = Struct("<IqqB43s")
LONGEST = 43  # bytes of an id; a longer one is left out, and the wait binds its whole destination
SIZE = HEAD.size + WAITS * RECORD.size
COUNTERS = slice(8, 24)

Told = tuple[int, str, int]  # destination, endpoint, end on the wall's clock in microseconds


class SharedMemory:
    def __init__(self, folder: Path, places: int = PLACES) -> None:
        """`places`: 1 where no other process can serve beside this one. Without a free place, or without
        disk for it, `own` stays empty: this process reads the others', and they do not hear of it."""
        self.own: mmap.mmap | None = None
        self.others: list[mmap.mmap] = []
        self.lock = -1
        for path in (folder / f"board-{place}" for place in range(places)):
            with suppress(OSError):  # no disk: that place is not to be had
                self.open(path)
        self.seen = [bytes(16) for _ in self.others]  # the others' counters at the last look
        self.wait_ends = [0] * WAITS  # of the own records; 0: never used
        self.keys: dict[tuple[int, str], int] = {}  # of the own records, to their place
        self.wait_count = self.detached_count = 0
        self.recovered = read(self.own)  # what the place held: an earlier life's, or one's that is just gone
        if self.own is not None:
            if self.own[:8] == MAGIC:
                _, self.wait_count, self.detached_count = HEAD.unpack_from(self.own)
            else:
                self.own[:] = bytes(SIZE)
            self.own[: HEAD.size] = HEAD.pack(MAGIC, self.wait_count, self.detached_count)
            for place, end, (destination, endpoint, _) in self.recovered:
                self.wait_ends[place], self.keys[destination, endpoint] = end, place

    def open(self, path: Path) -> None:
        file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            if os.fstat(file).st_size < SIZE:
                os.posix_fallocate(file, 0, SIZE)
            if self.own is None and free(file):
                self.own, self.lock = mmap.mmap(file, SIZE), os.dup(file)
            else:
                self.others.append(mmap.mmap(file, SIZE, access=mmap.ACCESS_READ))
        finally:
            os.close(file)

    def publish_retry_after(self, destination: int, endpoint: str, end: int) -> None:
        """A wait told to this process, until `end` on the wall's clock in microseconds."""
        if self.own is None:
            return
        place = self.keys.get((destination, endpoint))
        if place is None:
            place = self.wait_ends.index(min(self.wait_ends))
            self.keys = {key: at for key, at in self.keys.items() if at != place}
            self.keys[destination, endpoint] = place
        elif end <= self.wait_ends[place]:
            return
        self.wait_ends[place] = end
        id_ = endpoint.encode()
        id_ = id_ if len(id_) <= LONGEST else b""
        data = RECORD.pack(0, end, destination, len(id_), id_)[4:]
        at = HEAD.size + place * RECORD.size
        self.own[at : at + RECORD.size] = crc32(data).to_bytes(4, "little") + data
        self.wait_count += 1
        self.count()

    def publish_detached_change(self) -> None:
        """The file of holds was written by this process."""
        self.detached_count += 1
        self.count()

    def count(self) -> None:
        if self.own is not None:
            self.own[: HEAD.size] = HEAD.pack(MAGIC, self.wait_count, self.detached_count)

    def changed(self) -> bool:
        """Whether another process was told anything since the last `news`."""
        return bool(self.recovered) or any(
            other[COUNTERS] != seen for other, seen in zip(self.others, self.seen, strict=True)
        )

    def updates(self, now: int) -> tuple[list[Told], bool]:
        """Waits running that others were told since the last look, and whether holds may have changed."""
        records, self.recovered, holds = self.recovered, [], False
        for number, other in enumerate(self.others):
            counters = other[COUNTERS]  # before the records: one that comes meanwhile is seen the next time
            if counters != self.seen[number]:
                holds = holds or counters[8:] != self.seen[number][8:]
                self.seen[number] = counters
                records = records + read(other)
        return [told for _, end, told in records if end > now], holds

    def close(self) -> None:
        for held in (self.own, *self.others):
            if held is not None:
                held.close()
        if self.lock >= 0:
            os.close(self.lock)


def free(file: int) -> bool:
    """Whether no living process holds the place; it is this one's then. A copy of the descriptor keeps it."""
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return False
    return True


def read(board: mmap.mmap | None) -> list[tuple[int, int, Told]]:
    """The sound records of a board: place, end, and what was told. Nothing of a foreign one."""
    if board is None or board[:8] != MAGIC:
        return []
    found = []
    rows = RECORD.iter_unpack(board[HEAD.size : SIZE])
    for place, (check, end, destination, length, id_) in enumerate(rows):
        if end and check == crc32(RECORD.pack(0, end, destination, length, id_)[4:]):
            found.append((place, end, (destination, id_[:length].decode("utf-8", "replace"), end)))
    return found
