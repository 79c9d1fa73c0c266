"""Atomic replacement of small files: a reader sees the old content or the new content, never a part.

The files are not synced: data in the kernel's page cache survives a kill of the process.

Files that both processes of a hot upgrade write are replaced under the lock of the directory: at any moment
one of them has a temporary file, which counts against the limit of the disk. The next replacement overwrites
one that a kill has left.
"""

from __future__ import annotations

import os
import re
from contextlib import suppress
from pathlib import Path

from ashpath.server.storage.directory_lock import DirectoryLock

TEMPORARY_FILE = "replacement.new"
EARLIER_TEMPORARY = re.compile(r"(clock|outages|held-endpoints)\.([0-9]+)")  # the number of its process


def replace_file(path: Path, content: bytes, temporary: Path) -> None:
    """Writes `temporary`, which no other process may write, and renames it to `path`.

    Raises OSError if the write or the rename fails: `path` is unchanged then, and `temporary` may be left.
    """
    temporary.write_bytes(content)
    os.replace(temporary, path)


def replace_shared_file(path: Path, content: bytes) -> None:
    """Replaces a file that both processes of a hot upgrade write.

    Raises OSError if the lock of the directory is not to be had, or if the write or the rename fails: `path`
    is unchanged then, and no temporary file is left.
    """
    lock = DirectoryLock(path.parent)
    temporary = path.with_name(TEMPORARY_FILE)
    try:
        with lock:
            try:
                replace_file(path, content, temporary)
            finally:
                temporary.unlink(missing_ok=True)
    finally:
        lock.close()


def remove_earlier_temporaries(directory: Path) -> None:
    """Removes the temporary files, one for each process, that killed ones of earlier releases have left."""
    with suppress(OSError):
        for path in directory.iterdir():
            found = EARLIER_TEMPORARY.fullmatch(path.name)
            if found and not is_running(int(found[2])):
                path.unlink(missing_ok=True)


def is_running(process_id: int) -> bool:
    """Returns whether a process of this id may be running."""
    try:
        os.kill(process_id, 0)
    except ProcessLookupError:
        return False
    except OSError:
        return True
    return True
