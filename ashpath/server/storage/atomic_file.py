"""Small files that are replaced as a whole: who reads one sees the old content or the new, never a part.

Nothing is synced: what the kernel has survives a kill of the process.
"""

from __future__ import annotations

import os
from pathlib import Path


def replace_file(path: Path, content: bytes, temporary: Path) -> None:
    """Writes `temporary`, which no other process may write, and renames it over `path`.

    Raises OSError: `path` is then as it was, and `temporary` may be left.
    """
    temporary.write_bytes(content)
    os.replace(temporary, path)


def replace_shared_file(path: Path, content: bytes) -> None:
    """The same for a file that two processes of a hot upgrade write: the temporary one has this process's id.

    Raises OSError: `path` is then as it was, and nothing else is left.
    """
    temporary = path.with_name(f"{path.name}.{os.getpid()}")
    try:
        replace_file(path, content, temporary)
    finally:
        temporary.unlink(missing_ok=True)
