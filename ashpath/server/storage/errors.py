"""Errors of stored data: what was on disk before one is raised is there after it."""

from __future__ import annotations

from pathlib import Path
from typing import ClassVar


class StorageError(Exception):
    """`reported_as` is the kind of error in the line that a failed start prints: operators know that line."""

    reported_as: ClassVar[str]


class StateDirectoryError(Exception):
    """The state directory cannot be used by this sender; the message says why."""

    @classmethod
    def of_directory(cls, path: Path, reason: str | None) -> StateDirectoryError:
        """The directory as a whole."""
        return cls(f"state folder {path}: {reason}")

    @classmethod
    def of_file(cls, path: Path, reason: object) -> StateDirectoryError:
        """One file in it."""
        return cls(f"{path}: {reason}")


class ForeignRecordError(StorageError, ValueError):
    """A record of a log whose checksum is right and whose fields are not ours: another version wrote it."""

    reported_as = "ForeignRecordError"

    def __init__(self, offset: int, fault: str) -> None:
        super().__init__(f"byte {offset}: {fault}")


class LogLockedError(StorageError, OSError):
    """A living process holds the lock of the log that is named after this process."""

    reported_as = "OSError"

    def __init__(self, directory: Path, process_id: int) -> None:
        super().__init__(f"{directory}: the journal of process {process_id} is locked by another")


class TrafficClassIdsError(StorageError, ValueError):
    """The file of traffic class ids cannot be read."""

    reported_as = "ValueError"

    def __init__(self, path: Path, reason: Exception) -> None:
        super().__init__(f"{path}: {reason}")


class ForeignFileError(ValueError):
    """A file of the state directory that is whole and not of the version that this code reads."""

    def __init__(self, contents: str) -> None:
        super().__init__(f"not a file of {contents} of this version")


class PartialWriteError(OSError):
    """The disk took only a part of what was to be written."""

    def __init__(self, written: int, expected: int) -> None:
        super().__init__(f"only {written} of {expected} bytes written")


class LogNotOpenError(OSError):
    """The disk has taken no log of this process yet."""

    def __init__(self, path: Path) -> None:
        super().__init__(f"{path}: not open yet")


class LogIncompleteError(OSError):
    """Records that failed before have to be written first, and the disk does not take them."""

    def __init__(self, path: Path) -> None:
        super().__init__(f"{path}: records that failed are not written yet")


class DetachedEndpointsError(OSError):
    """A change of the detached endpoints cannot be stored."""

    @classmethod
    def too_many(cls, most: int) -> DetachedEndpointsError:
        """No endpoint more can be detached."""
        return cls(f"{most} endpoints are held already")

    @classmethod
    def locked(cls) -> DetachedEndpointsError:
        """Another process keeps the lock."""
        return cls("another process is writing it")
