"""Layout of the file `disk-usage`: what each process of a sender uses of the state directory's disk limit,
and the highest message id of all.

| bytes | content |
| --- | --- |
| 0-7 | MAGIC; a file without it is written anew |
| 8-15 | the highest message id that a process has assigned, little endian; 0 from an earlier release |
| 16-31 | unused |
| 32-511 | 15 slots of 32 bytes, each of four unsigned integers, little endian |

| integer of a slot | content |
| --- | --- |
| 0 | the log: 0 for a free slot, 1 for `journal`, the process id plus 1 for `journal-PID` |
| 1 | bytes of disk that the log takes |
| 2 | bytes of disk that its incomplete copy takes |
| 3 | most bytes that a copy of its live messages takes |

The layout is stored data: the processes of two releases read each other's slots in a hot upgrade.
"""

from __future__ import annotations

import struct

from msgspec import Struct

MAGIC = b"ashdsk01"
HEADER_BYTES = 32
LAST_MESSAGE_ID = struct.Struct("<Q")
LAST_MESSAGE_ID_OFFSET = len(MAGIC)
SLOTS = 15
SLOT = struct.Struct("<QQQQ")
TABLE = struct.Struct(f"<{4 * SLOTS}Q")
FILE_BYTES = HEADER_BYTES + TABLE.size


class LogUsage(Struct, frozen=True):
    """What the log of one process takes of the disk, in bytes."""

    log: int
    """Bytes of the log, in whole blocks."""
    copy: int
    """Bytes of its incomplete copy, in whole blocks."""
    owed: int
    """Most bytes that a copy of the live messages takes."""


def slot_offset(slot: int) -> int:
    """Returns the position of a slot in the file."""
    return HEADER_BYTES + slot * SLOT.size
