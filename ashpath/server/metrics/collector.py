"""Reads the gauges from a sender's components at each scrape.

At most `MAX_ROWS` destinations, those with the most messages, and at most `MAX_ROWS` of their routes have
rows of their own, which limits the text however many exist. Destinations are examined in steps with a
greenlet switch after each, so that no batch waits for a pass over all of them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from heapq import nlargest
from time import monotonic

import gevent
from msgspec import Struct
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, Metric

from ashpath.core.destination_state import DestinationState
from ashpath.core.snapshots import GateSnapshot
from ashpath.server.metrics.sources import MetricsSource

MAX_ROWS = 100  # destinations, or routes, with rows of their own
DESTINATIONS_PER_STEP = 500  # examined between two greenlet switches


class GateGauge(Struct, frozen=True):
    """A gauge of a gate, which is that of a destination, or of a route if routes have limits of their own."""

    name: str  # after `ashpath_destination_`
    help_text: str
    read: Callable[[GateSnapshot], float]


GATE_GAUGES = (
    GateGauge(
        "limit",
        "Attempts that its gate allows at once; 0: its breaker is not closed.",
        lambda gate: gate.concurrency_limit,
    ),
    GateGauge("in_flight", "Attempts in flight.", lambda gate: gate.in_flight),
    GateGauge("breaker", "0 closed, 1 open, 2 half-open.", lambda gate: gate.breaker.value),
    GateGauge(
        "rate_limit",
        "Attempts a second that its gate allows; 0: no rate limit.",
        lambda gate: gate.rate_limit,
    ),
    GateGauge("down", "1 from a run of failures to the first success.", lambda gate: gate.down),
)


class GaugeCollector:
    """Custom collector of prometheus_client for the gauges of a sender."""

    def __init__(self, source: MetricsSource) -> None:
        self.source = source

    def collect(self) -> Iterator[Metric]:
        """Yields all gauges, and the counters that discovery and gossip keep themselves."""
        yield from self.sender_gauges()
        yield from self.memory_gauges()
        yield from self.client_counters()
        yield from self.attribution_counters()
        yield from self.discovery_gauges()
        yield from self.gossip_counters()
        yield from self.destination_gauges()

    def sender_gauges(self) -> Iterator[Metric]:
        """Yields the gauges of the whole sender."""
        runner = self.source.policy_runner
        settings = runner.policy.settings
        log = self.source.write_ahead_log
        yield gauge(
            "messages", "Messages without a final outcome, queued or in flight.", len(runner.messages)
        )
        yield gauge(
            "queue_capacity", "Messages that may be so at once; 0: no bound.", settings.queue_capacity
        )
        yield gauge("attempts_in_flight", "Attempts without an outcome.", len(runner.attempts))
        yield gauge("max_in_flight", "Attempts that may be in flight at once.", settings.max_in_flight)
        yield gauge(
            "write_ahead_log_bytes",
            "Bytes that the write-ahead log may need for its messages.",
            log.messages.reserved_bytes,
        )
        yield gauge("write_ahead_log_max_bytes", "Bytes that the write-ahead log may have.", log.max_bytes)
        yield gauge(
            "write_ahead_log_behind", "1 while it lacks records that the disk did not take.", log.needs_repair
        )
        yield from self.directory_gauges()
        yield gauge("destinations", "Destinations that are known.", len(runner.policy.destinations))
        yield gauge("client_connections", "Connections of clients.", self.source.listener.connection_count)

    def memory_gauges(self) -> Iterator[Metric]:
        """Yields the resident size, and what client connections hold of it."""
        monitor = self.source.memory_monitor
        yield gauge("resident_bytes", "Resident size as last measured.", monitor.bytes)
        yield gauge("resident_peak_bytes", "The largest resident size since the start.", monitor.peak_bytes)
        yield gauge("memory_max_bytes", "Memory that the sender may have.", monitor.max_bytes)
        yield gauge(
            "client_buffer_bytes",
            "Receive buffers of client connections.",
            self.source.listener.table.buffered_bytes(),
        )

        memory = self.source.listener.memory
        yield gauge("request_memory_bytes", "Large requests in progress.", memory.reserved_bytes)
        yield gauge("request_memory_peak_bytes", "The most that these had.", memory.peak_bytes)
        yield gauge("request_memory_max_bytes", "What these may have.", memory.shares.request_bytes)
        yield gauge("message_memory_max_bytes", "What messages may have.", memory.shares.message_bytes)
        yield gauge("client_connections_max", "Client connections.", self.source.listener.max_connections)
        yield gauge(
            "client_turns_longest_seconds",
            "The longest time for which requests of clients without an accepted message held the event loop.",
            self.source.listener.turns.longest_slice_s,
        )
        yield counter("requests_without_memory", "Requests refused for want of memory.", memory.refused)

    def client_counters(self) -> Iterator[Metric]:
        """Yields the ends of client connections by reason, and the rejected requests by error."""
        table = self.source.listener.table
        closed = CounterMetricFamily(
            "ashpath_client_connections_closed", "Client connections that ended.", labels=["reason"]
        )
        for reason, count in table.closed.items():
            closed.add_metric([reason.value], count)
        yield closed
        rejected = CounterMetricFamily(
            "ashpath_requests_rejected", "Requests that are not valid or incomplete.", labels=["error"]
        )
        for error, count in table.rejections.items():
            rejected.add_metric([error], count)
        yield rejected

    def directory_gauges(self) -> Iterator[Metric]:
        """Yields the use of the state directory's disk space, and the messages that were refused."""
        monitor = self.source.directory_monitor
        yield gauge(
            "state_directory_bytes", "Bytes of all files of the state directory, in blocks.", monitor.bytes
        )
        yield gauge("state_directory_peak_bytes", "The most bytes that were measured.", monitor.peak_bytes)
        yield gauge("state_directory_max_bytes", "Bytes that they may have.", monitor.max_bytes)
        yield gauge(
            "other_logs_bytes",
            "Bytes of write-ahead logs of other processes of this sender.",
            self.source.write_ahead_log.other_logs_bytes,
        )
        refusals = CounterMetricFamily(
            "ashpath_messages_refused", "Messages that were not accepted.", labels=["cause"]
        )
        for cause, count in self.source.admission.refusals.items():
            refusals.add_metric([cause.value], count)
        yield refusals

    def attribution_counters(self) -> Iterator[Metric]:
        """Yields the counters of connections to endpoints, of extra responses, and of self-checks."""
        pool = self.source.policy_runner.attempt_runner.pool
        attribution = pool.attribution
        yield counter("endpoint_connections_opened", "Connections to endpoints, opened.", pool.opened)
        closed = CounterMetricFamily(
            "ashpath_endpoint_connections_closed",
            "Connections to endpoints that were closed.",
            labels=["reason"],
        )
        for reason, count in pool.closed.items():
            closed.add_metric([reason.value], count)
        yield closed
        yield counter(
            "extra_responses", "Responses without a request of their own.", attribution.extra_responses
        )
        yield counter(
            "results_in_doubt", "Results that may be another request's.", attribution.results_in_doubt
        )
        retry_afters = CounterMetricFamily(
            "ashpath_retry_afters", "Responses with a Retry-After, by where they came.", labels=["source"]
        )
        for source, count in pool.notices.heard.items():
            retry_afters.add_metric([source.value], count)
        yield retry_afters
        yield counter(
            "response_heads_dropped", "Connections closed within a response's head.", pool.notices.dropped
        )
        yield gauge(
            "endpoint_connections_closing", "Connections closed on this side, and read.", len(pool.closing)
        )
        yield counter(
            "ended_messages_evicted",
            "Messages that ended, and whose copies are no longer recognized.",
            self.source.write_ahead_log.messages.ended.evicted,
        )
        failures = CounterMetricFamily(
            "ashpath_self_check_failures", "Failed checks of the sender's own books.", labels=["check"]
        )
        for check, count in pool.checks.failures.items():
            failures.add_metric([check.name.lower()], count)
        yield failures

    def discovery_gauges(self) -> Iterator[Metric]:
        """Yields the gauge and counters of service discovery, if the platform's agent is configured."""
        discovery = self.source.discovery
        if discovery is not None:
            age_s = monotonic() - discovery.last_response_at
            yield gauge(
                "endpoint_list_age_seconds", "Since a poll for the endpoint list last succeeded.", age_s
            )
            yield counter(
                "discovery_stale_records",
                "Endpoints that an older list has up, and that stay out.",
                discovery.stale_records,
            )
            polls = CounterMetricFamily(
                "ashpath_discovery_polls", "Polls for the endpoint list, by their end.", labels=["outcome"]
            )
            for state, count in discovery.state_log.counts.items():
                polls.add_metric([state.name.lower()], count)
            yield polls

    def gossip_counters(self) -> Iterator[Metric]:
        """Yields the counters of gossip messages, if other senders are configured."""
        gossip = self.source.gossip
        if gossip is not None:
            family = CounterMetricFamily(
                "ashpath_gossip_messages", "Gossip messages between senders.", labels=["event"]
            )
            family.add_metric(["sent"], gossip.sent)
            family.add_metric(["received"], gossip.received)
            family.add_metric(["dropped"], gossip.dropped)
            yield family

    def destination_gauges(self) -> Iterator[Metric]:
        """Yields the gauges of the destinations with the most messages, and of their gates."""
        messages = GaugeMetricFamily(
            "ashpath_destination_messages", "Messages, queued or in flight.", labels=["destination"]
        )
        families = [
            GaugeMetricFamily(
                f"ashpath_destination_{each.name}", each.help_text, labels=["destination", "route"]
            )
            for each in GATE_GAUGES
        ]
        rows_left = MAX_ROWS
        for destination in self.busiest_destinations():
            snapshot = destination.snapshot(max_gates=rows_left)  # a destination may have thousands of routes
            rows_left -= len(snapshot.gates)
            number = str(snapshot.number)
            messages.add_metric([number], snapshot.unfinished_messages)
            for gate in snapshot.gates:
                for family, each in zip(families, GATE_GAUGES, strict=True):
                    family.add_metric([number, gate.route], each.read(gate))
        yield from (messages, *families)

    def busiest_destinations(self) -> list[DestinationState]:
        """Returns at most `MAX_ROWS` destinations, those with the most messages first. Switches greenlets."""
        busiest: list[DestinationState] = []
        all_destinations = list(self.source.policy_runner.policy.destinations.values())
        for begin in range(0, len(all_destinations), DESTINATIONS_PER_STEP):
            step = all_destinations[begin : begin + DESTINATIONS_PER_STEP]
            busiest = nlargest(
                MAX_ROWS,
                [*busiest, *step],
                key=lambda destination: (destination.unfinished_messages, -destination.number),
            )
            gevent.sleep(0)
        return busiest


def gauge(name: str, help_text: str, value: float) -> Metric:
    """Returns a gauge without labels."""
    return GaugeMetricFamily(f"ashpath_{name}", help_text, value=value)


def counter(name: str, help_text: str, value: float) -> Metric:
    """Returns a counter without labels, whose value another component keeps."""
    return CounterMetricFamily(f"ashpath_{name}", help_text, value=value)
