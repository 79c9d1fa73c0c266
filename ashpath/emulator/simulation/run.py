"""Assembles a simulation, and runs one scenario from its first arrival until all requests have ended."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random

from ashpath.core.time_units import SECOND
from ashpath.emulator.arrivals import Arrivals
from ashpath.emulator.effects import check_effects
from ashpath.emulator.invariant_checker import InvariantChecker
from ashpath.emulator.policy_under_test import PolicyFactory
from ashpath.emulator.scenario.schema import Scenario
from ashpath.emulator.scenario.settings import draw_discovery_delay, sender_settings
from ashpath.emulator.scoreboard import DeliveryValue, Scoreboard
from ashpath.emulator.simulation.clients import SimulatedClients
from ashpath.emulator.simulation.discovery import SimulatedDiscovery
from ashpath.emulator.simulation.event_queue import EventQueue, Progress
from ashpath.emulator.simulation.faults import FaultScript
from ashpath.emulator.simulation.fleet import Fleet
from ashpath.emulator.simulation.network import Network
from ashpath.emulator.simulation.sender import SimulatedSender
from ashpath.emulator.simulation.sender_context import SenderContext
from ashpath.emulator.topology import Topology

MAX_TIME_AFTER_DEADLINE = 10 * SECOND
"""Microseconds for which a run may continue after the last deadline."""


class Simulation:
    """One run of a scenario. `scenario_folder` has the files that the scenario names."""

    def __init__(
        self,
        scenario: Scenario,
        scenario_folder: Path,
        seed: int,
        policy_factory: PolicyFactory,
        scoreboard: Scoreboard,
        watched: str = "",
    ) -> None:
        self.scoreboard = scoreboard
        self._scenario = scenario
        self._seed = seed
        self._settings = sender_settings(scenario, 0, 0)
        self.checker = InvariantChecker(self._settings.drain_grace, self._settings.settle_time, watched)
        self._events = EventQueue()
        self._topology = Topology(scenario, scenario_folder, seed)
        self._arrivals = Arrivals(scenario, self._topology.cumulative_shares, seed)
        self.network = self._make_network()
        self.fleet = Fleet(self._events, scenario.fleet)
        self._clients = self._make_clients()
        random = Random(f"{seed} world")  # draws discovery delays first, then targets of faults as they begin
        delays = [draw_discovery_delay(scenario.discovery, random) for _ in range(scenario.fleet.senders)]
        self._start_senders(policy_factory)
        self._schedule_faults(SimulatedDiscovery(self._events, self.network, self.fleet, delays), random)

    def _make_network(self) -> Network:
        return Network(
            self._events,
            self._scenario.network,
            Random(f"{self._seed} network"),
            self._topology,
            self._settings.traffic_classes,
            self._settings.connect_timeout,
            self.checker,
            self.scoreboard,
        )

    def _make_clients(self) -> SimulatedClients:
        settings = self._settings
        value = DeliveryValue(settings.traffic_classes, settings.value_halves, self._scenario.spans)
        return SimulatedClients(
            self._events,
            self._scenario.clients,
            self._arrivals,
            settings.traffic_classes,
            value,
            self.fleet,
            self.scoreboard,
            self._seed,
        )

    def _start_senders(self, policy_factory: PolicyFactory) -> None:
        context = SenderContext(
            self._scenario,
            self._seed,
            self._settings.idle_timeout,
            policy_factory,
            self._events,
            self.network,
            self._clients,
            self.checker,
            self.scoreboard,
        )
        for number in range(self._scenario.fleet.senders):
            self.fleet.add(SimulatedSender(context, number))
        for sender in self.fleet.senders:
            sender.start_with_endpoints(self._topology.endpoints)

    def _schedule_faults(self, discovery: SimulatedDiscovery, random: Random) -> None:
        script = FaultScript(
            self._events,
            self._topology,
            random,
            self.network,
            self.fleet,
            discovery,
            self._arrivals,
            self.checker,
            self.scoreboard,
        )
        for fault in self._scenario.faults:
            script.schedule(fault)

    def run(self, progress: Progress | None = None) -> None:
        """Runs to the end of the arrivals, and then until all requests have ended.

        Raises SimulationStalledError if a policy keeps scheduling timers for the current time.
        """
        end = self._arrivals.end
        longest_deadline = max(traffic_class.deadline for traffic_class in self._settings.traffic_classes)
        latest_end = end + longest_deadline + MAX_TIME_AFTER_DEADLINE
        with _frozen_objects():
            self._clients.start()
            self._events.run(end, latest_end, self.scoreboard.has_open_requests, progress)
        self.checker.run_ended(self._events.now)
        check_effects(
            self.checker, self._events.now, self._topology.destinations, self._settings.traffic_classes
        )
        self.scoreboard.close(self.checker)


@contextmanager
def _frozen_objects() -> Iterator[None]:
    """Excludes the objects that live for the whole run from garbage collection.

    With 300 senders, traversing them in each collection is the largest cost.
    """
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()
