"""Errors of stored data. Data that was on disk before such an error is raised is still there afterwards."""

from __future__ import annotations

from pathlib import Path
from typing import ClassVar


class StorageError(Exception):
    """An error of stored data that may end a start.

    `reported_as` is the type of error in the line that a failed start prints, which operators match.
    """

    reported_as: ClassVar[str]


class StateDirectoryError(Exception):
    """This sender cannot use the state directory; the message gives the reason."""

    @classmethod
    def of_directory(cls, path: Path, reason: str | None) -> StateDirectoryError:
        """The reason concerns the directory as a whole."""
        return cls(f"state directory {path}: {reason}")

    @classmethod
    def of_file(cls, path: Path, reason: object) -> StateDirectoryError:
        """The reason concerns one file in the directory."""
        return cls(f"{path}: {reason}")


class ForeignRecordError(StorageError, ValueError):
    """A record of a log has a valid checksum and unknown fields: another version wrote it."""

    reported_as = "ForeignRecordError"

    def __init__(self, offset: int, fault: str) -> None:
        super().__init__(f"byte {offset}: {fault}")


class LogLockedError(StorageError, OSError):
    """A living process holds the lock of the log that is named after this process."""

    reported_as = "OSError"

    def __init__(self, directory: Path, process_id: int) -> None:
        super().__init__(f"{directory}: another process has locked the journal of process {process_id}")


class NoDescriptorSlotError(StorageError, OSError):
    """Other processes have all slots of the table of descriptors."""

    reported_as = "OSError"

    def __init__(self, directory: Path) -> None:
        super().__init__(f"{directory}: other processes have all slots of the table of descriptors")


class TrafficClassIdsError(StorageError, ValueError):
    """The file of traffic class ids cannot be read."""

    reported_as = "ValueError"

    def __init__(self, path: Path, reason: Exception) -> None:
        super().__init__(f"{path}: {reason}")


class UnknownTrafficClassError(StorageError, ValueError):
    """A message of a log has a traffic class that neither the state directory nor the configuration names."""

    reported_as = "ValueError"

    def __init__(self, log: Path, trace_id: str, traffic_class: int) -> None:
        super().__init__(
            f"{log}: message {trace_id} has traffic class {traffic_class}, which the configuration does not "
            "have; start with the configuration under which it was accepted"
        )


class ForeignFileError(ValueError):
    """A file of the state directory is complete JSON in a format that this version does not read."""

    def __init__(self, contents: str) -> None:
        super().__init__(f"not a file of {contents} of this version")


class PartialWriteError(OSError):
    """A write stored only a part of its data."""

    def __init__(self, written: int, expected: int) -> None:
        super().__init__(f"only {written} of {expected} bytes written")


class LogNotOpenError(OSError):
    """The log is not open, since it could neither be rewritten nor be opened as it is yet."""

    def __init__(self, path: Path) -> None:
        super().__init__(f"{path}: the write-ahead log is not open yet")


class LogIncompleteError(OSError):
    """Nothing can be appended, since earlier records whose write failed still cannot be written."""

    def __init__(self, path: Path) -> None:
        super().__init__(f"{path}: earlier records whose write failed are not written yet")


class DiskLimitError(OSError):
    """A write would take the state directory over the limit of the disk."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"no room within the {max_bytes} bytes of the write-ahead logs")


class DirectoryBusyError(OSError):
    """Another process holds the lock of the state directory's disk space for too long."""

    def __init__(self, path: Path) -> None:
        super().__init__(f"{path}: locked by another process")


class DetachedEndpointsError(OSError):
    """A change of the detached endpoints cannot be stored."""

    @classmethod
    def too_many(cls, most: int) -> DetachedEndpointsError:
        """The file has the maximum number of endpoints."""
        return cls(f"{most} endpoints are detached already")

    @classmethod
    def too_large(cls, most: int) -> DetachedEndpointsError:
        """The file would have more than the maximum number of bytes."""
        return cls(f"the ids of the detached endpoints take more than {most} bytes")

    @classmethod
    def locked(cls) -> DetachedEndpointsError:
        """Another process holds the lock."""
        return cls("another process holds the lock of the detached endpoints")
