"""Requests of a scenario's clients, in simulated time or on loopback."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(eq=False, slots=True)
class ClientRequest:
    """One request, submitted once, and again after each rejection until its deadline.

    Each submission is a separate message with the same id and idempotency key. Times are in microseconds of
    the run's clock.
    """

    id: str
    traffic_class: int
    destination: int
    ordering_key: int | None
    created_at: int
    deadline_at: int
    span: int
    """Index of the scenario's span in which it was created."""
    idempotency_key: str = field(init=False)
    resubmissions: int = 0
    last_outcome: str = "never sent"
    """Outcome of its latest attempt, for the table of causes of loss."""

    def __post_init__(self) -> None:
        self.idempotency_key = "k" + self.id
