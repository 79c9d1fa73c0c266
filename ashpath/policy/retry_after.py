"""Decides what a Retry-After does that arrives apart from the outcome of an attempt.

A response tells how its destination fares even where it may belong to another request, or to none. Its
Retry-After lengthens the wait in force and never shortens it. It counts neither as a refusal nor as a
failure: limit, breaker and rate change with outcomes alone, so that a response that comes twice cannot halve
a limit twice. Load reports of such responses are not used, as a copy is older than the last outcome.

The source (ADR 0122) has one connection a call, and hears no response without an outcome. Times are
microseconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ashpath.policy import tuning
from ashpath.policy.failure_classification import announces_outage

if TYPE_CHECKING:
    from ashpath.policy.gate import Gate


def binding_time(retry_after: int) -> int:
    """Returns for how long a Retry-After without an outcome binds. It may be forged, or broken."""
    return min(retry_after, tuning.MAX_UNCONFIRMED_RETRY_AFTER)


def lengthen(gate: Gate, until: int, *, outcome_follows: bool) -> None:
    """Lengthens the wait of a gate. A wait that announces an outage begins it, unless an outcome follows,
    which decides the same."""
    if until <= gate.retry_after_until:
        return
    gate.retry_after_until = until
    if not outcome_follows and announces_outage(gate):
        gate.outage.begin(until)
        gate.report_mode_change("ailing: Retry-After apart from an outcome")
