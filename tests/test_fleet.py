"""What many senders send together to a destination that comes back cold (tests/rigs/fleet.py)."""

from __future__ import annotations

from dataclasses import replace

import pytest
from support import scenario
from support.fleet import CUSTOMERS, SECOND, Fleet

from ashpath.policy.delivery_policy import DeliveryPolicy

RESTARTS = {"none": (), "amid": (40 * SECOND,), "before": (48 * SECOND,), "across": (49_700_000,)}


@pytest.mark.parametrize("restarts", RESTARTS)
@pytest.mark.parametrize("capacity", [3.0, 12.0])
@pytest.mark.parametrize("senders", [1, 3, 20, 30])
@pytest.mark.parametrize("customer", CUSTOMERS)
def test_the_sum_of_all_senders_pushes_nothing_over(
    customer: str, senders: int, capacity: float, restarts: str
) -> None:
    """Guards the fleet: each sender alone is careful, and the sum is what counts. A restart within the outage
    forgot it: 30 senders then sent five times what the destination could do."""
    for uneven in (False, True):
        fleet = Fleet(CUSTOMERS[customer], senders, capacity, uneven=uneven, restarts=RESTARTS[restarts])
        calls, most = fleet.play().worst()
        assert calls <= most and fleet.calls, (uneven, calls, most)


@pytest.mark.parametrize("customer", CUSTOMERS)
@pytest.mark.parametrize("senders", [3, 30])
def test_silence_as_an_outage(customer: str, senders: int) -> None:
    """The same where nobody refuses: calls go out and nothing comes."""
    for restarts in ((), (40 * SECOND,), (45 * SECOND,)):
        fleet = Fleet(CUSTOMERS[customer], senders, 6.0, silent=True, restarts=restarts).play()
        calls, most = fleet.worst()
        assert calls <= most and fleet.calls, (restarts, calls, most)


def test_the_measure_can_fail() -> None:
    """With no guard at all the same fleet pushes it over."""
    terms = replace(CUSTOMERS["told"], warm_up_time=10 * SECOND, overload_multiple=100.0)
    fleet = Fleet(terms, 20, 6.0)
    fleet.play()
    fleet.terms = replace(terms, overload_multiple=2.0)
    calls, most = fleet.worst()
    assert calls > most


def scene(text: str) -> scenario.Scene:
    made = scenario.Scene(DeliveryPolicy)
    for line in text.splitlines():
        if words := line.split():
            made.step(words)
    return made


def test_what_a_restart_finds_untried_is_tried() -> None:
    """Guards what was taken on over a restart: where a destination is out, or its pace not known yet, the
    time to a first call was longer than what was left, and all was given up at once with no call."""
    made = scene("""
        terms senders=40 reports=0
        track s repeatable promise=1s cutoff=9s
        2s take a b c s 7
        +10ms noconnection a
        expect log ailing
        +0s restart
        expect held b c
        +2s pass
        expect held b c
    """)
    opens_at = made.sender.destinations[7].gate.opens_at(made.now)
    assert opens_at and opens_at - made.now > 9 * SECOND  # longer than they have


def test_a_wait_told_beyond_its_time_ends_it_at_once() -> None:
    """What a restart found is not kept for a destination that said when, and too late."""
    scene("""
        track s repeatable promise=1s cutoff=6s
        0s take a b s 7
        +0s restart
        expect shot a
        +10ms full a wait=9s
        expect bounced a
        +990ms pass
        expect bounced b
    """)


def test_an_endpoint_with_a_call_out_is_not_forgotten() -> None:
    """Guards waits where endpoints are routes: unlisted for long and listed again, its gate is the one that
    the outcome of the call that is still out tells."""
    made = scene("""
        track s repeatable promise=20s cutoff=60s
        kind apart
        at x1 : 7
        0s take a s 7
        expect shot a
        +10ms leave x1
    """)
    gate = made.sender.destinations[7].known["x1"].gate
    made.held[made.ids["a"]].due = 60 * SECOND  # its time-out is long
    made.run_to(15 * SECOND)
    made.step(["+0s", "list", "x1"])
    assert made.sender.destinations[7].known["x1"].gate is gate
    made.step(["+0s", "full", "a", "wait=3s"])
    made.step(["+10ms", "take", "b", "s", "7"])
    made.expect("held b")
