"""Faults of a destination. Several at once compose: factors multiply, shares add, and what is silent is
silent whatever else is wrong with it."""

from __future__ import annotations

from enum import Enum


class Fault(Enum):
    """What may be wrong with a destination. `amount` says how much, where there is a how much.

    The values are the names in scenario files.
    """

    SILENT = "silent"
    """Nothing is answered, nothing runs; open connections stay open."""
    HUNG = "hung"
    """Calls come in and wait, and run as the fault ends."""
    DOWN = "down"
    """Connections are refused, open ones reset."""
    REJECTING = "shut"
    """Every call is rejected as overload at once."""
    SLOW = "slow"
    """A call takes `amount` times as long."""
    ERRORS = "errors"
    """A share of calls fails fast, before an effect."""
    ERRORS_AFTER = "errors-after"
    """A share of calls fails after its effect."""
    LOST_RESPONSES = "lost"
    """A share of the responses never comes, though the call ran."""
    RESETS = "resets"
    """A share of the calls is reset, half of them after they ran."""
    RATE_LIMIT = "limit"
    """The rate limit is `amount` times what it was."""


OUTAGE_FAULTS = (Fault.SILENT, Fault.HUNG, Fault.DOWN, Fault.REJECTING)


class ActiveFaults:
    """The faults that are on, and what they come to together.

    Shares of errors begin at the destination's own.
    """

    def __init__(self, error_share: float, error_after_share: float) -> None:
        self._base_error_share = error_share
        self._base_error_after_share = error_after_share
        self._active: list[tuple[Fault, float]] = []
        self._recompute()

    def add(self, fault: Fault, amount: float) -> None:
        """Puts a fault on."""
        self._active.append((fault, amount))
        self._recompute()

    def remove(self, fault: Fault, amount: float) -> None:
        """Takes off a fault that was put on with the same amount."""
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
