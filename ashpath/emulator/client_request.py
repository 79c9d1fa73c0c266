"""What a client of a scenario wants done, whichever clock plays the scenario."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(eq=False, slots=True)
class ClientRequest:
    """One piece of work: submitted once, and again after each rejection, until its deadline.

    Each submission is a message of its own; the id and the idempotency key are the same for all. Times are
    microseconds of the run's clock.
    """

    id: str
    traffic_class: int
    destination: int
    ordering_key: int | None
    created_at: int
    deadline_at: int
    span: int
    """Index of the scenario's span that it was created in."""
    idempotency_key: str = field(init=False)
    resubmissions: int = 0
    last_outcome: str = "never sent"
    """The outcome of its latest attempt, for the table of causes of loss."""

    def __post_init__(self) -> None:
        self.idempotency_key = "k" + self.id
