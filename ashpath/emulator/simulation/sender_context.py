"""The shared context of simulated senders, and their rejections of requests."""

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
    """Receives the final outcomes of messages that a sender accepted."""

    def delivered(self, request: ClientRequest) -> None:
        """Records the delivery of a request."""

    def message_ended(self, request: ClientRequest, outcome: FinalOutcome, retry_after: int) -> None:
        """Handles the end of a rejected or failed message. `retry_after`: microseconds, 0 for none."""


@dataclass(frozen=True, slots=True)
class Rejection:
    """The response to a submission whose message was not accepted, or ended in the batch that submitted it.

    `retry_after` is in microseconds, 0 for none.
    """

    outcome: FinalOutcome
    retry_after: int


@dataclass(frozen=True, slots=True)
class SenderContext:
    """The values and objects that all senders of a run share."""

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
