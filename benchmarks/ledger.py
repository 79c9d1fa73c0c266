"""Whether `ashpath ledger verify` names the right byte, over a ledger of many records cut anywhere.

.venv/bin/python -m benchmarks.ledger [RECORDS] [CUTS]
"""

from __future__ import annotations

import sys
import tempfile
import time
from bisect import bisect_right
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
from benchmarks.kept import keep


def main() -> None:
    records = int(sys.argv[1]) if len(sys.argv) > 1 else 100_000
    cuts = int(sys.argv[2]) if len(sys.argv) > 2 else 200
    chance, ends, parts, size = Random(1), [0], [], 0
    for number in range(records // 4):
        body = chance.randbytes(number % 90)
        entry = StoredMessage(number, f"t{number:x}", 0, number % 50, None, None, 10**18, body)
        later: tuple[Record, ...] = (
            MessageSubmitted(entry),
            AttemptStarted(number, 10**15, "e1"),
            AttemptFinished(number, may_have_run=True),
            MessageFinished(number, None),
        )
        for part in (record.encode() for record in later):
            parts.append(part)
            size += len(part)
            ends.append(size)
    data, wrong, times = b"".join(parts), 0, []
    with tempfile.TemporaryDirectory() as made:
        journal = Path(made) / "journal"
        for _ in range(cuts):
            cut = chance.randrange(size)
            journal.write_bytes(data[:cut])
            began = time.perf_counter()
            found = read_log(log_path(Path(made)))
            times.append(time.perf_counter() - began)
            whole = ends[bisect_right(ends, cut) - 1]
            wrong += found.sound_bytes != whole or bool(found.fault) != (cut != whole)
    figures = {"records": len(parts), "bytes": size, "cuts": cuts, "wrong": wrong}
    figures |= {"median_ms": round(1000 * median(times)), "most_ms": round(1000 * max(times))}
    keep("ledger", f"python -m benchmarks.ledger {records} {cuts}", figures)


if __name__ == "__main__":
    main()
