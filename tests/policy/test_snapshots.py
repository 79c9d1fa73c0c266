"""How destinations stand, as the status API and the metrics see them."""

from __future__ import annotations

from support.scenario import Scenario

from ashpath.core.snapshots import BreakerState
from ashpath.policy.delivery_policy import DeliveryPolicy


def played(*lines: str) -> Scenario:
    scenario = Scenario(DeliveryPolicy)
    for line in lines:
        scenario.step(line.split())
    return scenario


def test_a_destination_with_a_call_in_flight() -> None:
    scenario = played("endpoints x1 x2 : 7", "0s submit a b s 7")
    snapshot = scenario.policy.destinations[7].snapshot()
    (gate,) = snapshot.gates
    assert (snapshot.number, snapshot.endpoints, snapshot.unfinished_messages) == (7, 2, 2)
    assert (gate.route, gate.concurrency_limit, gate.in_flight) == ("", 1, 1)
    assert gate.breaker is BreakerState.CLOSED


def test_routes_have_the_names_of_their_endpoints() -> None:
    scenario = played("kind per_endpoint", "endpoints x1 x2 : 7", "0s pass")
    destination = scenario.policy.destinations[7]
    assert {gate.route for gate in destination.snapshot().gates} == {"x1", "x2"}
    assert len(destination.snapshot(max_gates=1).gates) == 1
    assert not destination.snapshot(max_gates=0).gates


def test_an_outage() -> None:
    scenario = played("2s submit a s 7", "+10ms connect_failed a")
    (gate,) = scenario.policy.destinations[7].snapshot().gates
    assert gate.down
    assert gate.breaker is BreakerState.OPEN
    assert gate.concurrency_limit == 0


def test_a_retry_after() -> None:
    scenario = played("0s submit a s 7", "+10ms overloaded a retry_after=800ms")
    (gate,) = scenario.policy.destinations[7].snapshot().gates
    assert gate.retry_after_until == 810_000
