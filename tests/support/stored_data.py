"""Data that the code of 2026-12-02 stored on disk, under `tests/fixtures/stored_data`.

`platform` is the state directory of a sender on the platform, and of a process that is gone after a hot
upgrade; `standalone` that of a sender with its own file, `sender.toml`; `torn` a log whose last record was
cut off. The data must not be written anew: what a former release left on disk is read by the next one.
"""

from __future__ import annotations

import shutil
from pathlib import Path

STORED = Path(__file__).parent.parent / "fixtures" / "stored_data"
MAX_LOG_BYTES = 1 << 20  # bytes that a log may take
FUTURE = 4_102_444_800_000_000  # 2100-01-01T00:00:00Z in microseconds: deadlines and ends of Retry-After
PAST = 1_577_836_800_000_000  # 2020-01-01T00:00:00Z: attempts that were made


def copy_of(name: str, folder: Path) -> Path:
    """Every test works on a copy."""
    copied = folder / name
    shutil.copytree(STORED / name, copied)
    return copied
