"""Injects the faults of a scenario, each at its time or when its condition is met, and reverts them."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from ashpath.core.time_units import MILLISECOND, SECOND
from ashpath.emulator.arrivals import Arrivals
from ashpath.emulator.destination.faults import OUTAGE_FAULTS, Fault
from ashpath.emulator.invariant_checker import InvariantChecker
from ashpath.emulator.scenario.conditions import FaultCondition, parse_condition
from ashpath.emulator.scenario.schema import DESTINATION_FAULTS, ScriptedFault
from ashpath.emulator.scoreboard import Scoreboard
from ashpath.emulator.simulation.discovery import SimulatedDiscovery
from ashpath.emulator.simulation.event_queue import EventQueue
from ashpath.emulator.simulation.fleet import Fleet
from ashpath.emulator.simulation.network import Network
from ashpath.emulator.topology import Topology

CONDITION_POLL = SECOND // 10  # microseconds between two checks of a condition

Undo = Callable[[], None]
"""Reverts a fault."""


class FaultScript:
    """Injects the faults of a scenario into the parts of a simulation."""

    def __init__(
        self,
        events: EventQueue,
        topology: Topology,
        random: Random,
        network: Network,
        fleet: Fleet,
        discovery: SimulatedDiscovery,
        arrivals: Arrivals,
        checker: InvariantChecker,
        scoreboard: Scoreboard,
    ) -> None:
        self._events = events
        self._topology = topology
        self._random = random
        self._network = network
        self._fleet = fleet
        self._discovery = discovery
        self._arrivals = arrivals
        self._checker = checker
        self._scoreboard = scoreboard
        self._fault_handlers: dict[str, Callable[[ScriptedFault, list[int]], Undo | None]] = {
            "kill": self._kill,
            "split": self._split,
            "clock": self._shift_clocks,
            "traffic": self._scale_traffic,
            "directory": self._delay_discovery,
            "network": self._delay_network,
        }

    def schedule(self, fault: ScriptedFault) -> None:
        """Schedules the start of a fault, before the run, at its time or when its condition is first met."""
        if fault.condition:
            condition = parse_condition(fault.condition)
            assert condition is not None
            self._events.schedule(CONDITION_POLL, self._check_condition, fault, condition)
        else:
            assert fault.at is not None
            self._events.schedule(int(fault.at), self._begin, fault)

    def _check_condition(self, fault: ScriptedFault, condition: FaultCondition) -> None:
        if condition.is_met(self._signal(condition.signal)):
            self._begin(fault)
        elif self._events.now < self._arrivals.end:
            self._events.schedule(self._events.now + CONDITION_POLL, self._check_condition, fault, condition)

    def _signal(self, name: str) -> float:
        if name == "held":
            return float(self._fleet.messages_held())
        if name == "out":
            return float(self._fleet.attempts_in_flight())
        return self._scoreboard.signal(name)

    def _begin(self, fault: ScriptedFault) -> None:
        undo: Undo | None = None
        self._scoreboard.fault_began(self._events.now, fault.kind)
        if fault.kind == "replace":
            for number in self._topology.destinations_of(fault, self._random):
                self._discovery.replace(number, fault.endpoint_count)
        elif fault.kind in DESTINATION_FAULTS:
            undo = self._begin_at_destinations(fault)
        else:
            senders = self._topology.senders_of(fault, len(self._fleet.senders), self._random)
            undo = self._fault_handlers[fault.kind](fault, senders)
        if undo is not None and fault.duration:
            self._events.schedule(self._events.now + int(fault.duration), undo)

    # Faults at destinations.

    def _begin_at_destinations(self, scripted: ScriptedFault) -> Undo:
        fault = Fault(scripted.kind)
        numbers = self._topology.destinations_of(scripted, self._random)
        for number in numbers:
            self._add_fault(number, fault, scripted.amount)

        def undo() -> None:
            for number in numbers:
                self._remove_fault(number, fault, scripted.amount)

        return undo

    def _add_fault(self, number: int, fault: Fault, amount: float) -> None:
        destination = self._network.destination(number)
        was_in_outage = destination.in_outage()
        destination.add_fault(fault, amount)
        if fault in OUTAGE_FAULTS and not was_in_outage:
            self._checker.outage_began(self._events.now, number)
        if fault is Fault.DOWN:  # idle connections to the destination are reset
            for sender in self._fleet.senders:
                for endpoint in destination.endpoints:
                    sender.idle_connections.close(endpoint)

    def _remove_fault(self, number: int, fault: Fault, amount: float) -> None:
        destination = self._network.destination(number)
        destination.remove_fault(fault, amount, self._events.now)
        if not destination.in_outage():
            self._network.recovery.schedule_recovery_check(number, self._events.now)

    # Faults at senders, clients, service discovery and the network.

    def _kill(self, _: ScriptedFault, numbers: list[int]) -> Undo:
        senders = [self._fleet.senders[number] for number in numbers]
        for sender in senders:
            self._fleet.kill(sender)

        def undo() -> None:
            for sender in senders:
                self._fleet.start(sender)

        return undo

    def _split(self, fault: ScriptedFault, senders: list[int]) -> Undo:
        destinations = self._topology.destinations_of(fault, self._random)
        pairs = {(sender, destination) for sender in senders for destination in destinations}
        pairs -= self._network.split_pairs
        self._network.split_pairs |= pairs

        def undo() -> None:
            self._network.split_pairs -= pairs

        return undo

    def _shift_clocks(self, fault: ScriptedFault, senders: list[int]) -> None:
        for number in senders:
            self._fleet.senders[number].clock_error += int(fault.amount * MILLISECOND)

    def _scale_traffic(self, fault: ScriptedFault, _: list[int]) -> Undo:
        self._arrivals.rate_factor *= fault.amount

        def undo() -> None:
            self._arrivals.rate_factor = self._arrivals.rate_factor / fault.amount

        return undo

    def _delay_discovery(self, fault: ScriptedFault, _: list[int]) -> Undo:
        added = int(fault.amount * MILLISECOND)
        self._discovery.added_delay += added

        def undo() -> None:
            self._discovery.added_delay -= added

        return undo

    def _delay_network(self, fault: ScriptedFault, _: list[int]) -> Undo:
        added = int(fault.amount * MILLISECOND)
        self._network.added_latency += added

        def undo() -> None:
            self._network.added_latency -= added

        return undo
