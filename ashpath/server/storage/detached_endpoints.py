"""The operators' holds on endpoints, kept in the state folder so that they outlive a hot upgrade and a kill.

One file, `held-endpoints`: JSON, `{"version": 1, "held": [ids]}`. Written whole beside itself under a name
of this process (`held-endpoints.PID`) and renamed over: a reader sees the old file or the new, never a torn
one, and two processes never write the same file. What cannot be read is taken for no holds, with one line
in the log. The decision of what a hold does is the module's (`Sender.hold`); this only keeps the ids.
"""

from __future__ import annotations

import fcntl
import os
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

NAME = "held-endpoints"
VERSION = 1
MOST = 4096  # ids kept
TRIES = 50  # at the lock, a millisecond apart


def read(folder: Path, log: Any) -> set[str]:
    """The ids held when the file was last written; an empty set where there is none or it is unreadable."""
    path = folder / NAME
    try:
        told = orjson.loads(path.read_bytes())
        if told["version"] != VERSION or not all(isinstance(one, str) for one in told["held"]):
            raise ValueError("not a file of holds of this version")
        return set(told["held"][:MOST])
    except FileNotFoundError:
        return set()
    except (OSError, ValueError, KeyError, TypeError) as error:
        log.error("detached endpoints not read, none are detached", file=str(path), error=str(error))
        return set()


def change(folder: Path, endpoint: str, out: bool, log: Any) -> None:
    """One more hold, or one fewer, in what the file says by now: the other process of a hot upgrade may have
    written it. Raises OSError where it cannot be: the caller answers ERR, and the hold is not made."""
    lock = os.open(folder / f"{NAME}.lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        for tried in range(TRIES):
            with suppress(BlockingIOError):
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                held = read(folder, log)
                if out and len(held) >= MOST:
                    raise OSError(f"{MOST} endpoints are held already")
                return write(folder, held | {endpoint} if out else held - {endpoint})
            time.sleep(0.001 * (tried < TRIES - 1))  # the other has it for one small write
        raise OSError("another process is writing it")
    finally:
        os.close(lock)


def write(folder: Path, held: set[str]) -> None:
    """Raises OSError."""
    fresh = folder / f"{NAME}.{os.getpid()}"
    try:
        fresh.write_bytes(orjson.dumps({"version": VERSION, "held": sorted(held)}))
        os.replace(fresh, folder / NAME)
    finally:
        fresh.unlink(missing_ok=True)
