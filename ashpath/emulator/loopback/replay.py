"""Replays the observations of a finished loopback run to the invariant checker and scoreboard, by time."""

from __future__ import annotations

from dataclasses import dataclass

from ashpath.core.interface import AttemptOutcome, PolicySettings, RetrySafety
from ashpath.core.time_units import SECOND
from ashpath.emulator.client_request import ClientRequest
from ashpath.emulator.effects import check_effects
from ashpath.emulator.final_outcomes import FinalOutcome
from ashpath.emulator.invariant_checker import InvariantChecker
from ashpath.emulator.loopback.clients_job import ClientEvent, ClientEventKind, request_id
from ashpath.emulator.loopback.observations import (
    CallArrived,
    CallEnded,
    EndpointReported,
    Observation,
    OutageBegan,
    SenderKilled,
)
from ashpath.emulator.scoreboard import DeliveryValue, Scoreboard
from ashpath.emulator.topology import Topology

SLACK = 50_000  # microseconds that the checker allows for differences of clocks and the transit of a call
DEADLINE_SLACK = 6 * SLACK
SUBMISSION_TIMEOUT = 2 * SECOND  # microseconds within which clients expect the response to a submission
CHECK_AFTER_END = 60 * SECOND  # microseconds from the last observation to the time of the final checks


def checker_for_sockets(settings: PolicySettings, watched: str) -> InvariantChecker:
    """Returns an invariant checker with tolerances for sockets and clocks; `watched`: a message to trace."""
    return InvariantChecker(
        settings.drain_grace + SLACK,
        settings.settle_time - SLACK,
        watched,
        retry_after_slack=2 * SLACK,
        keeps_ended=True,
    )


@dataclass(frozen=True, slots=True)
class AcceptedMessage:
    """The sender that accepted a message, and a number that is unique to the message."""

    sender: int
    number: int


@dataclass(frozen=True, slots=True)
class UnansweredSubmission:
    """Time and sender of a submission to which no response came."""

    at: int
    sender: int


