"""Observations of a run on loopback, in any order; each has its time in microseconds of the run's clock."""

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
    """Service discovery reported to a sender that an endpoint is listed or no longer listed."""

    at: int
    sender: int
    endpoint: str
    listed: bool


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A call arrived at a destination."""

    at: int
    message_id: str
    endpoint: str


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call ended at a destination; `outcome` is the outcome that its sender observes."""

    at: int
    message_id: str
    endpoint: str
    outcome: AttemptOutcome
    arrived_at: int
    retry_after: int


@dataclass(frozen=True, slots=True)
class SenderKilled:
    """A sender was killed at some time from `at`, before the signal, to `ended_at`, when it had exited."""

    at: int
    sender: int
    ended_at: int


@dataclass(frozen=True, slots=True)
class OutageBegan:
    """An outage of a destination began."""

    at: int
    destination: int


Observation = ClientEvent | EndpointReported | CallArrived | CallEnded | SenderKilled | OutageBegan


class ObservationLog:
    """The observations of a run. Destination servers report to the log as their observer.

    `open_requests` has the ids of the requests that are neither delivered nor given up.
    """

    def __init__(self) -> None:
        self.open_requests: set[str] = set()
        self._observations: list[Observation] = []

    def add(self, observation: Observation) -> None:
        """Appends an observation, and removes its request from `open_requests` if the request has ended."""
        self._observations.append(observation)
        match observation:
            case ClientEvent(kind=ClientEventKind.GIVEN_UP, message_id=id_):
                self.open_requests.discard(id_)
            case CallEnded(outcome=AttemptOutcome.DELIVERED, message_id=id_):
                self.open_requests.discard(request_id(id_))

    def sorted_by_time(self) -> list[Observation]:
        """Returns the observations by time; those of the same time keep their order of arrival."""
        return sorted(self._observations, key=lambda observation: observation.at)

    def move_to_run_start(self) -> None:
        """Sets the time of all observations so far to 0, the start of the run; client events keep theirs."""
        self._observations = [
            observation if isinstance(observation, ClientEvent) else replace(observation, at=0)
            for observation in self._observations
        ]

    def call_arrived(self, at: int, endpoint: str, message_id: str) -> None:
        """Records a call that has arrived completely."""
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
        """Records that the response was written, or that the caller closed the connection."""
        outcome = AttemptOutcome.TIMED_OUT
        retry_after = 0
        if was_answered:
            outcome = OUTCOMES.get(call.result, AttemptOutcome.CONNECTION_RESET)
            retry_after = call.retry_after
        self.add(CallEnded(at, message_id, endpoint, outcome, arrived_at, retry_after))


class ReportedEndpoints:
    """Observes the agent of one sender, and logs which endpoints are listed after each report."""

    def __init__(self, sender: int, clock: RunClock, log: ObservationLog) -> None:
        self._sender = sender
        self._clock = clock
        self._log = log
        self._listed: set[str] = set()

    def endpoints_reported(self, records: list[EndpointRecord]) -> None:
        """Logs the endpoints of a complete list that the agent wrote, and those no longer listed."""
        at = self._clock.now()
        listed = {record.endpoint_id for record in records}
        for name in self._listed | listed:
            self._log.add(EndpointReported(at, self._sender, name, name in listed))
        self._listed = listed
