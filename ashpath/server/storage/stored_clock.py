"""The clock of times that outlive the process: spans of real time, whatever is done to the wall clock.

Within one boot of the machine the monotonic clock runs on over restarts of a process, and nobody steps it. So
stored times are monotonic ones, moved by an offset that is settled once for each boot and kept in the state
directory: the difference to the wall clock as the first process of that boot started. They read like times of
the wall clock, as those of earlier releases were, and a step of it changes neither deadline nor window.

| the file `clock` | the offset |
| --- | --- |
| is of this boot | as it says |
| is of another boot, missing, or cannot be read | taken anew from the wall clock, and written |
| cannot be written | taken anew, for this process alone; said in the log |

On another boot only the wall clock is left to tell how long the machine was off. Times read there are bounded
by whoever knows their span: a deadline by that of its traffic class.
"""

from __future__ import annotations

from enum import Enum
from pathlib import Path

from msgspec import Struct

from ashpath.server import timers
from ashpath.server.logs import Logger
from ashpath.server.storage.atomic_file import replace_shared_file
from ashpath.server.storage.versioned_file import READ_ERRORS, VersionedFile

FILE_NAME = "clock"
VERSION = 1
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


class ClockOrigin(Enum):
    """Where the offset is from."""

    SAME_BOOT = "same boot"
    OTHER_BOOT = "other boot"
    NEW = "new"


class ClockOffset(Struct, frozen=True):
    """One boot's."""

    boot: str
    """The kernel's id of the boot; empty where it has none."""
    offset_us: int
    """Microseconds from the monotonic clock to stored times."""
    settled_at_us: int
    """Microseconds of the monotonic clock: a process that reads an earlier time is of another boot."""

    @classmethod
    def of_row(cls, row: list[object]) -> ClockOffset:
        """As the file has it. Raises ValueError, TypeError."""
        boot, offset_us, settled_at_us = row
        if not isinstance(offset_us, int) or not isinstance(settled_at_us, int):
            reason = "an offset that is no whole number"
            raise TypeError(reason)
        return cls(str(boot), offset_us, settled_at_us)

    def is_of_boot(self, boot: str) -> bool:
        """Whether the machine has not been started since."""
        return bool(boot) and boot == self.boot and timers.now() >= self.settled_at_us


def settle_stored_clock(directory: Path, logger: Logger) -> ClockOrigin:
    """Settles the offset of this process before it reads a stored time. Raises nothing."""
    file = VersionedFile(directory / FILE_NAME, version=VERSION, rows_name="boots", contents="clock")
    boot = boot_id()
    stored = read_offset(file)
    if stored is not None and stored.is_of_boot(boot):
        timers.settle_offset(stored.offset_us)
        return ClockOrigin.SAME_BOOT
    monotonic = timers.now()
    fresh = ClockOffset(boot, timers.wall_clock() - monotonic, monotonic)
    try:
        directory.mkdir(parents=True, exist_ok=True)
        replace_shared_file(file.path, file.encode([[boot, fresh.offset_us, fresh.settled_at_us]]))
    except OSError as error:
        logger.warning("clock not written", error=str(error))
    else:
        fresh = read_offset(file) or fresh  # the other process of a hot upgrade may have settled it just now
    timers.settle_offset(fresh.offset_us)
    return ClockOrigin.NEW if stored is None else ClockOrigin.OTHER_BOOT


def read_offset(file: VersionedFile) -> ClockOffset | None:
    """None where there is none that can be read."""
    try:
        return ClockOffset.of_row(file.read_rows()[0])
    except (*READ_ERRORS, IndexError):
        return None


def boot_id() -> str:
    """Empty where the kernel tells none."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""
