"""Faults of a destination. Concurrent faults combine: factors multiply and shares add. A destination
that is down refuses connections even while it is silent. A silent destination ignores the other faults."""

from __future__ import annotations

from enum import Enum


class Fault(Enum):
    """The kinds of faults of a destination.

    `amount` is a factor for SLOW and RATE_LIMIT, and a share of the calls or responses, as a fraction of 1,
    for ERRORS, ERRORS_AFTER, LOST_RESPONSES and RESETS. The other faults ignore the amount.

    The values are the names in scenario files.
    """

    SILENT = "silent"
    """Calls are neither answered nor executed; open connections stay open."""
    HUNG = "hung"
    """Calls are accepted and wait; they are executed when the fault ends."""
    DOWN = "down"
    """New connections are refused and open ones are reset."""
    REJECTING = "shut"
    """Every call is rejected at once with an overload response."""
    SLOW = "slow"
    """A call takes `amount` times as long."""
    ERRORS = "errors"
    """A share of the calls fails fast, before any effect."""
    ERRORS_AFTER = "errors-after"
    """A share of the calls fails after its effect."""
    LOST_RESPONSES = "lost"
    """A share of the responses is never sent, although the calls were executed."""
    RESETS = "resets"
    """A share of the calls is reset, half of them after their execution."""
    RATE_LIMIT = "limit"
    """The rate limit is multiplied by `amount`."""


OUTAGE_FAULTS = (Fault.SILENT, Fault.HUNG, Fault.DOWN, Fault.REJECTING)


class ActiveFaults:
    """The active faults of a destination and their combined effect.

    The error shares start from those of the destination's properties.
    """

    def __init__(self, error_share: float, error_after_share: float) -> None:
        self._base_error_share = error_share
        self._base_error_after_share = error_after_share
        self._active: list[tuple[Fault, float]] = []
        self._recompute()

    def add(self, fault: Fault, amount: float) -> None:
        """Activates a fault."""
        self._active.append((fault, amount))
        self._recompute()

    def remove(self, fault: Fault, amount: float) -> None:
        """Deactivates a fault that was activated with the same amount. Raises ValueError if there is none."""
        self._active.remove((fault, amount))
        self._recompute()

    def _recompute(self) -> None:
        kinds = {fault for fault, _ in self._active}
        self.silent = Fault.SILENT in kinds
        self.hung = Fault.HUNG in kinds
        self.down = Fault.DOWN in kinds
        self.rejecting = Fault.REJECTING in kinds
        self.has_outage = self.silent or self.hung or self.down or self.rejecting
        self.service_time_factor = self._product(Fault.SLOW)
        self.rate_limit_factor = self._product(Fault.RATE_LIMIT)
        self.error_share = self._sum(Fault.ERRORS, self._base_error_share)
        self.error_after_share = self._sum(Fault.ERRORS_AFTER, self._base_error_after_share)
        self.lost_response_share = self._sum(Fault.LOST_RESPONSES, 0.0)
        self.reset_share = self._sum(Fault.RESETS, 0.0)
        shares = self.error_share + self.error_after_share + self.lost_response_share + self.reset_share
        self.has_failure_share = shares > 0

    def _product(self, wanted: Fault) -> float:
        factor = 1.0
        for fault, amount in self._active:
            if fault is wanted:
                factor *= amount
        return factor

    def _sum(self, wanted: Fault, base: float) -> float:
        share = base
        for fault, amount in self._active:
            if fault is wanted:
                share += amount
        return share
