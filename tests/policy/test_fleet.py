"""The calls of many senders together at a recovering destination (tests/support/fleet.py)."""

from __future__ import annotations

import pytest
from msgspec.structs import replace
from support.fleet import CUSTOMERS, Fleet
from support.scenario import Scenario

from ashpath.core.time_units import SECOND
from ashpath.policy.delivery_policy import DeliveryPolicy

RESTARTS = {"none": (), "amid": (40 * SECOND,), "before": (48 * SECOND,), "across": (49_700_000,)}


@pytest.mark.parametrize("restarts", RESTARTS)
@pytest.mark.parametrize("capacity", [3.0, 12.0])
@pytest.mark.parametrize("senders", [1, 3, 8, 20, 30])
@pytest.mark.parametrize("customer", CUSTOMERS)
def test_calls_of_all_senders_stay_within_recovering_capacity(
    customer: str, senders: int, capacity: float, restarts: str
) -> None:
    """Guards against overloading a recovering destination by the sum of all senders, each of which keeps its
    own bounds. A restart during the outage lost its state: 30 senders then sent five times the capacity.
    """
    for uneven in (False, True):
        fleet = Fleet(CUSTOMERS[customer], senders, capacity, uneven=uneven, restarts=RESTARTS[restarts])
        calls, allowed_calls = fleet.run().worst_window()
        assert calls <= allowed_calls, uneven
        assert fleet.calls, uneven


@pytest.mark.parametrize("customer", CUSTOMERS)
@pytest.mark.parametrize("senders", [3, 30])
def test_unanswered_calls_of_all_senders_stay_within_recovering_capacity(customer: str, senders: int) -> None:
    """The same where the destination accepts calls in the outage and never responds."""
    for restarts in ((), (40 * SECOND,), (45 * SECOND,)):
        fleet = Fleet(CUSTOMERS[customer], senders, 6.0, silent=True, restarts=restarts).run()
        calls, allowed_calls = fleet.worst_window()
        assert calls <= allowed_calls, restarts
        assert fleet.calls, restarts


def test_unbounded_fleet_exceeds_recovering_capacity() -> None:
    """Guards against a measure that never fails: without bounds the same fleet overloads the destination."""
    settings = replace(CUSTOMERS["load reports"], warm_up_time=10 * SECOND, overload_multiple=100.0)
    fleet = Fleet(settings, 20, 6.0)
    fleet.run()
    fleet.settings = replace(settings, overload_multiple=2.0)
    calls, allowed_calls = fleet.worst_window()
    assert calls > allowed_calls


def run_scenario(text: str) -> Scenario:
    scenario = Scenario(DeliveryPolicy)
    for line in text.splitlines():
        if words := line.split():
            scenario.step(words)
    return scenario


def test_untried_messages_stay_queued_after_restart() -> None:
    """Guards messages that were accepted before a restart. If a destination is down, or its rate unknown, the
    expected wait for a first call exceeds the time to the deadline; all were rejected without an attempt.
    """
    scenario = run_scenario("""
        settings sender_count=40 has_load_reports=0
        class s idempotent objective=1s deadline=9s
        2s submit a b c s 7
        +10ms connect_failed a
        expect log ailing
        +0s restart
        expect queued b c
        +2s pass
        expect queued b c
    """)
    opens_at = scenario.gate(7).opens_at(scenario.now)
    assert opens_at
    assert opens_at - scenario.now > 9 * SECOND  # longer than the time to their deadlines


def test_retry_after_past_deadline_rejects_restored_message() -> None:
    """Guards against keeping a restored message whose destination sent a Retry-After past the deadline."""
    run_scenario("""
        class s idempotent objective=1s deadline=6s
        0s submit a b s 7
        +0s restart
        expect attempt a
        +10ms overloaded a retry_after=9s
        expect rejected a
        +990ms pass
        expect rejected b
    """)


def test_unlisted_endpoint_with_call_in_flight_keeps_its_gate() -> None:
    """Guards Retry-Afters where endpoints are routes. An endpoint that is unlisted for long and listed again
    must keep its gate, as the call that is still in flight reports its outcome to that gate.
    """
    scenario = run_scenario("""
        class s idempotent objective=20s deadline=60s
        kind per_endpoint
        endpoints x1 : 7
        0s submit a s 7
        expect attempt a
        +10ms remove x1
    """)
    known = scenario.policy.destinations[7].known_endpoints
    gate = known["x1"].gate
    scenario.messages[scenario.ids["a"]].due_at = 60 * SECOND  # a long time-out
    scenario.run_to(15 * SECOND)
    scenario.step(["+0s", "list", "x1"])
    assert known["x1"].gate is gate
    scenario.step(["+0s", "overloaded", "a", "retry_after=3s"])
    scenario.step(["+10ms", "submit", "b", "s", "7"])
    scenario.expect("queued b")
