"""The calls of a fleet to a destination directly after its outage, and their limit
(ashpath/emulator/recovery_budget.py). `python -m benchmarks.slow_start_budget` runs all cases.
"""

from __future__ import annotations

from collections.abc import Iterable

import pytest
from support.fleet import RestartMethod
from support.recovery_cases import RecoveryCase
from support.sites import SITE_NAMES


def cases_over_limit(cases: Iterable[RecoveryCase]) -> list[str]:
    over = []
    for case in cases:
        calls, limit = case.fleet().run().first_window()
        if calls > limit:
            over.append(f"{case}: {calls} calls, {limit:.1f} allowed")
    return over


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
