"""The limit of calls to a recovering destination, by figures that were computed by hand."""

from __future__ import annotations

import pytest

from ashpath.emulator.recovery_budget import allowed_calls, recovery_budget


def test_budget_is_rate_times_multiple_times_duration() -> None:
    assert recovery_budget(2.0, 3.0, 1.5) == 9.0


@pytest.mark.parametrize(
    ("budget", "limit"), [(1, 7), (4, 13), (9, 21), (25, 43), (36, 50), (64, 82), (100, 122)]
)
def test_tolerance_is_two_deviations_or_three_below_thirty_calls(budget: float, limit: float) -> None:
    assert allowed_calls(budget) == limit


def test_tolerance_changes_at_thirty_calls() -> None:
    assert allowed_calls(29.99) == pytest.approx(49.42, abs=0.01)
    assert allowed_calls(30) == pytest.approx(42.95, abs=0.01)
