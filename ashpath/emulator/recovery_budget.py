"""The number of calls that a destination may receive from all senders together directly after an outage.

The budget of a window is the load that the destination sustains in it. Independent senders exceed it by
chance, hence a tolerance in standard deviations of a Poisson process, of which one more is allowed if the
budget is small.
"""

from __future__ import annotations

from math import sqrt

SMALL_BUDGET_CALLS = 30  # a smaller budget gets a wider statistical tolerance
TOLERANCE = 2  # in standard deviations, and in calls beside them
SMALL_BUDGET_TOLERANCE = 3


def recovery_budget(rate: float, overload_multiple: float, overload_s: float) -> float:
    """Returns the budget of `overload_s` seconds at a destination that sustains `rate` calls per second."""
    return rate * overload_multiple * overload_s


def allowed_calls(budget: float) -> float:
    """Returns the number of calls that are allowed for the budget, with the tolerance for its size."""
    return with_tolerance(budget, SMALL_BUDGET_TOLERANCE if budget < SMALL_BUDGET_CALLS else TOLERANCE)


def with_tolerance(budget: float, tolerance: int) -> float:
    """Returns the budget plus `tolerance` standard deviations and as many calls."""
    return budget + tolerance * sqrt(budget) + tolerance
