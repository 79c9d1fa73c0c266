"""The scripted faults of a run on loopback; a separate greenlet applies each fault at its time."""

from __future__ import annotations

from random import Random

import gevent

from ashpath.core.interface import EndpointRecord, EndpointStatus
from ashpath.core.time_units import SECOND
from ashpath.emulator.destination.faults import OUTAGE_FAULTS, Fault
from ashpath.emulator.destination.server import DestinationServer
from ashpath.emulator.errors import UnsupportedFaultError
from ashpath.emulator.loopback.discovery_server import DiscoveryServer
from ashpath.emulator.loopback.observations import ObservationLog, OutageBegan, SenderKilled
from ashpath.emulator.loopback.senders import LoopbackSenders
from ashpath.emulator.run_clock import RunClock
from ashpath.emulator.scenario.schema import DESTINATION_FAULTS, Scenario, ScriptedFault
from ashpath.emulator.scoreboard import Scoreboard
from ashpath.emulator.topology import Topology, successor_name

SIMULATION_ONLY = ("network", "split", "clock", "directory")
TRAFFIC = "traffic"  # planned into the requests before the run


def check_supported(scenario: Scenario) -> None:
    """Raises UnsupportedFaultError if only the simulation supports a fault of the script."""
    for fault in scenario.faults:
        if fault.kind in SIMULATION_ONLY or fault.condition:
            raise UnsupportedFaultError(fault.condition or fault.kind)


class LoopbackFaults:
    """Applies the script to destination servers, agents and sender processes."""

    def __init__(
        self,
        scenario: Scenario,
        topology: Topology,
        random: Random,
        clock: RunClock,
        servers: dict[str, DestinationServer],
        addresses: dict[str, str],
        agents: list[DiscoveryServer],
        agent_delays: list[int],
        senders: LoopbackSenders,
        log: ObservationLog,
        scoreboard: Scoreboard,
    ) -> None:
        self._scenario = scenario
        self._topology = topology
        self._random = random
        self._clock = clock
        self._servers = servers  # by endpoint
        self._addresses = addresses  # by endpoint, as agents report them
        self._agents = agents
        self._agent_delays = agent_delays  # microseconds
        self._senders = senders
        self._log = log
        self._scoreboard = scoreboard
        self._records = {record.endpoint_id: record for record in topology.endpoints}

    def schedule_all(self) -> None:
        """Schedules all faults. Called at the start of the run."""
        for fault in self._scenario.faults:
            if fault.kind != TRAFFIC:
                begins = int(fault.at or 0)
                gevent.spawn_later((begins - self._clock.now()) / SECOND, self._begin, fault)

    def _begin(self, fault: ScriptedFault) -> None:
        self._scoreboard.fault_began(int(fault.at or 0), fault.kind)
        if fault.kind == "replace":
            for number in self._topology.destinations_of(fault, self._random):
                self._replace(number, fault.endpoint_count)
        elif fault.kind in DESTINATION_FAULTS:
            for number in self._topology.destinations_of(fault, self._random):
                self._add_fault(number, Fault(fault.kind), fault)
        elif fault.kind == "kill":
            for number in self._topology.senders_of(fault, self._scenario.fleet.senders, self._random):
                began_at = self._clock.now()
                self._senders.kill(number)
                self._log.add(SenderKilled(began_at, number, self._clock.now()))
                if fault.duration:
                    gevent.spawn_later(int(fault.duration) / SECOND, self._senders.start, number)

    def _add_fault(self, number: int, fault: Fault, scripted: ScriptedFault) -> None:
        destination = self._topology.destinations[number]
        if fault in OUTAGE_FAULTS and not destination.in_outage():
            self._log.add(OutageBegan(self._clock.now(), number))
        destination.add_fault(fault, scripted.amount)
        if fault is Fault.DOWN:
            for endpoint in destination.endpoints:
                self._servers[endpoint].reset_connections()
        if scripted.duration:
            duration_s = int(scripted.duration) / SECOND
            gevent.spawn_later(duration_s, self._remove_fault, number, fault, scripted.amount)

    def _remove_fault(self, number: int, fault: Fault, amount: float) -> None:
        self._topology.destinations[number].remove_fault(fault, amount, self._clock.now())

    def _replace(self, number: int, max_count: int) -> None:
        """Replaces up to `max_count` endpoints, or all if 0.

        The connections of a replaced endpoint are reset, and its successor has its address and another id.
        """
        destination = self._topology.destinations[number]
        for name in list(destination.endpoints)[: max_count or None]:
            old = self._records.pop(name)
            new_name = successor_name(name)
            destination.remove_endpoint(name)
            destination.add_endpoint(new_name)
            record = EndpointRecord(new_name, number, old.kind, old.zone, EndpointStatus.ACTIVE)
            self._records[new_name] = record
            server = self._servers.pop(name)
            server.replace_by(new_name)
            self._servers[new_name] = server
            self._addresses[new_name] = server.address
        records = list(self._records.values())
        for agent, delay in zip(self._agents, self._agent_delays, strict=True):
            gevent.spawn_later(delay / SECOND, agent.change, records)
