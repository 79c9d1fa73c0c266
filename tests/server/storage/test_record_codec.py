"""Invalid records in a log: the reader reports the first fault and reads the valid records after it."""

from __future__ import annotations

from pathlib import Path

import pytest

from ashpath.server.storage.errors import ForeignRecordError
from ashpath.server.storage.record_codec import MessageFinished, MessageSubmitted, RecordReader, encode_fields
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog

RECORDS = [
    MessageSubmitted(StoredMessage(n, f"t{n}", 0, 1, None, None, 1, b"x" * (n % 7))).encode()
    for n in range(40)
]
DATA = b"".join(RECORDS)
RECORD_ENDS = [sum(map(len, RECORDS[:n])) for n in range(len(RECORDS) + 1)]  # offsets, from 0 on


def read(path: Path) -> tuple[int, RecordReader]:
    """Returns the number of valid records, and the reader."""
    with path.open("rb") as file:
        reader = RecordReader(file)
        return len(list(reader)), reader


def test_truncated_log_is_read_up_to_last_whole_record(tmp_path: Path) -> None:
    """The log is cut at each byte in turn; the reader reports the offset of the torn record."""
    path = tmp_path / "journal"
    for cut in range(len(DATA)):
        path.write_bytes(DATA[:cut])
        count, reader = read(path)
        whole = max(end for end in RECORD_ENDS if end <= cut)
        assert reader.valid_bytes == whole
        assert count == RECORD_ENDS.index(whole)
        assert bool(reader.fault) == (cut != whole)


@pytest.mark.parametrize(("offset", "byte"), [(3, b"\xff"), (6, b"\x00"), (12, b"~")])
def test_corrupt_record_is_reported_and_skipped(tmp_path: Path, offset: int, byte: bytes) -> None:
    """A byte is wrong in the length, the checksum or the line of JSON; the records after it are read."""
    at = RECORD_ENDS[9] + offset
    (tmp_path / "journal").write_bytes(DATA[:at] + byte + DATA[at + 1 :])
    count, reader = read(tmp_path / "journal")
    assert count == len(RECORD_ENDS) - 2
    assert reader.valid_bytes == RECORD_ENDS[9]
    assert reader.skipped_bytes == RECORD_ENDS[10] - RECORD_ENDS[9]
    assert reader.fault


def test_records_after_torn_record_are_read(tmp_path: Path) -> None:
    """A short write left a torn record, and other records were appended after it."""
    path = tmp_path / "journal"
    for cut in range(RECORD_ENDS[4] + 1, RECORD_ENDS[5]):
        path.write_bytes(DATA[:cut] + DATA[RECORD_ENDS[5] :])
        count, reader = read(path)
        assert count == len(RECORD_ENDS) - 2, cut
        assert reader.skipped_bytes == cut - RECORD_ENDS[4]


def test_record_bytes_in_body_of_torn_record_are_not_read(tmp_path: Path) -> None:
    """A client could otherwise forge a record, by a body with its bytes in a message whose write is torn."""
    forged = MessageFinished(1, None).encode()
    torn = MessageSubmitted(StoredMessage(9, "t9", 0, 1, None, None, 7, forged + b"rest")).encode()
    path = tmp_path / "journal"
    path.write_bytes(DATA[: RECORD_ENDS[1]] + torn[:-2] + DATA[RECORD_ENDS[1] :])
    count, _ = read(path)
    assert count == len(RECORD_ENDS) - 1


def test_a_log_of_another_version_is_refused_and_kept(tmp_path: Path) -> None:
    (tmp_path / "journal").write_bytes(DATA + encode_fields(["of another version", 1, 2]))
    with pytest.raises(ForeignRecordError):
        WriteAheadLog(tmp_path, 1 << 20)
    assert (tmp_path / "journal").read_bytes().startswith(DATA)
