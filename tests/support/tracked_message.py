"""Messages that `PolicyHarness` tracks to check the rules, and what outcomes say of them."""

from __future__ import annotations

from dataclasses import dataclass

from ashpath.core.interface import AttemptOutcome, TrafficClassSettings

NEVER_RAN = (
    AttemptOutcome.OVERLOADED,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.CONNECTION_TABLE_FULL,
    AttemptOutcome.NOT_SENT,
)
MAY_STILL_RUN = (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECTION_RESET, AttemptOutcome.CANCELLED)


@dataclass
class TrackedMessage:
    """The state of a message as the rules need it."""

    traffic_class: TrafficClassSettings
    destination: int
    ordering_key: int | None
    deadline_at: int
    endpoint_id: str | None = None
    """The endpoint of the attempt in flight; None if no attempt is."""
    attempts: int = 0
    started_at: int = 0
    """Start of the latest attempt."""
    due_at: int = 0
    """Time at which the latest attempt times out."""
    first_run_at: int | None = None
    """Start of the first attempt that may have run; None if no attempt may have."""
    first_run_endpoint: str = ""
    finished: bool = False
