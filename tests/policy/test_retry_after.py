"""A Retry-After that arrives apart from the outcome of an attempt."""

from __future__ import annotations

import pytest
from support.scenario import Scenario

from ashpath.core.snapshots import GateSnapshot
from ashpath.core.time_units import SECOND
from ashpath.policy import tuning
from ashpath.policy.delivery_policy import DeliveryPolicy

DESTINATION = 7
WAIT = SECOND  # too short to announce an outage


def run_scenario(*lines: str) -> Scenario:
    scenario = Scenario(DeliveryPolicy)
    for line in lines:
        scenario.step(line.split())
    return scenario


def notice(scenario: Scenario, endpoint: str = "x1", duration: int = WAIT, *, follows: bool = False) -> int:
    policy = scenario.policy
    policy.begin_batch(scenario.now)
    return policy.retry_after_noticed(DESTINATION, endpoint, duration, outcome_follows=follows)


def gate(scenario: Scenario) -> GateSnapshot:
    return scenario.policy.destinations[DESTINATION].snapshot().gates[0]


def started_during_and_after_wait(scenario: Scenario, *lines: str) -> list[list[str]]:
    """Submits a message after the lines; returns the attempts until just before the end of the wait, and
    those until one second after it."""
    until = scenario.now + WAIT
    for line in lines:
        scenario.step(line.split())
    scenario.events.clear()
    scenario.step(["+0s", "submit", "later", "s", str(DESTINATION)])
    found = []
    for at in (until - 1000, until + SECOND):
        scenario.step([f"+{(at - scenario.now) // 1000}ms", "pass"])
        found.append([event for event in scenario.events if event.startswith("attempt")])
    return found


# A gate that was replaced, or forgotten with its destination, forgot the wait of the one before.
@pytest.mark.parametrize(
    "lines",
    [
        (),
        ("+10ms reload per_endpoint",),
        ("+10ms reload per_endpoint", "+10ms reload"),
        ("+10ms reload max_in_flight=4",),
        ("+10ms drain x1", "+10ms list x1"),
        ("+10ms remove x1", "+500ms list x1"),
        ("+10ms detach x1", "+10ms attach x1"),
    ],
    ids="-".join,
)
def test_wait_outlasts_changes_of_list_and_settings(lines: tuple[str, ...]) -> None:
    scenario = run_scenario("endpoints x1 : 7", "0s pass")
    notice(scenario)
    during, after = started_during_and_after_wait(scenario, *lines)
    assert during == []
    assert len(after) == 1


# The destination was deleted with its last endpoint, and its wait with it, if the endpoint was not known yet.
def test_wait_outlasts_destination_without_endpoints() -> None:
    scenario = run_scenario("endpoints x1 : 8", "0s pass")
    notice(scenario, "not listed yet", 5 * SECOND)
    scenario.step(["+2s", "pass"])
    assert gate(scenario).retry_after_until == 5 * SECOND
    scenario.step(["+10s", "pass"])
    assert DESTINATION not in scenario.policy.destinations


def test_wait_of_unlisted_endpoint_binds_routes_that_come_later() -> None:
    scenario = run_scenario("kind per_endpoint", "endpoints x1 : 7", "0s pass", "+1ms remove x1", "+20s pass")
    notice(scenario, "x9", WAIT)
    scenario.step(["+10ms", "list", "x1"])
    assert gate(scenario).retry_after_until == scenario.now - 10_000 + WAIT


def test_wait_is_lengthened_and_never_shortened() -> None:
    scenario = run_scenario("0s pass")
    for duration, expected in ((WAIT, WAIT), (WAIT // 2, WAIT), (2 * WAIT, 2 * WAIT)):
        notice(scenario, duration=duration)
        assert gate(scenario).retry_after_until == expected


def test_wait_without_outcome_binds_for_limited_time() -> None:
    scenario = run_scenario("0s pass")
    assert notice(scenario, duration=10**6 * SECOND) == tuning.MAX_UNCONFIRMED_RETRY_AFTER
    assert gate(scenario).retry_after_until == tuning.MAX_UNCONFIRMED_RETRY_AFTER


# A copy of a refusal is no second refusal.
def test_copies_change_neither_limit_nor_breaker_nor_rate() -> None:
    lines = [f"+1ms delivered m{number}" for number in range(4)]
    submits = ["0s submit m0 m1 m2 m3 s 7"]
    plain, noticed = run_scenario(*submits, *lines), run_scenario(*submits, *lines)
    for _ in range(5):
        notice(noticed, duration=SECOND // 2)
    for field in ("concurrency_limit", "in_flight", "breaker", "rate_limit", "delivery_rate", "down"):
        assert getattr(gate(noticed), field) == getattr(gate(plain), field), field


def test_attempt_that_is_connecting_is_not_valid_during_wait() -> None:
    scenario = run_scenario("0s submit a s 7")
    notice(scenario)
    scenario.step(["expect", "not_valid", "a"])


def test_trial_request_waits() -> None:
    scenario = run_scenario("2s submit a b s 7", "+10ms connect_failed a")
    scenario.events.clear()
    notice(scenario, duration=4 * SECOND)
    scenario.step(["+3900ms", "pass"])
    assert not [event for event in scenario.events if event.startswith("attempt")]


# All senders hear the same end, and would return to a cold destination together.
@pytest.mark.parametrize(("duration", "is_down"), [(6 * SECOND, True), (SECOND, False)])
def test_long_wait_without_outcome_begins_outage(duration: int, is_down: bool) -> None:
    scenario = run_scenario("settings sender_count=100", "0s pass")
    notice(scenario, duration=duration)
    assert gate(scenario).down is is_down


def test_outage_is_left_to_outcome_that_follows() -> None:
    scenario = run_scenario("0s pass")
    notice(scenario, duration=6 * SECOND, follows=True)
    assert not gate(scenario).down
