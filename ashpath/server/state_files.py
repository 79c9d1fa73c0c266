"""Opens the files of the state directory that all parts of a sender share, in the order of their
dependencies: the clock comes first, as all other files contain times. Damaged files are logged.
"""

from __future__ import annotations

from ashpath.server.limits.storage import StorageLimits
from ashpath.server.local_errors import retry_disk_faults
from ashpath.server.logs import Logger
from ashpath.server.sender import ProcessOptions
from ashpath.server.storage import detached_endpoints, outage_store, shared_memory
from ashpath.server.storage.atomic_file import remove_earlier_temporaries
from ashpath.server.storage.shared_memory import MAX_PROCESSES, SharedMemory
from ashpath.server.storage.shared_memory_layout import FILE_BYTES
from ashpath.server.storage.stored_clock import ClockOrigin, initialize_stored_clock
from ashpath.server.storage.write_ahead_log import WriteAheadLog

DETACHED_ENDPOINTS_SHARE = 64  # the file has at most one part in so many of the disk limit


def open_write_ahead_log(
    process_options: ProcessOptions, limits: StorageLimits, logger: Logger
) -> WriteAheadLog:
    """Opens the write-ahead log, whose maximum size is `disk_bytes` without the other files.

    A disk that fails is tried again for `open_retries_s`. Raises OSError, LogLockedError or
    ForeignRecordError."""
    remove_earlier_temporaries(process_options.state_directory)
    initialize_clock(process_options, logger)
    other_files = shared_memory_files(process_options) * FILE_BYTES + replaced_files_bytes(limits)
    log_bytes = limits.disk_bytes - other_files
    write_ahead_log = retry_disk_faults(
        lambda: WriteAheadLog(process_options.state_directory, log_bytes), limits.open_retries_s
    )
    if write_ahead_log.skipped_bytes:
        logger.error("write-ahead log damaged", skipped_bytes=write_ahead_log.skipped_bytes)
    return write_ahead_log


def replaced_files_bytes(limits: StorageLimits) -> int:
    """Returns the most bytes of the files that are replaced as a whole: at any moment one of them has a
    temporary file beside it."""
    detached = detached_endpoints_bytes(limits)
    return outage_store.MAX_FILE_BYTES + detached + max(outage_store.MAX_FILE_BYTES, detached)


def detached_endpoints_bytes(limits: StorageLimits) -> int:
    """Returns the most bytes of the file of detached endpoints."""
    return min(detached_endpoints.MAX_FILE_BYTES, limits.disk_bytes // DETACHED_ENDPOINTS_SHARE)


def initialize_clock(process_options: ProcessOptions, logger: Logger) -> None:
    """Sets the clock of stored times; called before any stored time is read. After a boot of the machine,
    removes the shared memory, so that a Retry-After from before the boot no longer applies."""
    if initialize_stored_clock(process_options.state_directory, logger) is ClockOrigin.OTHER_BOOT:
        shared_memory.remove_files(process_options.state_directory, MAX_PROCESSES)


def open_shared_memory(process_options: ProcessOptions, logger: Logger) -> SharedMemory:
    """Opens the shared memory. If it has no slot for this process, the process can still read what the other
    process of a hot upgrade writes."""
    memory = SharedMemory(process_options.state_directory, shared_memory_files(process_options))
    if memory.own is None:
        logger.error("no shared memory: Retry-After and detached endpoints of this process bind no other")
    return memory


def shared_memory_files(process_options: ProcessOptions) -> int:
    """Returns the number of shared memory files: one for a process that binds the address itself, as the
    sender has no other process then."""
    return 1 if process_options.inherited_socket is None else MAX_PROCESSES
