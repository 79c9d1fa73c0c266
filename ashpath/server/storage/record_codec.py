"""The write-ahead log's records: four types, and the only place that knows how they stand on disk.

A record on disk is its length (4 bytes, big endian), its CRC-32 (the same) and a payload: a line of JSON, a
line feed, and the message's body, which only the first kind of record has. The line is a list:

| type | name on disk | further fields |
| --- | --- | --- |
| `MessageSubmitted` | `taken` | all fields of the message but its body, see `_submitted_fields` |
| `AttemptStarted` | `shot` | message id, start in microseconds of the stored clock, endpoint |
| `AttemptFinished` | `outcome` | message id, whether it may have run |
| `MessageFinished` | `ended` | message id, the notice that is still owed or null |

A record that is not whole (a torn write) or whose checksum is wrong is passed over, with all up to the next
one that is whole; at the end of a log there is none. A record that
is whole and not one of these was written by another version: it is refused, as a log that is rewritten
without it would lose it.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, BinaryIO, ClassVar
from zlib import crc32

import orjson
from msgspec import Struct

from ashpath.server.storage.errors import ForeignRecordError
from ashpath.server.storage.stored_message import StoredMessage

HEADER_BYTES = 8  # length and checksum
RECORD_START = b'["'  # of a payload: its line is a list that begins with a name
MAX_RECORD_BYTES = 16 << 20  # guards memory against a length that was never written


# Not frozen: one is made for each record that is written, and a frozen one takes twice as long to make.
class MessageSubmitted(Struct):
    """A message was accepted; or, in a log that was rewritten, it is live and stood so at that time."""

    disk_name: ClassVar[str] = "taken"

    message: StoredMessage

    @property
    def message_id(self) -> int:
        """As the other records have it."""
        return self.message.message_id

    def encode(self) -> bytes:
        """The bytes on disk."""
        return encode_fields(_submitted_fields(self.message), self.message.body)


class AttemptStarted(Struct):
    """An attempt is about to be sent."""

    disk_name: ClassVar[str] = "shot"

    message_id: int
    at: int
    """Microseconds of the stored clock."""
    endpoint: str

    def encode(self) -> bytes:
        """The bytes on disk."""
        return encode_fields([self.disk_name, self.message_id, self.at, self.endpoint])


class AttemptFinished(Struct):
    """The attempt in flight has its outcome, and the message has no final state yet."""

    disk_name: ClassVar[str] = "outcome"

    message_id: int
    may_have_run: bool

    def encode(self) -> bytes:
        """The bytes on disk."""
        return encode_fields([self.disk_name, self.message_id, self.may_have_run])


class MessageFinished(Struct):
    """The message has its final state; with a notice it stays live until a second record without one."""

    disk_name: ClassVar[str] = "ended"

    message_id: int
    notice: str | None

    def encode(self) -> bytes:
        """The bytes on disk."""
        return encode_fields([self.disk_name, self.message_id, self.notice])


Record = MessageSubmitted | AttemptStarted | AttemptFinished | MessageFinished


def _submitted_fields(message: StoredMessage) -> list[Any]:
    return [
        MessageSubmitted.disk_name,
        message.message_id,
        message.trace_id,
        message.traffic_class,
        message.destination,
        message.ordering_key,
        message.idempotency_key,
        message.deadline,
        message.attempts,
        message.first_run_at,
        message.first_run_endpoint,
        message.in_flight_since,
        message.in_flight_endpoint,
        message.notice,
        message.finished,
    ]


def _submitted(fields: list[Any], body: bytes) -> MessageSubmitted:
    values = [*fields[1:8], body, *fields[8:]]  # the body stands behind the deadline
    return MessageSubmitted(StoredMessage(*values))


FIELD_COUNTS = {
    MessageSubmitted.disk_name: 15,
    AttemptStarted.disk_name: 4,
    AttemptFinished.disk_name: 3,
    MessageFinished.disk_name: 3,
}

FOLLOWING_RECORDS: dict[str, type[AttemptStarted | AttemptFinished | MessageFinished]] = {
    AttemptStarted.disk_name: AttemptStarted,
    AttemptFinished.disk_name: AttemptFinished,
    MessageFinished.disk_name: MessageFinished,
}


def encode_fields(fields: list[Any], body: bytes = b"") -> bytes:
    """A record on disk with this line of JSON, whether it is one of ours or not."""
    payload = orjson.dumps(fields) + b"\n" + body
    return len(payload).to_bytes(4, "big") + crc32(payload).to_bytes(4, "big") + payload


def _decode(line: bytes, body: bytes) -> Record | None:
    """None: whole, and not a record of this version."""
    try:
        fields = orjson.loads(line)
        if not isinstance(fields, list) or len(fields) != FIELD_COUNTS[fields[0]]:
            return None
    except (ValueError, LookupError, TypeError):
        return None
    if not isinstance(fields[1], int):
        return None
    if fields[0] == MessageSubmitted.disk_name:
        return _submitted(fields, body)
    return FOLLOWING_RECORDS[fields[0]](*fields[1:])


class RecordReader:
    """All whole records of a log with the bytes that each takes, in order.

    Raises ForeignRecordError. Once iterated, `fault` says what was wrong with the first record that is not
    whole, `valid_bytes` is the offset at which it stands (the end of the file, where there is none), and
    `skipped_bytes` counts what was passed over between records that are whole.
    """

    def __init__(self, file: BinaryIO) -> None:
        self.file = file
        self.offset = 0  # of the record that is read
        self.valid_bytes = 0
        self.skipped_bytes = 0
        self.fault = ""

    def __iter__(self) -> Iterator[tuple[Record, int]]:
        while header := self.file.read(HEADER_BYTES):
            payload = self._read_payload(header)
            if payload is None:
                if not self._skip_to_next_record():
                    return
                continue
            line, body = payload.split(b"\n", 1)
            record = _decode(line, body)
            if record is None:
                self._note_fault("foreign: not a record of this version")
                raise ForeignRecordError(self.offset, self.fault)
            size = HEADER_BYTES + len(payload)
            yield record, size
            self.offset += size
            if not self.fault:
                self.valid_bytes = self.offset

    def _read_payload(self, header: bytes) -> bytes | None:
        """None, and `fault` says why, where the record is not whole."""
        if len(header) < HEADER_BYTES:
            self._note_fault(f"torn: {len(header)} of {HEADER_BYTES} bytes")
            return None
        size = int.from_bytes(header[:4], "big")
        if size > MAX_RECORD_BYTES:
            self._note_fault(f"false: a record of {size} bytes")
            return None
        payload = self.file.read(size)
        if len(payload) < size:
            self._note_fault(f"torn: {HEADER_BYTES + len(payload)} of {HEADER_BYTES + size} bytes")
            return None
        if crc32(payload) != int.from_bytes(header[4:], "big") or b"\n" not in payload:
            self._note_fault("false: its checksum is not that of its bytes")
            return None
        return payload

    def _note_fault(self, fault: str) -> None:
        self.fault = self.fault or fault

    def _skip_to_next_record(self) -> bool:
        """Goes on to the next whole record behind the one that is not; False where there is none."""
        self.file.seek(self.offset)
        rest = self.file.read()
        found = find_record(rest)
        if not found:
            return False
        self.skipped_bytes += found
        self.offset += found
        self.file.seek(self.offset)
        return True


def find_record(data: bytes) -> int:
    """Where the first whole record stands behind a torn one at the start; 0 where there is none.

    A body may hold the bytes of a record. One from which whole records follow up to the end comes first.
    """
    first = 0
    at = data.find(RECORD_START, HEADER_BYTES + 1)
    while at >= 0:
        offset = at - HEADER_BYTES
        end = valid_records_end(data, offset)
        if end == len(data):
            return offset
        if end > offset:
            first = first or offset
        at = data.find(RECORD_START, at + 1)
    return first


def valid_records_end(data: bytes, offset: int) -> int:
    """The end of the last whole record of those that begin at the offset."""
    while offset < len(data):
        size = int.from_bytes(data[offset : offset + 4], "big")
        payload = data[offset + HEADER_BYTES : offset + HEADER_BYTES + size]
        checksum = int.from_bytes(data[offset + 4 : offset + HEADER_BYTES], "big")
        if len(payload) < max(size, 1) or crc32(payload) != checksum:
            return offset
        offset += HEADER_BYTES + size
    return offset
