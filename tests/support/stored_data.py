"""Data that the code of 2026-12-02 stored on disk, under `tests/fixtures/stored_data`.

`platform` is the state directory of a sender on the platform, with the log of a process that ended after a
hot upgrade; `standalone` is that of a sender with its own configuration file, `sender.toml`; `torn` is a log
whose last record was cut off. The data must not be regenerated: a release reads the data that the former
release left on disk.
"""

from __future__ import annotations

import shutil
from pathlib import Path

STORED = Path(__file__).parent.parent / "fixtures" / "stored_data"
MAX_LOG_BYTES = 1 << 20
FUTURE = 4_102_444_800_000_000  # 2100-01-01T00:00:00Z in microseconds; deadlines, and ends of Retry-After
PAST = 1_577_836_800_000_000  # 2020-01-01T00:00:00Z in microseconds; attempts in the past


def copy_of(name: str, folder: Path) -> Path:
    """Copies one stored directory to `folder` and returns the copy, so that no test changes the original."""
    copied = folder / name
    shutil.copytree(STORED / name, copied)
    return copied
