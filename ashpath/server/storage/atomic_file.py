"""Atomic replacement of small files: a reader sees the old content or the new content, never a part.

The files are not synced: data in the kernel's page cache survives a kill of the process.
"""

from __future__ import annotations

import os
from pathlib import Path


def replace_file(path: Path, content: bytes, temporary: Path) -> None:
    """Writes `temporary`, which no other process may write, and renames it to `path`.

    Raises OSError if the write or the rename fails: `path` is unchanged then, and `temporary` may be left.
    """
    temporary.write_bytes(content)
    os.replace(temporary, path)


def replace_shared_file(path: Path, content: bytes) -> None:
    """Replaces a file that both processes of a hot upgrade write; the temporary file has the process's id.

    Raises OSError if the write or the rename fails: `path` is unchanged then, and no temporary file is left.
    """
    temporary = path.with_name(f"{path.name}.{os.getpid()}")
    try:
        replace_file(path, content, temporary)
    finally:
        temporary.unlink(missing_ok=True)
