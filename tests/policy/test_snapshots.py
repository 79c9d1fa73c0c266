"""Snapshots of destinations, which the status API and the metrics read."""

from __future__ import annotations

from support.scenario import Scenario

from ashpath.core.snapshots import BreakerState
from ashpath.policy.delivery_policy import DeliveryPolicy


def run_scenario(*lines: str) -> Scenario:
    scenario = Scenario(DeliveryPolicy)
    for line in lines:
        scenario.step(line.split())
    return scenario


def test_snapshot_counts_call_in_flight_and_unfinished_messages() -> None:
    scenario = run_scenario("endpoints x1 x2 : 7", "0s submit a b s 7")
    snapshot = scenario.policy.destinations[7].snapshot()
    (gate,) = snapshot.gates
    assert (snapshot.number, snapshot.endpoints, snapshot.unfinished_messages) == (7, 2, 2)
    assert (gate.route, gate.concurrency_limit, gate.in_flight) == ("", 1, 1)
    assert gate.breaker is BreakerState.CLOSED


def test_snapshot_names_routes_after_their_endpoints() -> None:
    scenario = run_scenario("kind per_endpoint", "endpoints x1 x2 : 7", "0s pass")
    destination = scenario.policy.destinations[7]
    assert {gate.route for gate in destination.snapshot().gates} == {"x1", "x2"}
    assert len(destination.snapshot(max_gates=1).gates) == 1
    assert not destination.snapshot(max_gates=0).gates


def test_snapshot_in_outage_is_down_with_open_breaker() -> None:
    scenario = run_scenario("2s submit a s 7", "+10ms connect_failed a")
    (gate,) = scenario.policy.destinations[7].snapshot().gates
    assert gate.down
    assert gate.breaker is BreakerState.OPEN
    assert gate.concurrency_limit == 0


def test_snapshot_shows_retry_after_time() -> None:
    scenario = run_scenario("0s submit a s 7", "+10ms overloaded a retry_after=800ms")
    (gate,) = scenario.policy.destinations[7].snapshot().gates
    assert gate.retry_after_until == 810_000
