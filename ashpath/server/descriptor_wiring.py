"""Opens the table of descriptors that the processes of a hot upgrade share."""

from __future__ import annotations

from ashpath.policy.descriptor_budget import (
    GOSSIP_DESCRIPTORS,
    METRICS_DESCRIPTORS,
    SERVICE_DESCRIPTORS,
    DescriptorBudget,
)
from ashpath.server.configuration import RunningConfiguration
from ashpath.server.descriptors import UNSHARED, DescriptorLeases, SharedDescriptorLeases
from ashpath.server.limits.server_limits import RESERVED_DESCRIPTORS, ServerLimits
from ashpath.server.logs import Logger
from ashpath.server.sender import ProcessOptions
from ashpath.server.storage.descriptor_table import DescriptorTable


def open_descriptor_leases(
    process_options: ProcessOptions, running: RunningConfiguration, limits: ServerLimits, logger: Logger
) -> DescriptorLeases:
    """Returns the leases of this process, once the others have made room for its services.

    Without a table, of which the reason is logged, this process is not seen by the others."""
    if process_options.inherited_socket is None:
        return UNSHARED
    try:
        table = DescriptorTable(process_options.state_directory)
    except OSError as error:
        logger.error("no table of descriptors", error=str(error))  # noqa: TRY400 - one line is enough
        return UNSHARED
    leases = SharedDescriptorLeases(table, budget_of(limits), lambda: service_descriptors(running), logger)
    leases.await_room()
    return leases


def budget_of(limits: ServerLimits) -> DescriptorBudget:
    """Returns the budget of a sender from the limits of one process."""
    return DescriptorBudget(
        RESERVED_DESCRIPTORS,
        (limits.clients.client_connections, limits.endpoints.endpoint_connections),
    )


def service_descriptors(running: RunningConfiguration) -> int:
    """Returns how many descriptors the services of a process may hold."""
    descriptors = SERVICE_DESCRIPTORS
    if running.current.metrics_listen is not None:
        descriptors += METRICS_DESCRIPTORS
    if running.current.gossip_listen is not None:
        descriptors += GOSSIP_DESCRIPTORS
    return descriptors
