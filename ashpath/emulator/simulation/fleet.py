"""The senders of a run, and the routing of clients to them."""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from random import Random

from ashpath.emulator.scenario.schema import Fleet as FleetProperties
from ashpath.emulator.simulation.event_queue import EventQueue
from ashpath.emulator.simulation.sender import SimulatedSender


class Fleet:
    """The senders of a run, added before it starts. `_routable` has the numbers of those that clients use."""

    def __init__(self, events: EventQueue, properties: FleetProperties) -> None:
        self.senders: list[SimulatedSender] = []
        self._events = events
        self._rank_exponent = properties.rank_exponent
        self._removal_delay = int(properties.removal_delay)
        self._routable = list(range(properties.senders))
        self._cumulative_weights: list[float] = []  # of `_routable`; recomputed when its length changes

    def add(self, sender: SimulatedSender) -> None:
        """Adds the sender with the next number."""
        self.senders.append(sender)

    def pick(self, random: Random) -> SimulatedSender | None:
        """Returns the sender for a client, dead or alive, or None if no sender is routable."""
        if not self._routable:
            return None
        if not self._rank_exponent:
            return self.senders[self._routable[random.randrange(len(self._routable))]]
        if len(self._cumulative_weights) != len(self._routable):
            exponent = self._rank_exponent
            self._cumulative_weights = list(
                accumulate((number + 1) ** -exponent for number in self._routable)
            )
        chosen = bisect(self._cumulative_weights, random.random() * self._cumulative_weights[-1])
        return self.senders[self._routable[chosen]]

    def messages_held(self) -> int:
        """Returns the number of messages that senders accepted and that have not ended."""
        return sum(len(sender.messages) for sender in self.senders)

    def attempts_in_flight(self) -> int:
        """Returns the number of held messages with an attempt in flight."""
        return sum(
            message.in_flight is not None for sender in self.senders for message in sender.messages.values()
        )

    def kill(self, sender: SimulatedSender) -> None:
        """Kills a sender if it is alive, and stops routing clients to it after the removal delay."""
        if sender.alive:
            sender.kill()
            self._events.schedule(self._events.now + self._removal_delay, self._stop_routing, sender)

    def _stop_routing(self, sender: SimulatedSender) -> None:
        if not sender.alive and sender.number in self._routable:
            self._routable.remove(sender.number)

    def start(self, sender: SimulatedSender) -> None:
        """Restarts a dead sender, and routes clients to it again."""
        if not sender.alive:
            sender.start()
            if sender.number not in self._routable:
                self._routable.append(sender.number)
                self._routable.sort()
