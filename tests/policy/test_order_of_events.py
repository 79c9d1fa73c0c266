"""The events of one batch, in every order, break no rule."""

from __future__ import annotations

from collections.abc import Callable
from itertools import permutations

import pytest
from msgspec.structs import replace
from support.policy_events import PolicyEvent, attempt_finished, timer_fired
from support.scenario import Scenario
from support.tracked_message import TrackedMessage

from ashpath.core.interface import AttemptOutcome, EndpointStatus
from ashpath.core.time_units import SECOND
from ashpath.policy.delivery_policy import DeliveryPolicy

RETRY_AFTER = 2 * SECOND

# Events of one batch. Message `a` is in flight to x1, and the other messages have the same ordering key. The
# batch takes place 1 s after the submissions, as the latency objectives and deduplication windows end.
EVENTS: dict[str, Callable[[Scenario], PolicyEvent]] = {
    "timed out": lambda scenario: attempt_finished(
        scenario.ids["a"], AttemptOutcome.TIMED_OUT, 0, False, None
    ),
    "overloaded": lambda scenario: attempt_finished(
        scenario.ids["a"], AttemptOutcome.OVERLOADED, RETRY_AFTER, False, None
    ),
    "message timer": lambda scenario: timer_fired(f"e{scenario.ids['b']}"),
    "destination timer": lambda scenario: timer_fired("d7"),
    "drain": lambda scenario: lambda policy: policy.update_endpoints(
        [replace(scenario.endpoints["x1"], status=EndpointStatus.DRAINING)], complete=False
    ),
    "remove": lambda scenario: lambda policy: policy.update_endpoints(
        [scenario.endpoints["x2"]], complete=True
    ),
    "list": lambda scenario: scenario.complete_list(),
    "detach": lambda scenario: lambda policy: policy.set_detached("x1", detached=True),
    "retry after": lambda scenario: lambda policy: policy.retry_after_received(
        7, "x1", scenario.now + RETRY_AFTER
    ),
    "disconnect": lambda scenario: lambda policy: policy.client_disconnected(scenario.ids["b"]),
}


@pytest.mark.parametrize("kind", ["kind", "kind per_endpoint"])
@pytest.mark.parametrize("traffic_class", ["idempotent", "deduplicated window=1s ordered", "at_most_once"])
def test_batch_events_in_any_order_keep_the_rules(kind: str, traffic_class: str) -> None:
    """Guards against rules that hold only in some orders of events; the harness checks each action."""
    for names in permutations(EVENTS, 3):
        if {"timed out", "overloaded"} <= set(names):
            continue  # a call has one outcome
        scenario = Scenario(DeliveryPolicy)
        for line in (
            f"class s {traffic_class} objective=1s deadline=4s",
            kind,
            "endpoints x1 x2 : 7",
            "0s submit a b c d s 7 key=1",
            "+1s pass",
        ):
            scenario.step(line.split())
        if scenario.messages[scenario.ids["a"]].endpoint_id is not None:
            play_batch(scenario, names)


def play_batch(scenario: Scenario, names: tuple[str, ...]) -> None:
    """Plays the named events in one batch, in their order, and then runs the scenario for 6 s."""
    a = scenario.messages[scenario.ids["a"]]
    b = scenario.messages[scenario.ids["b"]]
    scenario.policy.begin_batch(scenario.now)
    for index, name in enumerate(names):
        if name == "disconnect" and b.finished:
            continue  # b has its final answer: its client cannot disconnect any more
        update_checker(scenario, a, name)
        if name == "list" and "detach" not in names[:index]:
            scenario.draining_since.pop("x1", None)
        EVENTS[name](scenario)(scenario.policy)
    scenario.policy.end_batch()
    if {"overloaded", "retry after"} & set(names):
        scenario.retry_after[scenario.route("x1")] = scenario.now + RETRY_AFTER
    scenario.run_to(scenario.now + 6 * SECOND)


def update_checker(scenario: Scenario, a: TrackedMessage, name: str) -> None:
    """Updates the checker's state for an event that bypasses the scenario's commands."""
    if name in ("timed out", "overloaded"):
        if name == "timed out" and a.first_run_at is None:
            a.first_run_at = a.started_at
            a.first_run_endpoint = str(a.endpoint_id)
            scenario.settling[1] = (scenario.now + scenario.settings.settle_time, scenario.ids["a"])
        a.endpoint_id = None
    elif name in ("drain", "remove", "detach"):
        scenario.draining_since["x1"] = scenario.now
    elif name == "disconnect":
        scenario.messages[scenario.ids["b"]].finished = True
