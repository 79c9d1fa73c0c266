"""What is seen during a run on loopback, in any order; each observation has its time in microseconds."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ashpath.core.interface import AttemptOutcome, EndpointRecord
from ashpath.emulator.destination.calls import CallResult, DestinationCall
from ashpath.emulator.loopback.clients_job import ClientEvent, ClientEventKind, request_id
from ashpath.emulator.run_clock import RunClock

OUTCOMES = {
    CallResult.OK: AttemptOutcome.DELIVERED,
    CallResult.ERROR: AttemptOutcome.ERROR,
    CallResult.OVERLOADED: AttemptOutcome.OVERLOADED,
}


@dataclass(frozen=True, slots=True)
class EndpointReported:
    """Service discovery reported to a sender that an endpoint is listed, or no longer is."""

    at: int
    sender: int
    endpoint: str
    listed: bool


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A call came in at a destination."""

    at: int
    message_id: str
    endpoint: str


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call ended at a destination, with this outcome for its sender."""

    at: int
    message_id: str
    endpoint: str
    outcome: AttemptOutcome
    arrived_at: int
    retry_after: int


@dataclass(frozen=True, slots=True)
class SenderKilled:
    """A sender was killed."""

    at: int
    sender: int


@dataclass(frozen=True, slots=True)
class OutageBegan:
    """A destination went into an outage."""

    at: int
    destination: int


Observation = ClientEvent | EndpointReported | CallArrived | CallEnded | SenderKilled | OutageBegan


class ObservationLog:
    """Grows with the run; `open_requests` is emptied as requests are delivered or given up.

    It is the observer of destination servers.
    """

    def __init__(self) -> None:
        self.open_requests: set[str] = set()
        self._observations: list[Observation] = []

    def add(self, observation: Observation) -> None:
        """Keeps it."""
        self._observations.append(observation)
        match observation:
            case ClientEvent(kind=ClientEventKind.GIVEN_UP, message_id=id_):
                self.open_requests.discard(id_)
            case CallEnded(outcome=AttemptOutcome.DELIVERED, message_id=id_):
                self.open_requests.discard(request_id(id_))

    def sorted_by_time(self) -> list[Observation]:
        """Those of one moment in the order they were seen."""
        return sorted(self._observations, key=lambda observation: observation.at)

    def move_to_run_start(self) -> None:
        """The run begins now: what was seen before is of its first moment."""
        self._observations = [
            observation if isinstance(observation, ClientEvent) else replace(observation, at=0)
            for observation in self._observations
        ]

    def call_arrived(self, at: int, endpoint: str, message_id: str) -> None:
        """A call has come in whole."""
        self.add(CallArrived(at, message_id, endpoint))

    def call_ended(
        self,
        at: int,
        endpoint: str,
        message_id: str,
        call: DestinationCall,
        arrived_at: int,
        *,
        was_answered: bool,
    ) -> None:
        """The response is written, or the caller has gone."""
        outcome = AttemptOutcome.TIMED_OUT
        retry_after = 0
        if was_answered:
            outcome = OUTCOMES.get(call.result, AttemptOutcome.CONNECTION_RESET)
            retry_after = call.retry_after
        self.add(CallEnded(at, message_id, endpoint, outcome, arrived_at, retry_after))


class ReportedEndpoints:
    """Observes one sender's agent, and logs what changed since the last report."""

    def __init__(self, sender: int, clock: RunClock, log: ObservationLog) -> None:
        self._sender = sender
        self._clock = clock
        self._log = log
        self._listed: set[str] = set()

    def endpoints_reported(self, records: list[EndpointRecord]) -> None:
        """The whole list was written as an answer."""
        at = self._clock.now()
        listed = {record.endpoint_id for record in records}
        for name in self._listed | listed:
            self._log.add(EndpointReported(at, self._sender, name, name in listed))
        self._listed = listed
