"""What a sender consists of: its parts by concern, put together by `wiring.py` and run by `runtime.py`."""

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
from ashpath.server.discovery.client import DiscoveryClient
from ashpath.server.endpoint_membership import EndpointMembership
from ashpath.server.gossip_link import GossipLink
from ashpath.server.http.admission import Admission
from ashpath.server.http.listener import ClientListener
from ashpath.server.limits import ServerLimits
from ashpath.server.logs import Logger
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
    """Where a sender stands: what a reload cannot change."""

    listen: str
    """Address and port for clients. Part of the seed of random pauses, as senders of a fleet differ by it."""
    state_directory: Path
    control: str = ""
    """The operators' address; empty: the configuration's, if it has one."""
    inherited_socket: int | None = None
    """The clients' listening socket, handed down for hot upgrades: it is never bound a second time."""


class DeliveryPath(Struct, frozen=True):
    """From an accepted message to its final outcome."""

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
    """From a client's connection to an accepted message."""

    admission: Admission
    listener: ClientListener
    status_api: StatusApi | None


class Sender(Struct, frozen=True):
    """The parts of one sender."""

    process_options: ProcessOptions
    running: RunningConfiguration
    limits: ServerLimits
    """Of the process: those of a later configuration wait for the next start."""
    logger: Logger
    delivery: DeliveryPath
    clients: ClientSide
    control: ControlListener | None
    discovery: DiscoveryClient | None
    orphan_adopter: OrphanAdopter | None
    """None in a process that binds the clients' address by itself: it is alone."""
    gossip: GossipService
    metrics: MetricsService
    settings_switch: SettingsSwitch
    shutdown: GracefulShutdown
