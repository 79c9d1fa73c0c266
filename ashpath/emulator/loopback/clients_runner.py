"""Plans the requests of a run on loopback, and runs the client process that submits the requests."""

from __future__ import annotations

import sys
from pathlib import Path

import gevent
import msgspec
from gevent import subprocess

from ashpath.core.time_units import SECOND
from ashpath.emulator.arrivals import Arrivals
from ashpath.emulator.client_request import ClientRequest
from ashpath.emulator.loopback.clients_job import ClientEvent, ClientsJob, PlannedRequest
from ashpath.emulator.loopback.observations import ObservationLog
from ashpath.emulator.scenario.schema import Scenario, ScriptedFault

QUIET_SPAN_STEP = SECOND // 10
FINAL_EVENTS_TIMEOUT_S = 3.0


def plan_requests(
    scenario: Scenario, arrivals: Arrivals, deadlines: list[int]
) -> tuple[list[PlannedRequest], dict[str, ClientRequest]]:
    """Returns the requests of the run, as a list for the clients and by id; `deadlines` are by class."""
    planned: list[PlannedRequest] = []
    requests: dict[str, ClientRequest] = {}
    names = list(scenario.traffic_classes)
    now = 0
    while now < arrivals.end:
        arrivals.rate_factor = _traffic_factor(scenario.faults, now, arrivals.end)
        gap = arrivals.gap(now)
        for arrival in arrivals.batch() if gap is not None else ():
            id_ = f"{arrival.traffic_class}-{len(planned) + 1}"
            deadline = deadlines[arrival.traffic_class]
            requests[id_] = ClientRequest(
                id_, *arrival, created_at=now, deadline_at=now + deadline, span=arrivals.span(now)
            )
            name = names[arrival.traffic_class]
            planned.append(PlannedRequest(now, id_, name, *arrival, deadline=deadline))
        now += QUIET_SPAN_STEP if gap is None else gap
    return planned, requests


def _traffic_factor(faults: list[ScriptedFault], now: int, end: int) -> float:
    factor = 1.0
    for fault in faults:
        if fault.kind == "traffic":
            begins = int(fault.at or 0)
            if begins <= now < begins + (int(fault.duration) or end):
                factor *= fault.amount
    return factor


class ClientsRunner:
    """The client process, and the greenlet that reads the events of the process into the log."""

    def __init__(self, folder: Path, job: ClientsJob, log: ObservationLog) -> None:
        self._log = log
        job_file = folder / "job.json"
        job_file.write_bytes(msgspec.json.encode(job))
        command = [sys.executable, "-m", "ashpath.emulator.loopback.client_process", str(job_file)]
        with (folder / "clients.log").open("wb") as errors:
            self._process = subprocess.Popen(
                command, stdout=subprocess.PIPE, stderr=errors, stdin=subprocess.DEVNULL
            )
        self._reader = gevent.spawn(self._read)

    def _read(self) -> None:
        assert self._process.stdout is not None
        for line in self._process.stdout:
            self._log.add(msgspec.json.decode(line, type=ClientEvent))

    def is_running(self) -> bool:
        """Whether the process may still write events."""
        return not self._reader.dead

    def finish(self) -> None:
        """Terminates the process, and reads its remaining events."""
        self._process.terminate()
        self._reader.join(FINAL_EVENTS_TIMEOUT_S)

    def kill(self) -> None:
        """Kills the process if it still runs."""
        if self._process.poll() is None:
            self._process.kill()
            self._process.wait()
