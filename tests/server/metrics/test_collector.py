"""Gauges of destinations."""

from __future__ import annotations

from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from ashpath.core.destination_state import DestinationState
from ashpath.core.snapshots import BreakerState, DestinationSnapshot, GateSnapshot
from ashpath.server.metrics.collector import MAX_ROWS, GaugeCollector


@pytest.mark.parametrize(("destinations", "routes"), [(5000, 1), (1, 5000)])
def test_destination_rows_are_limited_to_max_rows(destinations: int, routes: int) -> None:
    """Guards scrapes and batches against the cost of very many destinations, or of very many routes."""
    gate = Mock(snapshot=lambda: GateSnapshot("x1", 1, 0, BreakerState.OPEN, 0.0, 0.0, False, 0))
    destination = Mock(number=7, unfinished_messages=1, endpoints=[], gates=lambda: [gate] * routes)
    destination.snapshot = lambda max_gates: DestinationState.snapshot(destination, max_gates)
    policy = SimpleNamespace(destinations=dict.fromkeys(range(destinations), destination))
    collector = GaugeCollector(Mock(policy_runner=SimpleNamespace(policy=policy)))
    families = list(collector.destination_gauges())
    assert {len(family.samples) for family in families} <= {min(destinations, MAX_ROWS), MAX_ROWS}
    assert len(families) == 6


@pytest.mark.parametrize("route", ["", "x1"])
def test_gate_samples_are_labeled_with_destination_and_route(route: str) -> None:
    gate = GateSnapshot(route, 5, 2, BreakerState.HALF_OPEN, 7.5, 1.0, True, 0)
    destination = Mock(number=7, unfinished_messages=3)
    destination.snapshot.return_value = DestinationSnapshot(7, 1, 3, (gate,))
    policy = SimpleNamespace(destinations={7: destination})
    collector = GaugeCollector(Mock(policy_runner=SimpleNamespace(policy=policy)))
    samples = [sample for family in collector.destination_gauges() for sample in family.samples]
    labels = {"destination": "7", "route": route}
    assert [
        (sample.name.removeprefix("ashpath_destination_"), sample.labels, sample.value) for sample in samples
    ] == [
        ("messages", {"destination": "7"}, 3),
        ("limit", labels, 5),
        ("in_flight", labels, 2),
        ("breaker", labels, 2),
        ("rate_limit", labels, 7.5),
        ("down", labels, True),
    ]
