"""What a sender holds of one message, and the call of one attempt, as the network carries it."""

from __future__ import annotations

from typing import Protocol

from ashpath.core.interface import AttemptOutcome, EndpointRecord, LoadReport
from ashpath.emulator.client_request import ClientRequest
from ashpath.emulator.destination.calls import DestinationCall
from ashpath.emulator.destination.model import DestinationModel
from ashpath.emulator.simulation.idle_connections import IdleConnections


class StoredMessage:
    """One message at one sender, as its write-ahead log has it."""

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
        self.first_run_at = -1  # when the first attempt that may have run began; below 0: none
        self.first_run_endpoint = ""
        self.in_flight: InFlightCall | None = None
        self.unresolved = False  # an attempt was in flight as its sender was killed


class CallOwner(Protocol):
    """What the network needs of the sender that makes a call."""

    number: int
    idle_connections: IdleConnections

    def still_valid(self, message_id: int) -> bool:
        """Whether an attempt may still be sent, now that its connection is open."""

    def attempt_finished(
        self,
        call: InFlightCall,
        outcome: AttemptOutcome,
        retry_after: int = 0,
        report: LoadReport | None = None,
    ) -> None:
        """The one outcome of a call."""


class InFlightCall:
    """The call of one attempt, from its start to its outcome. Times are microseconds."""

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
        self.received: DestinationCall | None = None  # the destination's view of it
        self.sent = False  # its first byte went out
        self.arrived = False  # its last byte is at the destination, or on its way to nowhere
        self.finished = False  # its outcome is known, whatever else still comes


class EndpointAddress:
    """Where an endpoint is: its destination, and who answers at its address now."""

    __slots__ = ("destination", "model", "record", "successor")

    def __init__(self, model: DestinationModel, record: EndpointRecord) -> None:
        self.destination = record.destination
        self.model = model
        self.record = record
        self.successor: str | None = None  # the endpoint that has its address now
