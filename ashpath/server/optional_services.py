"""Services that a configuration may switch on and off while the sender runs: gossip and metrics.

The module of a service is imported when the service is first switched on, so that an unused service needs no
memory.
"""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

import gevent
from msgspec import Struct

from ashpath.server.addresses import Address
from ashpath.server.configuration import RunningConfiguration
from ashpath.server.delivery.outcome_recorder import OutcomeRecorder
from ashpath.server.directory_monitor import DirectoryMonitor
from ashpath.server.discovery.client import DiscoveryClient
from ashpath.server.errors import MetricsAddressError
from ashpath.server.gossip_link import GossipLink
from ashpath.server.http.admission import Admission
from ashpath.server.http.listener import ClientListener
from ashpath.server.logs import Logger
from ashpath.server.memory_monitor import MemoryMonitor
from ashpath.server.policy_runner import PolicyRunner
from ashpath.server.storage.write_ahead_log import WriteAheadLog

if TYPE_CHECKING:
    from ashpath.server.gossip import Gossip
    from ashpath.server.metrics.metrics import Metrics
    from ashpath.server.metrics.sources import MetricsSource


class GossipService:
    """Gossip between the senders of a fleet, if the configuration names other senders."""

    def __init__(self, policy_runner: PolicyRunner, link: GossipLink, logger: Logger) -> None:
        self.policy_runner = policy_runner
        self.link = link
        self.logger = logger
        self.gossip: Gossip | None = None  # created with the first address

    def configure(self, listen: Address | None, peers: frozenset[Address]) -> None:
        """Changes the listen address; None stops gossip. If the address is in use, logs the error and keeps
        the previous address."""
        if self.gossip is None and listen is not None:
            from ashpath.server.gossip import Gossip

            self.gossip = Gossip(self.policy_runner, self.logger)
            self.link.connect(self.gossip)
        if self.gossip is not None:
            try:
                self.gossip.change_addresses(listen, peers)
            except OSError as error:
                self.logger.error("gossip not received", error=str(error))  # noqa: TRY400 - one line is enough


class SenderMetricsSource(Struct, frozen=True):
    """The parts of a sender from which metrics are read. Implements `MetricsSource`."""

    running: RunningConfiguration
    policy_runner: PolicyRunner
    write_ahead_log: WriteAheadLog
    directory_monitor: DirectoryMonitor
    memory_monitor: MemoryMonitor
    admission: Admission
    listener: ClientListener
    discovery: DiscoveryClient | None
    gossip_service: GossipService

    @property
    def gossip(self) -> Gossip | None:
        """The gossip socket; None until gossip is first switched on."""
        return self.gossip_service.gossip

    def traffic_class_name(self, traffic_class: int) -> str:
        """Returns the name of a traffic class in the current settings; empty if they have no traffic class of
        that number."""
        rows = self.running.current.settings.document["classes"]
        return str(rows[traffic_class]["name"]) if traffic_class < len(rows) else ""


class MetricsService:
    """Serves metrics for Prometheus, which are read from `source`, if the configuration names an address."""

    def __init__(self, source: MetricsSource, recorder: OutcomeRecorder, retry_interval_s: float) -> None:
        self.source = source
        self.recorder = recorder
        self.retry_interval_s = retry_interval_s
        self.metrics: Metrics | None = None  # created with the first address
        self.configured_address: Address | None = None

    def configure(self, listen: Address | None) -> None:
        """Changes the listen address; None stops the service. Raises OSError if the address is in use; the
        previous address stays in use then."""
        self.configured_address = listen
        if self.metrics is None and listen is not None:
            from ashpath.server.metrics.metrics import Metrics

            self.metrics = Metrics(self.source)
        if self.metrics is not None:
            self.metrics.change_address(listen)
            self.recorder.use_metrics(self.metrics.counters if listen else None)

    def start(self, listen: Address | None, *, other_process: bool) -> None:
        """Sets the first address. Raises `MetricsAddressError` if the address is in use. If `other_process`
        is set, the other process of a hot upgrade may hold the address, which is then retried until that
        process ends."""
        try:
            self.configure(listen)
        except OSError as error:
            if not other_process:
                raise MetricsAddressError(listen, error) from error
            gevent.spawn(self.retry)

    def retry(self) -> None:
        """Retries until the address is free, or the configuration names another one."""
        while self.metrics is not None and self.metrics.address != self.configured_address:
            with suppress(OSError):
                self.configure(self.configured_address)
                return
            gevent.sleep(self.retry_interval_s)
