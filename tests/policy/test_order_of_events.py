"""Events of one batch, in each order."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from itertools import permutations
from typing import Any

import pytest
from support import scenario

from ashpath.core.interface import AttemptOutcome, EndpointStatus
from ashpath.core.statistics import SECOND
from ashpath.policy.delivery_policy import DeliveryPolicy

WAIT, GRACE = 2 * SECOND, SECOND // 2


# News that fall into one turn, by name; `a` is out at x1 and its wait, deadline or grace ends just then.
NEWS: dict[str, Callable[[scenario.Scene], tuple[Any, ...]]] = {
    "outcome": lambda one: ("attempt_finished", one.ids["a"], AttemptOutcome.TIMED_OUT, 0, False, None),
    "refused": lambda one: ("attempt_finished", one.ids["a"], AttemptOutcome.OVERLOADED, WAIT, False, None),
    "wake": lambda one: ("timer_fired", f"e{one.ids['b']}"),
    "look": lambda one: ("timer_fired", "d7"),
    "drain": lambda one: (
        "update_endpoints",
        [replace(one.rows["x1"], status=EndpointStatus.DRAINING)],
        False,
    ),
    "gone": lambda one: ("update_endpoints", [one.rows["x2"]], True),
    "back": lambda one: ("update_endpoints", list(one.rows.values()), True),
    "held": lambda one: ("set_detached", "x1", True),
    "wait": lambda one: ("retry_after_received", 7, "x1", one.now + WAIT),
    "withdrawn": lambda one: ("client_disconnected", one.ids["b"]),
}


@pytest.mark.parametrize("kind", ["plain", "apart"])
@pytest.mark.parametrize("track", ["repeatable", "tagged window=1s ordered", "once-only"])
def test_news_of_one_turn_in_each_order(kind: str, track: str) -> None:
    """Whatever order a turn's news have, the rules hold to the end: the checker of scenarios looks on."""
    for names in permutations(NEWS, 3):
        if {"outcome", "refused"} <= set(names):
            continue  # a call has one outcome
        one = scenario.Scene(DeliveryPolicy)
        for line in (
            f"track s {track} promise=1s cutoff=4s",
            f"kind {kind}",
            "at x1 x2 : 7",
            "0s take a b c d s 7 key=1",
            "+1s pass",
        ):
            one.step(line.split())
        a = one.held[one.ids["a"]]
        if a.out is None:
            continue
        one.sender.begin_batch(one.now)
        for at, name in enumerate(names):
            if name == "withdrawn" and one.held[one.ids["b"]].over:
                continue  # it has its end by now: its client cannot leave any more
            known(one, a, name)
            if name == "back" and "held" not in names[:at]:
                one.dropped_at.pop("x1", None)
            what, *told = NEWS[name](one)
            getattr(one.sender, what)(*told)
        one.sender.end_batch()
        if {"refused", "wait"} & set(names):
            one.waits[one.route("x1")] = one.now + WAIT
        one.run_to(one.now + 6 * SECOND)


def known(one: scenario.Scene, a: scenario.Held, name: str) -> None:
    """What the checker has to know of a piece of news."""
    if name in ("outcome", "refused"):
        if name == "outcome" and a.risk_from is None:
            a.risk_from, a.risk_at = a.sent_at, str(a.out)
            one.rests[1] = (one.now + one.terms.settle_time, one.ids["a"])
        a.out = None
    elif name in ("drain", "gone", "held"):
        one.dropped_at["x1"] = one.now
    elif name == "withdrawn":
        one.held[one.ids["b"]].over = True
