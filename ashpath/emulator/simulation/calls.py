"""State of messages at a simulated sender, of calls in the network, and of endpoint addresses."""

from __future__ import annotations

from typing import Protocol

from ashpath.core.interface import AttemptOutcome, EndpointRecord, LoadReport
from ashpath.emulator.client_request import ClientRequest
from ashpath.emulator.destination.calls import DestinationCall
from ashpath.emulator.destination.model import DestinationModel
from ashpath.emulator.simulation.idle_connections import IdleConnections


class StoredMessage:
    """One message at one sender, with the state that the sender's write-ahead log would keep."""

    __slots__ = (
        "attempts",
        "first_run_at",
        "first_run_endpoint",
        "in_flight",
        "number",
        "request",
        "unresolved",
    )

    def __init__(self, number: int, request: ClientRequest) -> None:
        self.number = number
        self.request = request
        self.attempts = 0
        self.first_run_at = -1  # start of the first attempt that may have run; negative if none
        self.first_run_endpoint = ""
        self.in_flight: InFlightCall | None = None
        self.unresolved = False  # whether an attempt was in flight when its sender was killed


class CallOwner(Protocol):
    """The part of a sender that the network uses for a call."""

    number: int
    idle_connections: IdleConnections

    def still_valid(self, message_id: int) -> bool:
        """Returns whether an attempt may still be sent once its connection is established."""

    def attempt_finished(
        self,
        call: InFlightCall,
        outcome: AttemptOutcome,
        retry_after: int = 0,
        report: LoadReport | None = None,
    ) -> None:
        """Receives the outcome of a call, once for each call."""


class InFlightCall:
    """The call of one attempt, from its start to its outcome. Times are in microseconds."""

    __slots__ = (
        "arrived",
        "began",
        "endpoint",
        "finished",
        "message",
        "received",
        "sender",
        "sent",
        "times_out_at",
    )

    def __init__(
        self, sender: CallOwner, message: StoredMessage, endpoint: str, began: int, timeout: int
    ) -> None:
        self.sender = sender
        self.message = message
        self.endpoint = endpoint
        self.began = began
        self.times_out_at = began + timeout
        self.received: DestinationCall | None = None  # the destination's state of this call
        self.sent = False  # whether its first byte was sent
        self.arrived = False  # whether its last byte reached the destination, or is lost
        self.finished = False  # whether its outcome is known; later events of the call are ignored


class EndpointAddress:
    """The destination of an endpoint, and the endpoint that replaced it at its address."""

    __slots__ = ("destination", "model", "record", "successor")

    def __init__(self, model: DestinationModel, record: EndpointRecord) -> None:
        self.destination = record.destination
        self.model = model
        self.record = record
        self.successor: str | None = None  # the endpoint that took over its address
