"""Events of one batch, in each order."""

from __future__ import annotations

from collections.abc import Callable
from itertools import permutations

import pytest
from msgspec.structs import replace
from support.policy_harness import PolicyEvent, TrackedMessage, attempt_finished, timer_fired
from support.scenario import Scenario

from ashpath.core.interface import AttemptOutcome, EndpointStatus
from ashpath.core.statistics import SECOND
from ashpath.policy.delivery_policy import DeliveryPolicy

RETRY_AFTER = 2 * SECOND

# Events that fall into one batch; `a` is in flight to x1, and its wait, deadline or grace ends just then.
EVENTS: dict[str, Callable[[Scenario], PolicyEvent]] = {
    "timed out": lambda played: attempt_finished(played.ids["a"], AttemptOutcome.TIMED_OUT, 0, False, None),
    "overloaded": lambda played: attempt_finished(
        played.ids["a"], AttemptOutcome.OVERLOADED, RETRY_AFTER, False, None
    ),
    "message timer": lambda played: timer_fired(f"e{played.ids['b']}"),
    "destination timer": lambda played: timer_fired("d7"),
    "drain": lambda played: lambda policy: policy.update_endpoints(
        [replace(played.endpoints["x1"], status=EndpointStatus.DRAINING)], whole=False
    ),
    "remove": lambda played: lambda policy: policy.update_endpoints([played.endpoints["x2"]], whole=True),
    "list": lambda played: played.whole_list(),
    "detach": lambda played: lambda policy: policy.set_detached("x1", detached=True),
    "retry after": lambda played: lambda policy: policy.retry_after_received(
        7, "x1", played.now + RETRY_AFTER
    ),
    "disconnect": lambda played: lambda policy: policy.client_disconnected(played.ids["b"]),
}


@pytest.mark.parametrize("kind", ["kind", "kind per_endpoint"])
@pytest.mark.parametrize("traffic_class", ["idempotent", "deduplicated window=1s ordered", "at_most_once"])
def test_events_of_one_batch_in_each_order(kind: str, traffic_class: str) -> None:
    """Whatever order a batch's events have, the rules hold to the end: the checker of scenarios looks on."""
    for names in permutations(EVENTS, 3):
        if {"timed out", "overloaded"} <= set(names):
            continue  # a call has one outcome
        played = Scenario(DeliveryPolicy)
        for line in (
            f"class s {traffic_class} objective=1s deadline=4s",
            kind,
            "endpoints x1 x2 : 7",
            "0s submit a b c d s 7 key=1",
            "+1s pass",
        ):
            played.step(line.split())
        if played.messages[played.ids["a"]].endpoint_id is not None:
            play_batch(played, names)


def play_batch(played: Scenario, names: tuple[str, ...]) -> None:
    a = played.messages[played.ids["a"]]
    b = played.messages[played.ids["b"]]
    played.policy.begin_batch(played.now)
    for at, name in enumerate(names):
        if name == "disconnect" and b.finished:
            continue  # it has its answer by now: its client cannot leave any more
        tell_checker(played, a, name)
        if name == "list" and "detach" not in names[:at]:
            played.draining_since.pop("x1", None)
        EVENTS[name](played)(played.policy)
    played.policy.end_batch()
    if {"overloaded", "retry after"} & set(names):
        played.retry_after[played.route("x1")] = played.now + RETRY_AFTER
    played.run_to(played.now + 6 * SECOND)


def tell_checker(played: Scenario, a: TrackedMessage, name: str) -> None:
    """What the checker has to know of an event."""
    if name in ("timed out", "overloaded"):
        if name == "timed out" and a.first_run_at is None:
            a.first_run_at = a.started_at
            a.first_run_endpoint = str(a.endpoint_id)
            played.settling[1] = (played.now + played.settings.settle_time, played.ids["a"])
        a.endpoint_id = None
    elif name in ("drain", "remove", "detach"):
        played.draining_since["x1"] = played.now
    elif name == "disconnect":
        played.messages[played.ids["b"]].finished = True
