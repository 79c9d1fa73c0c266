"""Creates the parts of a sender that work on the files of the state directory; `wiring.py` connects them."""

from __future__ import annotations

from ashpath.server import state_files
from ashpath.server.adoption import OrphanAdopter
from ashpath.server.configuration import SenderConfiguration
from ashpath.server.deployment import Deployment
from ashpath.server.directory_monitor import DirectoryMonitor
from ashpath.server.local_errors import retry_disk_faults
from ashpath.server.logs import Logger
from ashpath.server.policy_runner import StateFiles
from ashpath.server.sender import DeliveryPath, ProcessOptions
from ashpath.server.storage.detached_endpoints import DetachedEndpoints
from ashpath.server.storage.outage_store import OutageStore
from ashpath.server.storage.shared_memory import SharedMemory
from ashpath.server.storage.write_ahead_log import WriteAheadLog


def restore_traffic_class_ids(
    process_options: ProcessOptions,
    configuration: SenderConfiguration,
    deployment: Deployment,
    write_ahead_log: WriteAheadLog,
) -> SenderConfiguration:
    """Returns the configuration with the traffic class ids of the messages in the write-ahead log, and of
    those that another process of a hot upgrade may have.

    Raises UnknownTrafficClassError if a message has a traffic class that no stored row names."""
    log = write_ahead_log
    has_other_process = process_options.inherited_socket is not None and log.has_other_process()
    has_live_messages = bool(log.messages.live) or log.may_have_orphans or has_other_process
    restored = retry_disk_faults(
        lambda: deployment.restore_traffic_class_ids(configuration, has_live_messages=has_live_messages),
        configuration.limits.storage.open_retries_s,
    )
    log.prerequisite = deployment.unwritten_traffic_class_ids
    log.check_traffic_classes(len(restored.settings.document["classes"]))
    return restored


def open_policy_files(
    process_options: ProcessOptions,
    configuration: SenderConfiguration,
    write_ahead_log: WriteAheadLog,
    shared_memory: SharedMemory,
    logger: Logger,
) -> StateFiles:
    """Opens the remaining files of the policy runner. Files that cannot be read are logged."""
    directory = process_options.state_directory
    detached_bytes = state_files.detached_endpoints_bytes(configuration.limits.storage)
    return StateFiles(
        write_ahead_log=write_ahead_log,
        shared_memory=shared_memory,
        detached_endpoints=DetachedEndpoints(directory, logger, detached_bytes),
        outage_store=OutageStore(directory, logger),
    )


def create_orphan_adopter(
    process_options: ProcessOptions,
    configuration: SenderConfiguration,
    delivery: DeliveryPath,
    logger: Logger,
) -> OrphanAdopter | None:
    """Creates the adopter of orphaned logs, or returns None if there are none and never will be any.

    A process that binds the address itself has no other process beside it; orphans of earlier processes are
    left if the disk failed as the write-ahead log was opened.
    """
    if process_options.inherited_socket is None and not delivery.write_ahead_log.may_have_orphans:
        return None
    limits = configuration.limits.services
    return OrphanAdopter(
        delivery.write_ahead_log,
        delivery.policy_runner,
        limits.adoption_interval_s,
        limits.upgrade_adoption_interval_s,
        logger,
    )


def create_directory_monitor(
    process_options: ProcessOptions, configuration: SenderConfiguration, logger: Logger
) -> DirectoryMonitor:
    """Creates the monitor of the state directory, whose limit includes the final outcomes."""
    limits = configuration.limits
    max_bytes = limits.storage.disk_bytes + limits.storage.outcome_store_bytes
    interval_s = limits.services.disk_usage_interval_s
    return DirectoryMonitor(process_options.state_directory, max_bytes, interval_s, logger)
