"""The stored clock: the clock of times that outlive the process, unaffected by steps of the wall clock.

Within one boot of the machine the monotonic clock continues across restarts of a process and is never
stepped. Stored times are therefore monotonic times plus an offset, which is determined once per boot and
stored in the state directory: the difference to the wall clock when the first process of that boot started.
Stored times look like times of the wall clock, as those of earlier releases were, and a step of the wall
clock changes neither deadlines nor deduplication windows.

| the file `clock` | the offset |
| --- | --- |
| is of this boot | is read from the file |
| is of another boot, missing, or cannot be read | is computed from the wall clock, and written |
| cannot be written | is computed for this process alone, with a warning in the log |

After another boot only the wall clock tells how long the machine was off. The code that reads a stored time
then bounds it by the longest span it can have: a deadline by that of its traffic class.
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
    """The origin of this process's offset."""

    SAME_BOOT = "same boot"
    OTHER_BOOT = "other boot"
    NEW = "new"


class ClockOffset(Struct, frozen=True):
    """The offset of one boot."""

    boot: str
    """The kernel's id of the boot; empty if the kernel has none."""
    offset_us: int
    """Microseconds to add to the monotonic clock for a stored time."""
    computed_at_us: int
    """Time of the computation by the monotonic clock in microseconds; a process that reads an earlier time
    runs in another boot."""

    @classmethod
    def of_row(cls, row: list[object]) -> ClockOffset:
        """Returns the offset of one row of the file. Raises ValueError or TypeError if the row is invalid."""
        boot, offset_us, computed_at_us = row
        if not isinstance(offset_us, int) or not isinstance(computed_at_us, int):
            reason = "the offset or its time is not an integer"
            raise TypeError(reason)
        return cls(str(boot), offset_us, computed_at_us)

    def is_of_boot(self, boot: str) -> bool:
        """Whether the offset is of the current boot, whose id is `boot`."""
        return bool(boot) and boot == self.boot and timers.now() >= self.computed_at_us


def initialize_stored_clock(directory: Path, logger: Logger) -> ClockOrigin:
    """Sets the offset of this process, before any stored time is read, and returns its origin.

    Raises no error: without a usable file the offset comes from the wall clock.
    """
    file = VersionedFile(directory / FILE_NAME, version=VERSION, rows_name="boots", contents="clock")
    boot = boot_id()
    stored = read_offset(file)
    if stored is not None and stored.is_of_boot(boot):
        timers.set_stored_time_offset(stored.offset_us)
        return ClockOrigin.SAME_BOOT
    monotonic = timers.now()
    fresh = ClockOffset(boot, timers.wall_clock() - monotonic, monotonic)
    try:
        directory.mkdir(parents=True, exist_ok=True)
        replace_shared_file(file.path, file.encode([[boot, fresh.offset_us, fresh.computed_at_us]]))
    except OSError as error:
        logger.warning("clock not written", error=str(error))
    else:
        fresh = read_offset(file) or fresh  # the other process of a hot upgrade may have written its own
    timers.set_stored_time_offset(fresh.offset_us)
    return ClockOrigin.NEW if stored is None else ClockOrigin.OTHER_BOOT


def read_offset(file: VersionedFile) -> ClockOffset | None:
    """Returns the stored offset, or None if there is none or it cannot be read."""
    try:
        return ClockOffset.of_row(file.read_rows()[0])
    except (*READ_ERRORS, IndexError):
        return None


def boot_id() -> str:
    """Returns the kernel's id of the current boot, or an empty string if it cannot be read."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""
