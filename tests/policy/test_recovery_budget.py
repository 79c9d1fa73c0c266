"""The calls of a fleet to a destination directly after its outage, and their limit
(ashpath/emulator/recovery_budget.py). `python -m benchmarks.slow_start_budget` runs all cases.
"""

from __future__ import annotations

from collections.abc import Iterable

import pytest
from support.fleet import RestartMethod
from support.recovery_cases import OUTAGES_S, SENDERS, RecoveryCase, drawn_cases
from support.sites import SITE_NAMES

SHORT_OUTAGES_S = [outage_s for outage_s in OUTAGES_S if outage_s < 6]
CASES_DRAWN = {6.0: 3, 20.0: 3, 90.0: 1}  # by length of the outage; a long one takes long to simulate


def cases_over_limit(cases: Iterable[RecoveryCase]) -> list[str]:
    over = []
    for case in cases:
        calls, limit = case.fleet().run().first_window()
        if calls > limit:
            over.append(f"{case}: {calls} calls, {limit:.1f} allowed")
    return over


@pytest.mark.parametrize("outage_s", CASES_DRAWN)
@pytest.mark.parametrize("senders", SENDERS)
@pytest.mark.parametrize("site", SITE_NAMES)
def test_calls_stay_within_budget_after_long_outage(site: str, senders: int, outage_s: float) -> None:
    """Kinds of outage, restarts of half of the senders, traffic and capacities are drawn."""
    assert not cases_over_limit(drawn_cases(site, senders, outage_s, CASES_DRAWN[outage_s]))


def test_calls_stay_within_budget_after_short_outage() -> None:
    """The same for outages that may end before the policy of every sender can know of them."""
    cases = [
        case
        for site in SITE_NAMES
        for senders in SENDERS
        for outage_s in SHORT_OUTAGES_S
        for case in drawn_cases(site, senders, outage_s, count=2)
    ]
    assert not cases_over_limit(cases)


def test_calls_stay_within_budget_after_kill_in_silent_outage() -> None:
    """A sender that is killed in a silent outage, late enough to have seen time-outs."""
    cases = [
        RecoveryCase(site, senders, 6.0, True, RestartMethod.KILL, uneven, False, 40.0, seed)
        for site in SITE_NAMES
        for senders in (3, 30)
        for uneven in (False, True)
        for seed in (1, 2, 3)
    ]
    assert not cases_over_limit(cases)


@pytest.mark.parametrize("senders", [3, 8, 20])
@pytest.mark.parametrize("site", SITE_NAMES)
def test_calls_stay_within_budget_after_refusals_too_short_for_a_failure_run(site: str, senders: int) -> None:
    """Guards against a breaker that closes without slow start: while it is open, an outage of 2.5 s has too
    few failures, and all senders together sent half again the limit.
    """
    cases = [
        RecoveryCase(site, senders, 2.5, False, None, uneven, False, 40.0, seed)
        for uneven in (False, True)
        for seed in (1, 2, 3)
    ]
    assert not cases_over_limit(cases)


@pytest.mark.parametrize("senders", [1, 3, 8, 30])
@pytest.mark.parametrize("site", SITE_NAMES)
def test_both_processes_of_hot_upgrades_stay_within_budget_of_one(site: str, senders: int) -> None:
    """Guards against two processes of one sender that each use its whole budget."""
    cases = [
        RecoveryCase(site, senders, outage_s, False, RestartMethod.HOT_UPGRADE, uneven, False, capacity, seed)
        for outage_s in (6.0, 20.0)
        for uneven in (False, True)
        for capacity in (6.0, 40.0)
        for seed in (1, 2)
    ]
    assert not cases_over_limit(cases)
