"""Layout of the memory that processes of a hot upgrade share: a header, and records of Retry-After notices.

| bytes of the header | content |
| --- | --- |
| 0-7 | MAGIC; memory without it is foreign and counts as having no records |
| 8-15 | number of notices published, little endian |
| 16-23 | number of changes of the detached endpoints that this process made, little endian |
| 24-63 | unused |

| bytes of a record | content |
| --- | --- |
| 0-3 | CRC-32 of the rest; a record with a wrong one, such as a torn record, is ignored |
| 4-11 | end of the notice in microseconds of the stored clock; 0: the record was never used |
| 12-19 | destination |
| 20 | length of the endpoint's id in bytes |
| 21-63 | the id in UTF-8; empty: the notice applies to the whole destination |

The layout is stored data: the processes of two releases read each other's memory in a hot upgrade.
"""

from __future__ import annotations

import struct
from mmap import mmap
from typing import NamedTuple
from zlib import crc32

from msgspec import Struct

MAGIC = b"ashbrd01"
HEADER = struct.Struct("<8sQQ40x")
RECORD = struct.Struct("<IqqB43s")
CHECKSUM_BYTES = 4
MAX_NOTICES = 255
MAX_ENDPOINT_BYTES = 43
FILE_BYTES = HEADER.size + MAX_NOTICES * RECORD.size
COUNTERS = slice(8, 24)
DETACHED_COUNTER = slice(8, 16)  # within the counters


class RetryAfterNotice(Struct, frozen=True):
    """An endpoint, or a whole destination, asked to receive no attempts until a time."""

    destination: int
    endpoint: str
    """Endpoint id; empty for the whole destination."""
    end: int
    """End of the notice in microseconds of the stored clock."""


class Counters(NamedTuple):
    """The counters by which another process detects that updates were published."""

    notices: int
    detached_changes: int


def record_slice(index: int) -> slice:
    """Returns the position of a record in the memory."""
    start = HEADER.size + index * RECORD.size
    return slice(start, start + RECORD.size)


def encode_header(counters: Counters) -> bytes:
    """Returns the bytes of the header."""
    return HEADER.pack(MAGIC, counters.notices, counters.detached_changes)


def encode_notice(notice: RetryAfterNotice) -> bytes:
    """Returns the bytes of one record. An endpoint id that is too long is left out: the notice then applies
    to the whole destination."""
    endpoint = notice.endpoint.encode()
    if len(endpoint) > MAX_ENDPOINT_BYTES:
        endpoint = b""
    fields = RECORD.pack(0, notice.end, notice.destination, len(endpoint), endpoint)[CHECKSUM_BYTES:]
    return crc32(fields).to_bytes(CHECKSUM_BYTES, "little") + fields


def has_magic(memory: mmap) -> bool:
    """Whether a process of a sender has initialized the memory."""
    return memory[: len(MAGIC)] == MAGIC


def read_counters(memory: mmap) -> Counters:
    """Returns the counters of memory that has the magic number."""
    _, notices, detached_changes = HEADER.unpack_from(memory)
    return Counters(notices, detached_changes)


def read_notices(memory: mmap) -> dict[int, RetryAfterNotice]:
    """Returns the notices with a valid checksum by index; none from memory without the magic number."""
    if not has_magic(memory):
        return {}
    notices_by_index = {}
    rows = RECORD.iter_unpack(memory[HEADER.size : FILE_BYTES])
    for index, (checksum, end, destination, length, endpoint) in enumerate(rows):
        fields = RECORD.pack(0, end, destination, length, endpoint)[CHECKSUM_BYTES:]
        if end and checksum == crc32(fields):
            endpoint_id = endpoint[:length].decode("utf-8", "replace")
            notices_by_index[index] = RetryAfterNotice(destination, endpoint_id, end)
    return notices_by_index
