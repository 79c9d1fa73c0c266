"""Tracks destinations from an outage to full speed, and reports collapses with the load that caused them."""

from __future__ import annotations

from collections import Counter, deque

from ashpath.emulator.destination.model import DestinationModel
from ashpath.emulator.invariant_checker import InvariantChecker
from ashpath.emulator.scoreboard import Scoreboard
from ashpath.emulator.simulation.event_queue import EventQueue


class RecoveryMonitor:
    """Recent calls at destinations that are down or in slow start.

    `_calls` drops the calls of a destination when it has recovered.
    """

    def __init__(
        self,
        events: EventQueue,
        destinations: list[DestinationModel],
        checker: InvariantChecker,
        scoreboard: Scoreboard,
    ) -> None:
        self._events = events
        self._destinations = destinations
        self._checker = checker
        self._scoreboard = scoreboard
        self._calls: dict[int, deque[tuple[int, int]]] = {}  # by destination: time and sender of each call

    def recent_calls(self, destination: int) -> int:
        """Returns the number of recent calls that count towards a collapse."""
        return len(self._calls.get(destination, ()))

    def call_arrived(self, destination: int, sender: int) -> None:
        """Counts a call at a destination that has not recovered; drops calls older than overload_duration."""
        if destination not in self._checker.outages:
            return
        recent = self._calls.setdefault(destination, deque())
        recent.append((self._events.now, sender))
        while recent[0][0] <= self._events.now - self._destinations[destination].properties.overload_duration:
            recent.popleft()

    def collapsed(self, destination: int) -> None:
        """Reports the collapse of a destination in slow start with the recent calls of each sender."""
        now = self._events.now
        self._scoreboard.collapsed()
        load = Counter(sender for _, sender in self._calls[destination])
        self._checker.collapsed(now, destination, load)
        self.schedule_recovery_check(destination, self._destinations[destination].collapsed_until)

    def schedule_recovery_check(self, destination: int, recovers_at: int) -> None:
        """Schedules a check for the end of the slow start that begins at `recovers_at`."""
        slow_start_time = self._destinations[destination].properties.slow_start_time
        self._events.schedule(recovers_at + slow_start_time + 1, self._check_recovery, destination)

    def _check_recovery(self, destination: int) -> None:
        model = self._destinations[destination]
        if not model.in_outage() and self._events.now > model.recovered_at + model.properties.slow_start_time:
            self._checker.recovered(destination)
            self._calls.pop(destination, None)
