"""Creates the services beside the path of a message; `wiring.py` connects them."""

from __future__ import annotations

from random import Random

from ashpath.server.addresses import parse_address
from ashpath.server.configuration import RunningConfiguration, SenderConfiguration
from ashpath.server.control.listener import ControlListener
from ashpath.server.directory_monitor import DirectoryMonitor
from ashpath.server.discovery.client import DiscoveryClient
from ashpath.server.endpoint_membership import EndpointMembership
from ashpath.server.logs import Logger
from ashpath.server.memory_monitor import MemoryMonitor, MemoryUse
from ashpath.server.operator_commands import OperatorCommands
from ashpath.server.optional_services import GossipService, MetricsService, SenderMetricsSource
from ashpath.server.sender import ClientSide, DeliveryPath, ProcessOptions


def create_control_listener(
    process_options: ProcessOptions,
    configuration: SenderConfiguration,
    delivery: DeliveryPath,
    clients: ClientSide,
    logger: Logger,
) -> ControlListener | None:
    """Creates the listener for operators' commands, or returns None if no address is configured.

    The address in the environment takes precedence over the one in the configuration."""
    address = process_options.control or configuration.control
    if not address:
        return None
    commands = OperatorCommands(
        delivery.policy_runner, delivery.registry, clients.listener, delivery.detached_endpoints
    )
    limits = configuration.limits
    return ControlListener(
        parse_address(address), limits.control, limits.http.response_write_s, commands, logger
    )


def create_discovery_client(
    process_options: ProcessOptions,
    configuration: SenderConfiguration,
    membership: EndpointMembership,
    logger: Logger,
) -> DiscoveryClient | None:
    """Creates the client of the discovery service, or returns None if no such service is configured.

    The first polls of a fleet that starts at once are staggered by sender number, all within the duration of
    one watch, so that they do not overload the service. In a hot upgrade a sender starts alone, and polls at
    once.
    """
    if configuration.platform_address is None:
        return None
    limits = configuration.limits.discovery
    policy_settings = configuration.policy_settings
    spacing_s = min(limits.first_poll_spacing_s, limits.watch_s / policy_settings.sender_count)
    first_poll_delay_s = policy_settings.sender_index * spacing_s
    return DiscoveryClient(
        configuration.platform_address,
        limits,
        configuration.limits.http,
        configuration.limits.services.retry_s,
        int(configuration.known_endpoints.get("revision") or 0),
        membership,
        Random(f"{random_seed(process_options, configuration)}/d"),
        logger,
        first_poll_delay_s if process_options.inherited_socket is None else 0.0,
        pushed=configuration.settings.discovery_pushes,
    )


def create_memory_monitor(
    configuration: SenderConfiguration, delivery: DeliveryPath, clients: ClientSide, logger: Logger
) -> MemoryMonitor:
    """Creates the monitor of the resident size."""
    table = clients.listener.table

    def memory_use() -> MemoryUse:
        return MemoryUse(
            connections=table.counts_text(),
            buffered_bytes=table.buffered_bytes(),
            messages=len(delivery.policy_runner.messages),
            message_bytes=delivery.write_ahead_log.messages.reserved_bytes,
        )

    limits = configuration.limits
    return MemoryMonitor(limits.memory.memory_bytes, limits.services.memory_interval_s, memory_use, logger)


def create_metrics_service(
    running: RunningConfiguration,
    delivery: DeliveryPath,
    clients: ClientSide,
    monitor: DirectoryMonitor,
    memory_monitor: MemoryMonitor,
    discovery: DiscoveryClient | None,
    gossip: GossipService,
) -> MetricsService:
    """Creates the metrics service, which has no address yet."""
    source = SenderMetricsSource(
        running=running,
        policy_runner=delivery.policy_runner,
        write_ahead_log=delivery.write_ahead_log,
        directory_monitor=monitor,
        memory_monitor=memory_monitor,
        admission=clients.admission,
        listener=clients.listener,
        discovery=discovery,
        gossip_service=gossip,
    )
    return MetricsService(source, delivery.recorder, running.current.limits.services.adoption_interval_s)


def random_seed(process_options: ProcessOptions, configuration: SenderConfiguration) -> str:
    """Returns the seed of random pauses, which includes the listen address: the senders of one fleet differ
    by it."""
    return f"{configuration.policy_settings.seed}/{process_options.listen}"
