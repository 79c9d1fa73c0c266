"""Gauges of destinations."""

from __future__ import annotations

from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from ashpath.core.destination_state import DestinationState
from ashpath.core.snapshots import BreakerState, GateSnapshot
from ashpath.server.metrics.collector import MAX_ROWS, GaugeCollector


@pytest.mark.parametrize(("destinations", "routes"), [(5000, 1), (1, 5000)])
def test_rows_are_bounded(destinations: int, routes: int) -> None:
    """Guards the scraper, and batches, against very many destinations, or one with very many routes."""
    gate = Mock(snapshot=lambda: GateSnapshot("x1", 1, 0, BreakerState.OPEN, 0.0, 0.0, False, 0))
    destination = Mock(number=7, unfinished_messages=1, endpoints=[], gates=lambda: [gate] * routes)
    destination.snapshot = lambda max_gates: DestinationState.snapshot(destination, max_gates)
    policy = SimpleNamespace(destinations=dict.fromkeys(range(destinations), destination))
    collector = GaugeCollector(Mock(policy_runner=SimpleNamespace(policy=policy)))
    families = list(collector.destination_gauges())
    assert {len(family.samples) for family in families} <= {min(destinations, MAX_ROWS), MAX_ROWS}
    assert len(families) == 6
