"""Services that a configuration may switch on, and off again, while the sender runs: gossip and metrics.

Each module is imported as its service is first switched on: what is not configured costs no memory.
"""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

import gevent
from msgspec import Struct

from ashpath.server.addresses import Address
from ashpath.server.configuration import RunningConfiguration
from ashpath.server.delivery.outcome_recorder import OutcomeRecorder
from ashpath.server.discovery.client import DiscoveryClient
from ashpath.server.errors import MetricsAddressError
from ashpath.server.gossip_link import GossipLink
from ashpath.server.http.listener import ClientListener
from ashpath.server.logs import Logger
from ashpath.server.policy_runner import PolicyRunner
from ashpath.server.storage.write_ahead_log import WriteAheadLog

if TYPE_CHECKING:
    from ashpath.server.gossip import Gossip
    from ashpath.server.metrics.metrics import Metrics
    from ashpath.server.metrics.sources import MetricsSource


class GossipService:
    """Messages between the senders of a fleet, where the configuration names others."""

    def __init__(self, policy_runner: PolicyRunner, link: GossipLink, logger: Logger) -> None:
        self.policy_runner = policy_runner
        self.link = link
        self.logger = logger
        self.gossip: Gossip | None = None  # from the first address on

    def configure(self, listen: Address | None, peers: frozenset[Address]) -> None:
        """Moves to an address, or to none. Where it is in use, which is logged, the one before serves on."""
        if self.gossip is None and listen is not None:
            from ashpath.server.gossip import Gossip

            self.gossip = Gossip(self.policy_runner, self.logger)
            self.link.connect(self.gossip)
        if self.gossip is not None:
            try:
                self.gossip.move(listen, peers)
            except OSError as error:
                self.logger.error("gossip not received", error=str(error))  # noqa: TRY400 - one line is enough


class SenderMetricsSource(Struct, frozen=True):
    """What metrics are read off; a `MetricsSource`."""

    running: RunningConfiguration
    policy_runner: PolicyRunner
    write_ahead_log: WriteAheadLog
    listener: ClientListener
    discovery: DiscoveryClient | None
    gossip_service: GossipService

    @property
    def gossip(self) -> Gossip | None:
        """None until it is first switched on."""
        return self.gossip_service.gossip

    def traffic_class_name(self, traffic_class: int) -> str:
        """As the running settings name it; empty where they have no such number."""
        rows = self.running.current.settings.document["classes"]
        return str(rows[traffic_class]["name"]) if traffic_class < len(rows) else ""


class MetricsService:
    """Metrics for Prometheus, where the configuration names an address. They are read off `source`."""

    def __init__(self, source: MetricsSource, recorder: OutcomeRecorder, retry_interval_s: float) -> None:
        self.source = source
        self.recorder = recorder
        self.retry_interval_s = retry_interval_s
        self.metrics: Metrics | None = None  # from the first address on
        self.configured_address: Address | None = None

    def configure(self, listen: Address | None) -> None:
        """Moves to an address, or to none. Raises OSError where it is in use: the one before serves on."""
        self.configured_address = listen
        if self.metrics is None and listen is not None:
            from ashpath.server.metrics.metrics import Metrics

            self.metrics = Metrics(self.source)
        if self.metrics is not None:
            self.metrics.move(listen)
            self.recorder.use_metrics(self.metrics.counters if listen else None)

    def start(self, listen: Address | None, *, other_process: bool) -> None:
        """The first address. Raises `MetricsAddressError` where it is in use, except where the other process
        of a hot upgrade has it: then it is tried again until that ends."""
        try:
            self.configure(listen)
        except OSError as error:
            if not other_process:
                raise MetricsAddressError(listen, error) from error
            gevent.spawn(self.retry)

    def retry(self) -> None:
        """Tries until the address is free, or the configuration names another."""
        while self.metrics is not None and self.metrics.address != self.configured_address:
            with suppress(OSError):
                self.configure(self.configured_address)
                return
            gevent.sleep(self.retry_interval_s)
