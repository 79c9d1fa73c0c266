"""The parts of a sender, grouped by concern. `wiring.py` creates them, and `runtime.py` runs them."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from msgspec import Struct

from ashpath.server.adoption import OrphanAdopter
from ashpath.server.configuration import RunningConfiguration
from ashpath.server.control.listener import ControlListener
from ashpath.server.delivery.attempt_runner import AttemptRunner
from ashpath.server.delivery.connection_pool import ConnectionPool
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.delivery.notifier import Notifier
from ashpath.server.delivery.outcome_recorder import OutcomeRecorder
from ashpath.server.descriptor_sharing import DescriptorSharing
from ashpath.server.directory_monitor import DirectoryMonitor
from ashpath.server.discovery.client import DiscoveryClient
from ashpath.server.endpoint_membership import EndpointMembership
from ashpath.server.gossip_link import GossipLink
from ashpath.server.http.admission import Admission
from ashpath.server.http.listener import ClientListener
from ashpath.server.limits.services import ServiceLimits
from ashpath.server.logs import Logger
from ashpath.server.memory_monitor import MemoryMonitor
from ashpath.server.optional_services import GossipService, MetricsService
from ashpath.server.policy_runner import PolicyRunner
from ashpath.server.reload import SettingsSwitch
from ashpath.server.shutdown import GracefulShutdown
from ashpath.server.storage.detached_endpoints import DetachedEndpoints
from ashpath.server.storage.write_ahead_log import WriteAheadLog

if TYPE_CHECKING:
    from ashpath.server.http.status_api import StatusApi
    from ashpath.server.storage.outcome_store import OutcomeStore


class ProcessOptions(Struct, frozen=True):
    """Options of a sender process, which a reload cannot change."""

    listen: str
    """The address and port for clients. Part of the seed of random pauses, as the senders of a fleet differ
    by it."""
    state_directory: Path
    control: str = ""
    """The address for operators' commands. If empty, the configuration's address is used, if any."""
    inherited_socket: int | None = None
    """The descriptor of the clients' listening socket, which is inherited for hot upgrades and never bound
    again; None if this process binds the address itself."""


class DeliveryPath(Struct, frozen=True):
    """The parts that take a message from its acceptance to its final outcome."""

    write_ahead_log: WriteAheadLog
    outcome_store: OutcomeStore | None
    notifier: Notifier
    pool: ConnectionPool
    registry: EndpointRegistry
    recorder: OutcomeRecorder
    attempt_runner: AttemptRunner
    policy_runner: PolicyRunner
    membership: EndpointMembership
    gossip_link: GossipLink
    detached_endpoints: DetachedEndpoints


class ClientSide(Struct, frozen=True):
    """The parts that take a message from a client's connection to its acceptance."""

    admission: Admission
    listener: ClientListener
    status_api: StatusApi | None


class Sender(Struct, frozen=True):
    """The parts of one sender."""

    process_options: ProcessOptions
    running: RunningConfiguration
    limits: ServiceLimits
    """Limits of the services. Those of a later configuration take effect at the next start."""
    logger: Logger
    delivery: DeliveryPath
    clients: ClientSide
    directory_monitor: DirectoryMonitor
    memory_monitor: MemoryMonitor
    control: ControlListener | None
    discovery: DiscoveryClient | None
    orphan_adopter: OrphanAdopter | None
    """None if no other process of the sender can exist and none left a log."""
    gossip: GossipService
    metrics: MetricsService
    settings_switch: SettingsSwitch
    shutdown: GracefulShutdown
    descriptor_sharing: DescriptorSharing | None
    """None if no other process of the sender can exist."""
