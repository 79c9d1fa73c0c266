"""The oracle: a policy that reads the true state of the simulation, so that its score is near the optimum."""

from __future__ import annotations

from itertools import islice

from ashpath.core.interface import PolicyActions, PolicySettings
from ashpath.core.time_units import SECOND
from ashpath.emulator.baselines.skeleton import Baseline
from ashpath.emulator.baselines.state import DestinationState, QueuedMessage
from ashpath.emulator.destination.model import DestinationModel
from ashpath.emulator.policy_under_test import GlobalView

OUTAGE_POLL = SECOND // 10  # microseconds between checks of an unreachable destination
BUSY_POLL = SECOND // 40  # microseconds between checks of a destination without free capacity
MAX_COMPARED_MESSAGES = 30  # messages from the head of the queue
COLLAPSE_SHARE = 0.8  # share of the load that makes a recovering destination collapse
SLOW_START_FACTOR = 1.5  # ratio of allowed calls to the workers that a destination in slow start keeps busy


class Oracle(Baseline):
    """Reads the true state of each destination, and the calls in flight of all senders."""

    def __init__(self, settings: PolicySettings, actions: PolicyActions, view: GlobalView) -> None:
        super().__init__(settings, actions, view)
        # Attempts of this batch by destination. The global view does not count them, as actions run after the
        # batch.
        self.sent_in_batch: dict[int, int] = {}

    def begin_batch(self, now: int) -> None:
        """Begins a batch of events at time `now`, in microseconds."""
        super().begin_batch(now)
        self.sent_in_batch = {}

    def send(self, destination: DestinationState, message: QueuedMessage) -> None:
        """Starts an attempt, and counts it for the batch."""
        number = destination.number
        self.sent_in_batch[number] = self.sent_in_batch.get(number, 0) + 1
        super().send(destination, message)

    def admits(self, destination: DestinationState) -> bool:
        """Returns whether the destination is reachable, has capacity and quota, and is not near collapse."""
        number = destination.number
        model = self.view.destination(number)
        if model.in_outage() or model.is_unresponsive(self.now) or self.view.is_split(self.number, number):
            self.schedule_dispatch(destination, OUTAGE_POLL)
            return False
        if not self._has_capacity(number, model):
            self.schedule_dispatch(destination, BUSY_POLL)
            return False
        return True

    def _has_capacity(self, number: int, model: DestinationModel) -> bool:
        properties = model.properties
        own_calls = self.sent_in_batch.get(number, 0)
        on_the_way = self.view.calls_on_the_way(number) + own_calls
        speed = model.speed(self.now)
        endpoints = 1 if properties.shares_workers else max(1, len(model.endpoints))
        workers = properties.workers * endpoints * min(1.0, SLOW_START_FACTOR * speed)
        if self.view.calls_in_flight(number) + own_calls >= max(1.0, workers) + endpoints:
            return False
        if speed < 1:
            allowed = (
                properties.overload_multiple * model.capacity * speed * properties.overload_duration / SECOND
            )
            recent = self.view.recent_recovery_calls(number) + on_the_way
            if recent >= COLLAPSE_SHARE * allowed:
                return False
        return model.rate_limit.available(self.now) - on_the_way >= 1

    def next_message(self, destination: DestinationState) -> QueuedMessage:
        """Returns the most valuable of the first MAX_COMPARED_MESSAGES messages in the queue."""
        return max(islice(destination.queue, MAX_COMPARED_MESSAGES), key=self._value)

    def _value(self, message: QueuedMessage) -> float:
        settings = self.settings.traffic_classes[message.traffic_class]
        late = self.now - (message.deadline_at - settings.deadline + settings.latency_objective)
        if late < 0:
            return settings.value
        halvings = 1 + late / settings.latency_objective
        return float(settings.value * 0.5**halvings)
