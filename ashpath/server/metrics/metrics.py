"""Combines a sender's metrics: the counters, the gauges, and the server that exposes both."""

from __future__ import annotations

from prometheus_client import CollectorRegistry

from ashpath.server.addresses import Address
from ashpath.server.metrics.collector import GaugeCollector
from ashpath.server.metrics.counters import MetricsCounters
from ashpath.server.metrics.exposition import MetricsServer
from ashpath.server.metrics.sources import MetricsSource


class Metrics:
    """Metrics of one sender. Callers update `counters` only while `address` is set."""

    def __init__(self, source: MetricsSource) -> None:
        registry = CollectorRegistry()
        self.counters = MetricsCounters(registry, source.traffic_class_name)
        self.collector = GaugeCollector(source)
        registry.register(self.collector)
        self.server = MetricsServer(registry)

    @property
    def address(self) -> Address | None:
        """Address at which the metrics are served, or None."""
        return self.server.address

    def change_address(self, address: Address | None) -> None:
        """Serves the metrics at another address, or nowhere if `address` is None.

        Raises OSError if the address is not available; the previous address then stays in use."""
        self.server.change_address(address)
