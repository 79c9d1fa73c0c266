"""One run of a scenario on loopback: sets up its parts, executes the run, and replays the observations.

start     the senders are started, and the run begins once all are ready and watch their endpoint lists
play      clients submit requests and faults begin, until all requests have ended or the time limit is reached
stop      processes are killed and sockets closed, also after an error
replay    the observations are replayed to the checker and the scoreboard, by time
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random

import gevent

from ashpath.core.interface import EndpointRecord
from ashpath.core.time_units import SECOND
from ashpath.emulator.arrivals import Arrivals
from ashpath.emulator.destination.server import DestinationServer
from ashpath.emulator.loopback.clients_job import ClientsJob, PlannedRequest
from ashpath.emulator.loopback.clients_runner import ClientsRunner, plan_requests
from ashpath.emulator.loopback.discovery_server import DiscoveryServer
from ashpath.emulator.loopback.faults import LoopbackFaults, check_supported
from ashpath.emulator.loopback.observations import ObservationLog, ReportedEndpoints
from ashpath.emulator.loopback.replay import Replay, checker_for_sockets
from ashpath.emulator.loopback.senders import LoopbackSenders
from ashpath.emulator.run_clock import RunClock
from ashpath.emulator.scenario.schema import Scenario
from ashpath.emulator.scenario.settings import draw_discovery_delay, sender_settings
from ashpath.emulator.scoreboard import DeliveryValue, Scoreboard
from ashpath.emulator.stand_ins import STAND_IN_LIMITS, free_port
from ashpath.emulator.topology import Topology

MAX_TIME_AFTER_DEADLINE = 5 * SECOND  # the time limit of a run after the last deadline
WATCH_START_S = 0.3  # for the senders to open their watches
FINAL_REPORTS_S = 0.3  # for the last observations to arrive
PROGRESS_POLL_S = 0.1


class LoopbackRun:
    """One run. Servers and agents listen from construction until the end of `run`."""

    def __init__(
        self,
        scenario: Scenario,
        scenario_folder: Path,
        folder: Path,
        seed: int,
        scoreboard: Scoreboard,
        watched: str = "",
    ) -> None:
        check_supported(scenario)
        self._scenario = scenario
        self._folder = folder
        self._seed = seed
        self._scoreboard = scoreboard
        self._settings = sender_settings(scenario, 0, 0)
        self.checker = checker_for_sockets(self._settings, watched)
        self._clock = RunClock()
        self._log = ObservationLog()
        self._topology = Topology(scenario, scenario_folder, seed)
        self._random = Random(f"{seed} world")
        self._servers = {
            record.endpoint_id: self._destination_server(record) for record in self._topology.endpoints
        }
        self._addresses = {name: server.address for name, server in self._servers.items()}
        self._agents = [self._agent(number) for number in range(scenario.fleet.senders)]
        self._agent_delays = [draw_discovery_delay(scenario.discovery, self._random) for _ in self._agents]
        self._notice_port = free_port()
        agent_addresses = [agent.address for agent in self._agents]
        self._senders = LoopbackSenders(scenario, folder, agent_addresses, self._notice_port, STAND_IN_LIMITS)
        self._clients: ClientsRunner | None = None

    def _destination_server(self, record: EndpointRecord) -> DestinationServer:
        random = Random(f"{self._seed} way {record.endpoint_id}")
        latency = int(self._scenario.network.latency)
        jitter = self._scenario.network.jitter

        def one_way_delay() -> float:
            return latency * random.lognormvariate(0, jitter) if jitter else latency

        destination = self._topology.destinations[record.destination]
        return DestinationServer(
            destination, record.endpoint_id, STAND_IN_LIMITS, self._clock, self._log, one_way_delay
        )

    def _agent(self, sender: int) -> DiscoveryServer:
        observer = ReportedEndpoints(sender, self._clock, self._log)
        kinds = list(self._scenario.destinations)
        return DiscoveryServer(kinds, self._addresses, self._topology.endpoints, observer, STAND_IN_LIMITS)

    def run(self, progress: Callable[[float], None] | None = None) -> None:
        """Executes the run, and replays its observations. Raises FleetStartError."""
        arrivals = Arrivals(self._scenario, self._topology.cumulative_shares, self._seed)
        deadlines = [traffic_class.deadline for traffic_class in self._settings.traffic_classes]
        try:
            self._senders.start_all()
            gevent.sleep(WATCH_START_S)
            self._clock.restart()
            self._log.move_to_run_start()
            planned, requests = plan_requests(self._scenario, arrivals, deadlines)
            self._log.open_requests.update(requests)
            clients = self._clients = ClientsRunner(self._folder, self._clients_job(planned), self._log)
            self._play(clients, arrivals.end, max(deadlines), progress)
        finally:
            self._stop()
        value = DeliveryValue(
            self._settings.traffic_classes, self._settings.value_halves, self._scenario.spans
        )
        replay = Replay(self._settings, value, self._topology, requests, self._scoreboard, self.checker)
        replay.run(self._log.sorted_by_time(), self._clock.now())

    def _clients_job(self, planned: list[PlannedRequest]) -> ClientsJob:
        clients = self._scenario.clients
        return ClientsJob(
            self._clock.began,
            self._seed,
            self._senders.addresses,
            self._notice_port,
            planned,
            clients.max_resubmissions,
            int(clients.backoff),
            clients.retry_after_share,
        )

    def _play(
        self,
        clients: ClientsRunner,
        end: int,
        longest_deadline: int,
        progress: Callable[[float], None] | None,
    ) -> None:
        faults = LoopbackFaults(
            self._scenario,
            self._topology,
            self._random,
            self._clock,
            self._servers,
            self._addresses,
            self._agents,
            self._agent_delays,
            self._senders,
            self._log,
            self._scoreboard,
        )
        faults.schedule_all()
        last = end + longest_deadline + MAX_TIME_AFTER_DEADLINE
        while self._clock.now() < last and clients.is_running():
            if self._clock.now() >= end and not self._log.open_requests:
                break
            gevent.sleep(PROGRESS_POLL_S)
            if progress is not None:
                progress(min(1.0, self._clock.now() / end))
        gevent.sleep(FINAL_REPORTS_S)
        clients.finish()

    def _stop(self) -> None:
        self._senders.kill_all()
        if self._clients is not None:
            self._clients.kill()
        for server in self._servers.values():
            server.stop()
        for agent in self._agents:
            agent.stop()
