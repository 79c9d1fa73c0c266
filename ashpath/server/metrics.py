"""The stage that counts, for Prometheus: what the sender did, and how it stands. Imported only where the
configuration names an address for it.

What happens is counted as it happens (`Meter` in `book`); how things stand is read off the parts when
somebody asks. Readers have a server of their own (gevent's WSGI server over prometheus-client), READERS at
once and each with PATIENCE seconds: one that says nothing, or does not read, costs its own greenlet and no
turn. Of destinations only MOST have rows of their own, those with the most envelopes waiting or out first, so
that the text is bounded however many there are.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import suppress
from heapq import nlargest
from time import monotonic
from typing import TYPE_CHECKING

import gevent
from gevent import Timeout, socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer
from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.exposition import make_wsgi_app
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, Metric

from ashpath.core.destination_state import DestinationState
from ashpath.core.interface import AttemptOutcome
from ashpath.core.snapshots import GateSnapshot
from ashpath.server.delivery.connection_pool import Address

if TYPE_CHECKING:
    from ashpath.server.runtime import SenderProcess

READERS = 4  # at once; further ones wait in the listening queue
PATIENCE = 2.0  # seconds for a reader, from its connection to its end
MOST = 100  # destinations, or routes, with rows of their own
STEP = 500  # destinations looked at between two looks at the rest of the sender
SECONDS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


class Handler(WSGIHandler):
    def handle(self) -> None:
        with suppress(Timeout), Timeout(PATIENCE):
            super().handle()


class Metrics:
    """`move` takes a new address while it runs, or none: nobody is answered then, and nothing counted
    until there is one again; counts go on from where they stood."""

    def __init__(self, node: SenderProcess) -> None:
        self.sender, self.registry = node, CollectorRegistry()
        self.server: WSGIServer | None = None
        self.listen: Address | None = None
        self.taken_on = self.counter("envelopes_taken", "Envelopes taken on.", "track")
        self.ends = self.counter("envelopes_ended", "Envelopes that had their one end.", "track", "end")
        self.shots = self.counter("shots", "Shots by how they ended.", "ending")
        self.took = Histogram(
            "ashpath_shot_seconds",
            "Time of a shot, to its ending.",
            ("ending",),
            buckets=SECONDS,
            registry=self.registry,
        )
        for ending in AttemptOutcome:
            self.shots.labels(ending.value)
        self.registry.register(self)

    def counter(self, name: str, words: str, *labels: str) -> Counter:
        return Counter(f"ashpath_{name}", words, labels, registry=self.registry)

    def move(self, listen: Address | None) -> None:
        """Raises OSError where the address cannot be had; what was there before then serves on."""
        if listen == self.listen:
            return
        fresh = None
        if listen is not None:
            own = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                own.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                own.bind(listen)
                own.listen(16)
            except OSError:
                own.close()
                raise
            app, pool = make_wsgi_app(self.registry), Pool(READERS)
            # The name is told, or it would be asked for, and others run in the middle of a switch.
            named = {"SERVER_NAME": listen[0]}
            fresh = WSGIServer(
                own, app, log=None, error_log=None, spawn=pool, handler_class=Handler, environ=named
            )
            fresh.start()
        old, self.server, self.listen = self.server, fresh, listen
        if old is not None:
            old.stop(timeout=0)

    # What happens.

    def message_accepted(self, track: int) -> None:
        self.taken_on.labels(self.title(track)).inc()

    def message_finished(self, track: int, state: str) -> None:
        self.ends.labels(self.title(track), state).inc()

    def attempt_finished(self, ending: AttemptOutcome, took: int) -> None:
        self.shots.labels(ending.value).inc()
        self.took.labels(ending.value).observe(took / 1e6)

    def title(self, track: int) -> str:
        rows = self.sender.configuration.settings["classes"]
        return str(rows[track]["name"]) if track < len(rows) else ""

    # How things stand.

    def collect(self) -> Iterator[Metric]:
        node, host, ledger = self.sender, self.sender.policy_runner, self.sender.write_ahead_log
        terms = host.policy.settings
        rows: list[tuple[str, str, float]] = [
            ("envelopes_held", "Envelopes that are owed their end, waiting or out.", len(host.messages)),
            ("envelopes_room", "Envelopes that may be held at once; 0: no bound.", terms.queue_capacity),
            ("shots_out", "Shots without an outcome.", len(host.attempts)),
            ("slots", "Calls that may be out at once.", terms.max_in_flight),
            ("ledger_bytes", "Bytes that the ledger may need for what it holds.", ledger.reserved_bytes),
            ("ledger_most_bytes", "Bytes that the ledger may have.", ledger.max_bytes),
            ("destinations", "Destinations that are known.", len(host.policy.destinations)),
            ("client_connections", "Connections of clients.", node.listener.connection_count),
        ]
        if node.discovery:
            age = monotonic() - node.discovery.last_response_at
            rows.append(("list_age_seconds", "Since the directory last answered a call for the list.", age))
        for name, words, value in rows:
            yield GaugeMetricFamily(f"ashpath_{name}", words, value=value)
        if node.gossip is not None:
            notes = CounterMetricFamily("ashpath_notes", "Notes between senders.", labels=["what"])
            counts = {"told": node.gossip.sent, "heard": node.gossip.received, "dropped": node.gossip.dropped}
            for what, count in counts.items():
                notes.add_metric([what], count)
            yield notes
        yield from self.destinations()

    def destinations(self) -> Iterator[Metric]:
        labels = ["destination", "route"]
        words: dict[str, tuple[str, Callable[[GateSnapshot], float]]] = {
            "limit": (
                "Calls that its gate allows at once; 0: its breaker is not closed.",
                lambda g: g.concurrency_limit,
            ),
            "in_flight": ("Calls out.", lambda g: g.in_flight),
            "breaker": ("0 closed, 1 open, 2 probing.", lambda g: g.breaker.value),
            "pace": ("Calls a second that its gate allows; 0: no pace.", lambda g: g.rate_limit),
            "ailing": ("1 from a run of failures to the first success.", lambda g: g.down),
        }
        found = {
            key: GaugeMetricFamily(f"ashpath_destination_{key}", text, labels=labels)
            for key, (text, _) in words.items()
        }
        held = GaugeMetricFamily("ashpath_destination_held", "Envelopes, waiting or out.", labels=labels[:1])
        room = MOST
        for one in self.busiest():
            snapshot = one.snapshot(max_gates=room)  # a destination may have thousands of routes
            held.add_metric([str(snapshot.number)], snapshot.unfinished_messages)
            room -= len(snapshot.gates)
            for gate in snapshot.gates:
                for key, (_, value) in words.items():
                    found[key].add_metric([str(snapshot.number), gate.route], value(gate))
        yield from (held, *found.values())

    def busiest(self) -> list[DestinationState]:
        """Guards turns against a walk over all destinations: it goes by steps, and others run in between."""
        best: list[DestinationState] = []
        everyone = list(self.sender.policy_runner.policy.destinations.values())
        for begin in range(0, len(everyone), STEP):
            step = everyone[begin : begin + STEP]
            best = nlargest(MOST, [*best, *step], key=lambda one: (one.unfinished_messages, -one.number))
            gevent.sleep(0)
        return best
