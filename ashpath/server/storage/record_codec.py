"""The four record types of the write-ahead log, and their format on disk, which only this module knows.

A record on disk is the length of its payload (4 bytes, big endian), the payload's CRC-32 (4 bytes, big
endian) and the payload: a line of JSON, a line feed, and the message's body, which only `MessageSubmitted`
has. The line is a list:

| type | name on disk | further fields |
| --- | --- | --- |
| `MessageSubmitted` | `taken` | all stored fields of the message except its body, see `_submitted_fields` |
| `AttemptStarted` | `shot` | message id, start in microseconds of the stored clock, endpoint |
| `AttemptFinished` | `outcome` | message id, whether it may have run |
| `MessageFinished` | `ended` | message id, the notice that is still to be delivered or null |

A reader skips a record that is incomplete (a torn write) or has a wrong checksum, with all bytes up to the
next valid record; at the end of a log no valid record follows. A valid record of none of the four types was
written by another version: the reader refuses it, since a rewrite of the log would lose it.
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
RECORD_START = b'["'  # the first bytes of a payload, whose line is a list that begins with a name
MAX_RECORD_BYTES = 16 << 20  # bounds the memory that a corrupt length would make the reader allocate


# The record classes are not frozen: an instance is created for each record that is written, and creating a
# frozen instance takes twice as long.
class MessageSubmitted(Struct):
    """A message was accepted; in a rewritten log, the state of a live message at the time of the rewrite."""

    disk_name: ClassVar[str] = "taken"

    message: StoredMessage

    @property
    def message_id(self) -> int:
        """The message's id, under the same name as in the other records."""
        return self.message.message_id

    def encode(self) -> bytes:
        """The bytes on disk."""
        return encode_fields(_submitted_fields(self.message), self.message.body)


class AttemptStarted(Struct):
    """An attempt is about to be sent to an endpoint."""

    disk_name: ClassVar[str] = "shot"

    message_id: int
    at: int
    """Start in microseconds of the stored clock."""
    endpoint: str

    def encode(self) -> bytes:
        """The bytes on disk."""
        return encode_fields([self.disk_name, self.message_id, self.at, self.endpoint])


class AttemptFinished(Struct):
    """The attempt in flight has ended, and the message has no final state yet."""

    disk_name: ClassVar[str] = "outcome"

    message_id: int
    may_have_run: bool

    def encode(self) -> bytes:
        """The bytes on disk."""
        return encode_fields([self.disk_name, self.message_id, self.may_have_run])


class MessageFinished(Struct):
    """The message has its final state; with a notice it stays live until a second record without a notice."""

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
    values = [*fields[1:8], body, *fields[8:]]  # the body follows the deadline
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
    """Returns the bytes on disk of a record with these fields, which need not be those of a known type."""
    payload = orjson.dumps(fields) + b"\n" + body
    return len(payload).to_bytes(4, "big") + crc32(payload).to_bytes(4, "big") + payload


def _decode(line: bytes, body: bytes) -> Record | None:
    """Returns the record, or None if it is not a record of this version."""
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
    """Iterates over the valid records of a log in order, each with its size on disk in bytes.

    Raises ForeignRecordError at a valid record of another version. After the iteration, `fault` describes
    the first record that is not valid, `valid_bytes` is the offset of that record (the end of the file if all
    records are valid), and `skipped_bytes` counts the bytes that were skipped between valid records.
    """

    def __init__(self, file: BinaryIO) -> None:
        self.file = file
        self.offset = 0  # of the current record
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
        """Returns the payload; notes a fault and returns None if the record is not valid."""
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
        """Moves to the next valid record after an invalid one; returns False if none follows."""
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
    """Returns the offset of the first valid record after a torn record at the start of `data`, or 0.

    The body of the torn record may contain the bytes of a record, so an offset from which valid records
    follow up to the end of `data` takes precedence over an earlier one.
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
    """Returns the end of the last of the consecutive valid records that begin at the offset."""
    while offset < len(data):
        size = int.from_bytes(data[offset : offset + 4], "big")
        payload = data[offset + HEADER_BYTES : offset + HEADER_BYTES + size]
        checksum = int.from_bytes(data[offset + 4 : offset + HEADER_BYTES], "big")
        if len(payload) < max(size, 1) or crc32(payload) != checksum:
            return offset
        offset += HEADER_BYTES + size
    return offset
