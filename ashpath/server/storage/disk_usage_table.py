"""The mapped file in which each process of a sender tells what its log takes of the disk limit."""

from __future__ import annotations

import mmap
import os
from pathlib import Path

from msgspec import Struct

from ashpath.server.storage.disk_usage_layout import (
    FILE_BYTES,
    HEADER_BYTES,
    LAST_MESSAGE_ID,
    LAST_MESSAGE_ID_OFFSET,
    MAGIC,
    SLOT,
    LogUsage,
    slot_offset,
)

USAGE_FILE = "disk-usage"


class OtherUsage(Struct, frozen=True):
    """What the logs of all other processes take, in bytes."""

    exists: bool = False
    """Whether another log has a slot: that of a living process, or one to be adopted."""
    used: int = 0
    """All logs and copies."""
    largest_owed: int = 0
    """The largest copy of live messages."""
    all_owed: int = 0
    """All copies of live messages."""


class DiskUsageTable:
    """The slots of one state directory. Raises OSError if the file cannot be opened or mapped."""

    def __init__(self, directory: Path) -> None:
        descriptor = os.open(directory / USAGE_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            if os.fstat(descriptor).st_size < FILE_BYTES:
                os.posix_fallocate(descriptor, 0, FILE_BYTES)
            self._memory = mmap.mmap(descriptor, FILE_BYTES)
        finally:
            os.close(descriptor)
        if self._memory[: len(MAGIC)] != MAGIC:
            self._memory[:] = MAGIC + bytes(FILE_BYTES - len(MAGIC))
        self._others_bytes = b""  # the slots of the others as they were last read
        self._others = OtherUsage()

    def slots(self) -> list[tuple[int, LogUsage]]:
        """Returns the number and the usage of the log of each slot; the number 0 for a free slot."""
        rows = SLOT.iter_unpack(self._memory[HEADER_BYTES:FILE_BYTES])
        return [(number, LogUsage(log, copy, owed)) for number, log, copy, owed in rows]

    def write(self, slot: int, number: int, usage: LogUsage) -> None:
        """Replaces one slot."""
        SLOT.pack_into(self._memory, slot_offset(slot), number, usage.log, usage.copy, usage.owed)

    @property
    def last_message_id(self) -> int:
        """The highest message id that a process of the sender has assigned."""
        last_id: int = LAST_MESSAGE_ID.unpack_from(self._memory, LAST_MESSAGE_ID_OFFSET)[0]
        return last_id

    @last_message_id.setter
    def last_message_id(self, message_id: int) -> None:
        LAST_MESSAGE_ID.pack_into(self._memory, LAST_MESSAGE_ID_OFFSET, message_id)

    def others(self, own_slot: int) -> OtherUsage:
        """Returns what all slots but one have."""
        own = slot_offset(own_slot)
        rows = self._memory[HEADER_BYTES:own] + self._memory[own + SLOT.size : FILE_BYTES]
        if rows != self._others_bytes:
            self._others_bytes = rows
            used = [row for row in SLOT.iter_unpack(rows) if row[0]]
            self._others = OtherUsage(
                exists=bool(used),
                used=sum(log + copy for _, log, copy, _ in used),
                largest_owed=max((owed for *_, owed in used), default=0),
                all_owed=sum(owed for *_, owed in used),
            )
        return self._others

    def close(self) -> None:
        """Unmaps the file; the slots stay."""
        self._memory.close()
