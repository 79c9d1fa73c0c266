"""The mapped file in which each process of a sender tells the others of its descriptors.

| bytes | content |
| --- | --- |
| 0-7 | MAGIC; a file without it is written anew |
| 8-63 | unused |
| 64-575 | 8 slots of 64 bytes, each of seven unsigned integers, little endian, and 8 unused bytes |

| integer of a slot | content |
| --- | --- |
| 0 | the process id; 0: the slot is free |
| 1 | descriptors of the process's services |
| 2, 3 | connections held: to clients, to endpoints |
| 4, 5 | further connections wanted: to clients, to endpoints |
| 6 | 1 while the process drains |

A process writes its own slot alone. It raises what it holds while it has locked the table, so that no other
process does, and before it opens the descriptor; it lowers it after the descriptor is closed. So at any
instant the slots are no less than what is open, also where a process is killed between two writes. Each
process holds the lock of its slot for its lifetime: the slot of a process that has ended is free once its
lock is.

The layout is stored data: the processes of two releases read each other's slots in a hot upgrade.
"""

from __future__ import annotations

import fcntl
import mmap
import os
import struct
import time
from contextlib import suppress
from pathlib import Path

from ashpath.policy.descriptor_budget import DescriptorKind, ProcessDescriptors
from ashpath.server.storage.errors import NoDescriptorSlotError
from ashpath.server.storage.file_lock import FileLock, try_acquire

TABLE_FILE = "descriptors"
MAGIC = b"ashfds01"
HEADER_BYTES = 64
SLOT = struct.Struct("<7Q8x")
INTEGER = struct.Struct("<Q")
HELD_OFFSET = 2 * INTEGER.size  # in a slot
SLOTS = 8
FILE_BYTES = HEADER_BYTES + SLOTS * SLOT.size
FREE_SLOT = bytes(SLOT.size)
LOCK_ATTEMPTS = 20
LOCK_PAUSE_S = 0.0001  # between two attempts; the lock is held for some microseconds


class DescriptorTable:
    """The slots of one state directory. Raises OSError if the file cannot be opened or mapped, and
    NoDescriptorSlotError if other processes have all slots."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._file = os.open(directory / TABLE_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            if os.fstat(self._file).st_size < FILE_BYTES:
                os.posix_fallocate(self._file, 0, FILE_BYTES)
            self._memory = mmap.mmap(self._file, FILE_BYTES)
            if self._memory[: len(MAGIC)] != MAGIC:
                self._memory[:] = MAGIC + bytes(FILE_BYTES - len(MAGIC))
            self._slot, self._slot_lock = self._claim_slot()
        except OSError:
            os.close(self._file)
            raise
        self._other_slots = b""  # as last decoded
        self._others: tuple[ProcessDescriptors, ...] = ()

    def _claim_slot(self) -> tuple[int, FileLock]:
        for slot in range(SLOTS):
            lock = try_acquire(self._lock_path(slot))
            if lock is not None:
                return slot, lock
        raise NoDescriptorSlotError(self._directory)

    def _lock_path(self, slot: int) -> Path:
        return self._directory / f"{TABLE_FILE}-{slot}.lock"

    def lock(self) -> bool:
        """Locks the table until `unlock`. Returns False if it cannot be had, as from a stopped process."""
        for attempt in range(LOCK_ATTEMPTS):
            if attempt:
                time.sleep(LOCK_PAUSE_S)
            with suppress(OSError):
                fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return True
        return False

    def unlock(self) -> None:
        """Unlocks the table."""
        fcntl.flock(self._file, fcntl.LOCK_UN)

    def write_held(self, kind: DescriptorKind, held: int) -> None:
        """Replaces the connections of a kind in this process's slot."""
        offset = slot_offset(self._slot) + HELD_OFFSET + INTEGER.size * kind
        INTEGER.pack_into(self._memory, offset, held)

    def write(self, own: ProcessDescriptors) -> None:
        """Replaces this process's slot."""
        SLOT.pack_into(
            self._memory,
            slot_offset(self._slot),
            os.getpid(),
            own.services,
            *own.held,
            *own.wanted,
            own.draining,
        )

    def others(self) -> tuple[ProcessDescriptors, ...]:
        """Returns what the other processes have told."""
        begin = slot_offset(self._slot)
        slots = self._memory[HEADER_BYTES:begin] + self._memory[begin + SLOT.size : FILE_BYTES]
        if slots != self._other_slots:
            self._other_slots = slots
            rows = SLOT.iter_unpack(slots)
            self._others = tuple(decode_slot(row) for row in rows if row[0])
        return self._others

    def free_ended(self) -> None:
        """Frees the slots of processes that have ended."""
        for slot in range(SLOTS):
            begin = slot_offset(slot)
            if slot == self._slot or self._memory[begin : begin + SLOT.size] == FREE_SLOT:
                continue
            with suppress(OSError):  # the next call tries again
                lock = try_acquire(self._lock_path(slot))
                if lock is not None:
                    self._memory[begin : begin + SLOT.size] = FREE_SLOT
                    lock.release()

    def close(self) -> None:
        """Frees this process's slot."""
        begin = slot_offset(self._slot)
        self._memory[begin : begin + SLOT.size] = FREE_SLOT
        self._memory.close()
        os.close(self._file)
        self._slot_lock.release()


def slot_offset(slot: int) -> int:
    """Returns the position of a slot in the file."""
    return HEADER_BYTES + slot * SLOT.size


def decode_slot(row: tuple[int, ...]) -> ProcessDescriptors:
    """Returns what the integers of a slot tell."""
    _, services, clients, endpoints, clients_wanted, endpoints_wanted, draining = row
    return ProcessDescriptors(
        services, (clients, endpoints), (clients_wanted, endpoints_wanted), bool(draining)
    )
