"""State of messages, attempts and destinations in a baseline."""

from __future__ import annotations

from collections import OrderedDict


class QueuedMessage:
    """One message, from its submission until it ends. Times are in microseconds."""

    __slots__ = (
        "attempts",
        "deadline_at",
        "destination",
        "first_run_at",
        "id",
        "ordering_key",
        "traffic_class",
    )

    def __init__(
        self,
        id_: int,
        destination: DestinationState,
        traffic_class: int,
        ordering_key: int | None,
        deadline_at: int,
    ) -> None:
        self.id = id_
        self.destination = destination
        self.traffic_class = traffic_class
        self.ordering_key = ordering_key
        self.deadline_at = deadline_at
        self.attempts = 0
        self.first_run_at = -1  # start of the first attempt that may have run; negative if none


class Attempt:
    """One attempt in flight."""

    __slots__ = ("began", "destination", "endpoint", "message")

    def __init__(
        self, destination: DestinationState, message: QueuedMessage, endpoint: str, began: int
    ) -> None:
        self.destination = destination
        self.message = message
        self.endpoint = endpoint
        self.began = began


class DestinationState:
    """State of one destination. `queue` has the messages that wait to be sent. Times are in microseconds."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.endpoints: list[str] = []
        self.sent = 0
        self.in_flight = 0
        self.queue: OrderedDict[QueuedMessage, None] = OrderedDict()
        self.retry_after_until = 0
        self.paused_until = 0  # by a backoff or an open circuit breaker
        self.failures = 0  # consecutive
        self.limit = 1.0
        self.long_run_time = 0.0  # moving average of the response time
        self.next_dispatch_at = 0
