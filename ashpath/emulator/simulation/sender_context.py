"""What a simulated sender is handed, and what it answers its clients."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ashpath.emulator.client_request import ClientRequest
from ashpath.emulator.final_outcomes import FinalOutcome
from ashpath.emulator.invariant_checker import InvariantChecker
from ashpath.emulator.policy_under_test import PolicyFactory
from ashpath.emulator.scenario.schema import Scenario
from ashpath.emulator.scoreboard import Scoreboard
from ashpath.emulator.simulation.event_queue import EventQueue
from ashpath.emulator.simulation.network import Network


class RequestOwner(Protocol):
    """Whom a sender tells of the end of a message that it had accepted."""

    def delivered(self, request: ClientRequest) -> None:
        """The request is done."""

    def message_ended(self, request: ClientRequest, outcome: FinalOutcome, retry_after: int) -> None:
        """The message was rejected or failed; 0: no Retry-After."""


@dataclass(frozen=True, slots=True)
class Rejection:
    """The answer to a submission that was not accepted, or ended in the batch that it came in."""

    outcome: FinalOutcome
    retry_after: int


@dataclass(frozen=True, slots=True)
class SenderContext:
    """What all senders of a run share."""

    scenario: Scenario
    seed: int
    idle_timeout: int
    """Microseconds after which an endpoint closes an idle connection."""
    policy_factory: PolicyFactory
    events: EventQueue
    network: Network
    clients: RequestOwner
    checker: InvariantChecker
    scoreboard: Scoreboard
