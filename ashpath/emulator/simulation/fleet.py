"""The senders of a run, and which of them clients are sent to."""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from random import Random

from ashpath.emulator.scenario.schema import Fleet as FleetProperties
from ashpath.emulator.simulation.event_queue import EventQueue
from ashpath.emulator.simulation.sender import SimulatedSender


class Fleet:
    """`senders` is filled before the run; `_routable` are the numbers that clients are sent to, in order."""

    def __init__(self, events: EventQueue, properties: FleetProperties) -> None:
        self.senders: list[SimulatedSender] = []
        self._events = events
        self._rank_exponent = properties.rank_exponent
        self._removal_delay = int(properties.removal_delay)
        self._routable = list(range(properties.senders))
        self._cumulative_weights: list[float] = []  # of `_routable`, added up; made anew as those change

    def add(self, sender: SimulatedSender) -> None:
        """One more, with the next number."""
        self.senders.append(sender)

    def pick(self, random: Random) -> SimulatedSender | None:
        """The sender that a client is sent to, dead or alive; None: there is none."""
        if not self._routable:
            return None
        if not self._rank_exponent:
            return self.senders[self._routable[random.randrange(len(self._routable))]]
        if len(self._cumulative_weights) != len(self._routable):  # they have changed since
            exponent = self._rank_exponent
            self._cumulative_weights = list(
                accumulate((number + 1) ** -exponent for number in self._routable)
            )
        chosen = bisect(self._cumulative_weights, random.random() * self._cumulative_weights[-1])
        return self.senders[self._routable[chosen]]

    def messages_held(self) -> int:
        """Messages that senders have accepted and not ended."""
        return sum(len(sender.messages) for sender in self.senders)

    def attempts_in_flight(self) -> int:
        """Those of them with an attempt in flight."""
        return sum(
            message.in_flight is not None for sender in self.senders for message in sender.messages.values()
        )

    def kill(self, sender: SimulatedSender) -> None:
        """Kills it if it lives; a while later clients are no longer sent to it."""
        if sender.alive:
            sender.kill()
            self._events.schedule(self._events.now + self._removal_delay, self._stop_routing, sender)

    def _stop_routing(self, sender: SimulatedSender) -> None:
        if not sender.alive and sender.number in self._routable:
            self._routable.remove(sender.number)

    def start(self, sender: SimulatedSender) -> None:
        """Starts it anew if it is dead."""
        if not sender.alive:
            sender.start()
            if sender.number not in self._routable:
                self._routable.append(sender.number)
                self._routable.sort()
