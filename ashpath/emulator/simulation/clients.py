"""Simulated clients: they submit requests, and resubmit them after a rejection."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from ashpath.core.interface import TrafficClassSettings
from ashpath.core.time_units import SECOND
from ashpath.emulator.arrivals import Arrivals
from ashpath.emulator.client_request import ClientRequest
from ashpath.emulator.final_outcomes import FinalOutcome
from ashpath.emulator.scenario.schema import Clients as ClientsProperties
from ashpath.emulator.scoreboard import DeliveryValue, Scoreboard
from ashpath.emulator.simulation.event_queue import EventQueue
from ashpath.emulator.simulation.fleet import Fleet

DEAD_SENDER_RETRY_DELAY = SECOND // 10  # microseconds
IDLE_SPAN_POLL = SECOND // 10  # microseconds between checks of the span's rate while the rate is zero


class SimulatedClients:
    """Creates requests until the scenario's arrivals end, and tracks each request until it ends."""

    def __init__(
        self,
        events: EventQueue,
        properties: ClientsProperties,
        arrivals: Arrivals,
        traffic_classes: Sequence[TrafficClassSettings],
        value: DeliveryValue,
        fleet: Fleet,
        scoreboard: Scoreboard,
        seed: int,
    ) -> None:
        self._events = events
        self._properties = properties
        self._arrivals = arrivals
        self._traffic_classes = traffic_classes
        self._value = value
        self._fleet = fleet
        self._scoreboard = scoreboard
        self._random = Random(f"{seed} clients' choices")
        self._created = 0

    def start(self) -> None:
        """Schedules the first arrival."""
        self._events.schedule(0, self._create_batch)

    def _create_batch(self) -> None:
        """Submits one batch of requests, and schedules the next batch."""
        now = self._events.now
        if now >= self._arrivals.end:
            return
        gap = self._arrivals.gap(now)
        if gap is None:
            self._events.schedule(now + IDLE_SPAN_POLL, self._create_batch)
            return
        self._events.schedule(now + gap, self._create_batch)
        span = self._arrivals.span(now)
        for arrival in self._arrivals.batch():
            self._created += 1
            traffic_class = arrival.traffic_class
            request = ClientRequest(
                f"{traffic_class}-{self._created}",
                traffic_class,
                arrival.destination,
                arrival.ordering_key,
                now,
                now + self._traffic_classes[traffic_class].deadline,
                span,
            )
            self._scoreboard.requested(request, self._value(request, now))
            self._submit(request)

    def _submit(self, request: ClientRequest) -> None:
        if self._events.now >= request.deadline_at:
            self._give_up(request, FinalOutcome.EXPIRED)
            return
        sender = self._fleet.pick(self._random)
        if sender is None or not sender.alive:  # no sender accepted the request; the client tries again later
            self._events.schedule(self._events.now + DEAD_SENDER_RETRY_DELAY, self._submit, request)
            return
        rejection = sender.accept(request)
        if rejection is not None:
            self.message_ended(request, rejection.outcome, rejection.retry_after)

    def delivered(self, request: ClientRequest) -> None:
        """Records the delivery of a request."""
        now = self._events.now
        self._scoreboard.delivered(now, request, self._value(request, now))

    def message_ended(self, request: ClientRequest, outcome: FinalOutcome, retry_after: int) -> None:
        """Resubmits the request of a rejected message as a new message, or gives the request up.

        A request is given up if its message failed, if it has no resubmission left, or if the next one would
        come after its deadline. `retry_after` is in microseconds, 0 for none.
        """
        properties = self._properties
        if outcome is FinalOutcome.FAILED or request.resubmissions >= properties.max_resubmissions:
            self._give_up(request, outcome)
            return
        request.resubmissions += 1
        self._scoreboard.resubmitted()
        wait = int(properties.backoff) << (request.resubmissions - 1)
        if retry_after and self._random.random() < properties.retry_after_share:
            wait = retry_after
        wait = int(wait * self._random.uniform(0.8, 1.2))
        if self._events.now + wait >= request.deadline_at:
            self._give_up(request, outcome)
            return
        self._events.schedule(self._events.now + wait, self._submit, request)

    def _give_up(self, request: ClientRequest, outcome: FinalOutcome) -> None:
        self._scoreboard.undelivered(self._events.now, request, outcome)
