"""Puts a sender's metrics together: counters, gauges, and the server that shows both."""

from __future__ import annotations

from prometheus_client import CollectorRegistry

from ashpath.server.addresses import Address
from ashpath.server.metrics.collector import GaugeCollector
from ashpath.server.metrics.counters import MetricsCounters
from ashpath.server.metrics.exposition import MetricsServer
from ashpath.server.metrics.sources import MetricsSource


class Metrics:
    """The metrics of one sender. `counters` is to be reported to while there is an address, and not else."""

    def __init__(self, source: MetricsSource) -> None:
        registry = CollectorRegistry()
        self.counters = MetricsCounters(registry, source.traffic_class_name)
        self.collector = GaugeCollector(source)
        registry.register(self.collector)
        self.server = MetricsServer(registry)

    @property
    def address(self) -> Address | None:
        """Where the metrics are served now; None: nowhere."""
        return self.server.address

    def move(self, address: Address | None) -> None:
        """Raises OSError where the address cannot be had; what was there before then serves on."""
        self.server.move(address)
