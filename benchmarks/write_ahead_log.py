"""Checks that `ashpath ledger verify` reports the right byte for a write-ahead log truncated at random bytes.

    .venv/bin/python -m benchmarks.write_ahead_log [RECORDS] [CUTS]

Counts the truncated logs whose report was wrong, and times each report.
"""

from __future__ import annotations

import sys
import tempfile
import time
from bisect import bisect_right
from dataclasses import dataclass
from itertools import accumulate
from pathlib import Path
from random import Random
from statistics import median

from ashpath.server.storage.log_report import log_path, read_log
from ashpath.server.storage.record_codec import (
    AttemptFinished,
    AttemptStarted,
    MessageFinished,
    MessageSubmitted,
    Record,
)
from ashpath.server.storage.stored_message import StoredMessage
from benchmarks.figure_storage import store_figures

RECORDS = 100_000
CUTS = 200
RECORDS_PER_MESSAGE = 4
MAX_BODY_BYTES = 90
DESTINATIONS = 50
FUTURE_US = 10**18


@dataclass(frozen=True, slots=True)
class CutReport:
    """The result for one truncated log."""

    is_right: bool
    seconds: float


def encoded_records(count: int, random: Random) -> list[bytes]:
    """Returns about `count` records, of messages that were submitted, sent and finished."""
    encoded: list[bytes] = []
    for number in range(count // RECORDS_PER_MESSAGE):
        body = random.randbytes(number % MAX_BODY_BYTES)
        message = StoredMessage(number, f"t{number:x}", 0, number % DESTINATIONS, None, None, FUTURE_US, body)
        records: tuple[Record, ...] = (
            MessageSubmitted(message),
            AttemptStarted(number, 10**15, "e1"),
            AttemptFinished(number, may_have_run=True),
            MessageFinished(number, None),
        )
        encoded += [record.encode() for record in records]
    return encoded


def report_of_cut(folder: Path, data: bytes, ends: list[int], cut: int) -> CutReport:
    """Reads the log truncated at a byte. `ends` are the end offsets of its records, and 0."""
    (folder / "journal").write_bytes(data[:cut])
    began = time.perf_counter()
    found = read_log(log_path(folder))
    took = time.perf_counter() - began
    valid_bytes = ends[bisect_right(ends, cut) - 1]
    is_right = found.valid_bytes == valid_bytes and bool(found.fault) == (cut != valid_bytes)
    return CutReport(is_right, took)


def main() -> None:
    """Measures and stores the figures."""
    records = int(sys.argv[1]) if len(sys.argv) > 1 else RECORDS
    cuts = int(sys.argv[2]) if len(sys.argv) > 2 else CUTS
    random = Random(1)
    encoded = encoded_records(records, random)
    data = b"".join(encoded)
    ends = [0, *accumulate(len(record) for record in encoded)]
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        reports = [report_of_cut(folder, data, ends, random.randrange(len(data))) for _ in range(cuts)]
    figures = {
        "records": len(encoded),
        "bytes": len(data),
        "cuts": cuts,
        "wrong": sum(not report.is_right for report in reports),
        "median_ms": round(1000 * median(report.seconds for report in reports)),
        "most_ms": round(1000 * max(report.seconds for report in reports)),
    }
    store_figures("ledger", f"python -m benchmarks.write_ahead_log {records} {cuts}", figures)


if __name__ == "__main__":
    main()