class Replay:
    """One pass over the observations of a run."""

    def __init__(
        self,
        settings: PolicySettings,
        value: DeliveryValue,
        topology: Topology,
        requests: dict[str, ClientRequest],
        scoreboard: Scoreboard,
        checker: InvariantChecker,
    ) -> None:
        self._traffic_classes = settings.traffic_classes
        self._value = value
        self._topology = topology
        self._requests = requests
        self._scoreboard = scoreboard
        self._checker = checker
        self._accepted: dict[str, AcceptedMessage] = {}
        self._ended_requests: set[str] = set()
        self._unanswered: dict[str, list[UnansweredSubmission]] = {}
        self._kills: dict[int, list[SenderKilled]] = {}  # by sender
        self._delivered_at: dict[str, int] = {}

    def run(self, observations: list[Observation], now: int) -> None:
        """Replays the observations, which are sorted by time, and completes the final checks."""
        for observation in observations:
            self._report(observation)
        last = max((observation.at for observation in observations), default=0)
        self._checker.run_ended(last + CHECK_AFTER_END)
        check_effects(self._checker, now, self._topology.destinations, self._traffic_classes)
        self._scoreboard.close(self._checker)

    def _report(self, observation: Observation) -> None:
        match observation:
            case ClientEvent():
                self._client_event(observation)
            case EndpointReported(at, sender, endpoint, listed):
                self._checker.endpoint_listed(at, sender, endpoint, listed)
            case CallArrived():
                self._call_arrived(observation)
            case CallEnded():
                self._call_ended(observation)
            case SenderKilled(sender=sender):
                self._kills.setdefault(sender, []).append(observation)
            case OutageBegan(at, destination):
                self._checker.outage_began(at, destination)

    # Clients.

    def _client_event(self, event: ClientEvent) -> None:
        request = self._requests[request_id(event.message_id)]
        match event.kind:
            case ClientEventKind.UNANSWERED:
                submission = UnansweredSubmission(event.at, event.sender)
                self._unanswered.setdefault(event.message_id, []).append(submission)
            case ClientEventKind.REQUESTED:
                self._scoreboard.requested(request, self._value(request, request.created_at))
            case ClientEventKind.ANSWERED:
                self._answered(event, request)
            case ClientEventKind.GIVEN_UP:
                self._given_up(event, request)
            case ClientEventKind.REJECTED:
                self._message_ended(event, request, FinalOutcome.REJECTED)
            case ClientEventKind.FAILED:
                self._message_ended(event, request, FinalOutcome.FAILED)

    def _answered(self, event: ClientEvent, request: ClientRequest) -> None:
        message = AcceptedMessage(event.sender, len(self._accepted))
        self._accepted[event.message_id] = message
        self._checker.accepted(
            event.at,
            message.sender,
            message.number,
            event.message_id,
            request.destination,
            self._traffic_classes[request.traffic_class],
            request.ordering_key,
            request.deadline_at + DEADLINE_SLACK,
        )

    def _given_up(self, event: ClientEvent, request: ClientRequest) -> None:
        if request.id not in self._ended_requests:
            self._ended_requests.add(request.id)
            failed = request.last_outcome == FinalOutcome.FAILED
            outcome = FinalOutcome.FAILED if failed else FinalOutcome.REJECTED
            self._scoreboard.undelivered(event.at, request, outcome)

    def _message_ended(self, event: ClientEvent, request: ClientRequest, outcome: FinalOutcome) -> None:
        message = self._accepted.get(event.message_id)
        if message is None:
            return
        if outcome is FinalOutcome.FAILED:
            request.last_outcome = outcome.value
        if self._is_ambiguous(event.message_id, message):
            self._checker.abandoned(event.at, message.sender, message.number)
        else:
            self._checker.final_answer(event.at, message.sender, message.number, outcome)

    # Calls.

    def _call_arrived(self, call: CallArrived) -> None:
        message = self._accepted.get(call.message_id)
        if message is not None and not self._is_ambiguous(call.message_id, message):
            self._scoreboard.attempt_sent(call.at)
            route = self._route(call.endpoint)
            self._checker.attempt_sent(call.at, message.sender, message.number, call.endpoint, route)

    def _call_ended(self, call: CallEnded) -> None:
        message = self._accepted.get(call.message_id)
        if message is None:
            return
        request = self._requests[request_id(call.message_id)]
        delivered = call.outcome is AttemptOutcome.DELIVERED
        self._scoreboard.attempt_finished(call.at, call.outcome)
        request.last_outcome = call.outcome.value
        ambiguous = self._is_ambiguous(call.message_id, message)
        if delivered:
            self._delivered_at.setdefault(call.message_id, call.at)
        if not ambiguous:
            outcome = call.outcome.value
            self._checker.attempt_finished(call.at, message.sender, message.number, outcome, call.arrived_at)
        elif delivered:
            self._checker.abandoned(call.at, message.sender, message.number)
        if call.retry_after:
            route = self._route(call.endpoint)
            self._checker.retry_after_received(call.at, message.sender, route, call.retry_after)
        if delivered and request.id not in self._ended_requests:
            self._ended_requests.add(request.id)
            self._scoreboard.delivered(call.at, request, self._value(request, call.at))

    def _is_ambiguous(self, message_id: str, message: AcceptedMessage) -> bool:
        """Whether the observations leave open which of two incarnations or senders sends the message.

        This is so if a sender was killed while its response to the client, or a destination's response, was
        in transit. The sender's next incarnation may then repeat the message, although the client has
        submitted the request to another sender, or the message is already delivered.
        """
        request = self._requests[request_id(message_id)]
        if self._traffic_classes[request.traffic_class].retry_safety is RetrySafety.AT_MOST_ONCE:
            return False
        delivered_at = self._delivered_at.get(message_id)
        if delivered_at is not None:
            kills = self._kills.get(message.sender, ())
            if any(kill.at - SLACK < delivered_at < kill.ended_at + SLACK for kill in kills):
                return True
        return any(
            kill.at - SUBMISSION_TIMEOUT < submission.at < kill.ended_at + SLACK
            for submission in self._unanswered.get(message_id, ())
            for kill in self._kills.get(submission.sender, ())
        )

    def _route(self, endpoint: str) -> str:
        return self._topology.route(endpoint, self._topology.destination_of(endpoint))
