"""One sender of a run: its folder, its successive processes, its discovery agents and its signals."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path
from time import monotonic

import gevent
import orjson
from gevent import subprocess

from ashpath.core.json_types import JsonObject
from ashpath.emulator.errors import RequestError
from ashpath.emulator.fault_injection.call_faults import ProcessFaults
from ashpath.emulator.fault_injection.discovery_agent import DiscoveryAgent
from ashpath.emulator.fault_injection.launcher import SCHEDULE_VARIABLE
from ashpath.emulator.http_client import HttpClient
from ashpath.emulator.soak.records import Incarnation, SoakRecords
from ashpath.emulator.stand_ins import LOOPBACK
from ashpath.server import wire_names
from ashpath.server.limits.http import HttpLimits

LAUNCHER = "ashpath.emulator.fault_injection.launcher"
READY_POLL_S = 0.02
READY_TIMEOUT_S = 0.5
KILL_AFTER_TERM_S = 3.7  # the earliest SIGKILL after SIGTERM
DOWNTIME_S = 0.6  # between the end of a process and the next start


class SoakSender:
    """`agents` serve the sender's service discovery; the sender starts with the first agent."""

    def __init__(
        self,
        number: int,
        port: int,
        folder: Path,
        settings: JsonObject,
        agents: list[DiscoveryAgent],
        faults: ProcessFaults,
        records: SoakRecords,
        limits: HttpLimits,
    ) -> None:
        self.number = number
        self.address = (LOOPBACK, port)
        self.agents = agents
        self._folder = folder
        self._settings = settings
        self._records = records
        self._process: subprocess.Popen[bytes] | None = None
        self._ready_client = HttpClient(self.address, limits, READY_TIMEOUT_S, max_idle=0)
        folder.mkdir(parents=True)
        (folder / "state").mkdir()
        (folder / "faults").write_bytes(faults.encode())
        self.configure(agents[0])

    def configure(self, agent: DiscoveryAgent) -> None:
        """Writes the configuration file, with the address and the endpoint list of `agent`."""
        document = {
            "seed": f"{self.number + 1:x}",
            "settings": self._settings | {"rank": self.number},
            "limits": {"sockets": 256, "disk_mb": 1},
            "known": {"revision": agent.revision, "complete": True, "members": agent.members},
            "discovery": agent.address,
        }
        temporary = self._folder / "config.json.new"
        temporary.write_bytes(orjson.dumps(document))
        os.replace(temporary, self._folder / "config.json")

    def start(self) -> None:
        """Starts a process, and a greenlet that records when it becomes ready or exits."""
        environment = os.environ | {
            "RELAY_NAME": f"n{self.number}",
            "RELAY_LISTEN": f"{LOOPBACK}:{self.address[1]}",
            "RELAY_DISCOVERY": self.agents[0].address,
            "RELAY_STATE": str(self._folder / "state"),
            "RELAY_CONFIG": str(self._folder / "config.json"),
            SCHEDULE_VARIABLE: str(self._folder / "faults"),
        }
        with (self._folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", LAUNCHER], env=environment, stdout=log, stderr=log
            )
        incarnation = Incarnation(self.number, monotonic())
        self._records.incarnations.append(incarnation)
        gevent.spawn(self._watch, self._process, incarnation)

    def _watch(self, process: subprocess.Popen[bytes], incarnation: Incarnation) -> None:
        """Records when the process becomes ready, and whether it ends unexpectedly."""
        while process.poll() is None:
            if not incarnation.ready_at and self._is_ready():
                incarnation.ready_at = monotonic()
            gevent.sleep(READY_POLL_S)
        if incarnation.end_began_at > monotonic():
            code = process.returncode
            self._records.crashes.append(f"sender {self.number} ended unexpectedly with exit code {code}")

    def _is_ready(self) -> bool:
        try:
            return self._ready_client.request(b"GET %s HTTP/1.1" % wire_names.READINESS_PATH).status == 200
        except RequestError:
            return False

    def reload(self, agent: DiscoveryAgent) -> None:
        """Configures another agent, and sends SIGHUP if the process is ready."""
        self.configure(agent)
        process = self._process
        # Before readiness the interpreter may still be starting, with no SIGHUP handler installed.
        is_ready = self._records.incarnations[self._incarnation_index()].ready_at > 0
        if process is not None and process.poll() is None and is_ready:
            process.send_signal(signal.SIGHUP)

    def terminate(self) -> None:
        """Sends SIGTERM, then SIGKILL after `KILL_AFTER_TERM_S`, and waits for `DOWNTIME_S`."""
        process = self._process
        if process is not None:
            self._records.incarnations[self._incarnation_index()].end_began_at = monotonic()
            process.terminate()
            gevent.sleep(KILL_AFTER_TERM_S)
            self.kill()

    def kill(self) -> None:
        """Sends SIGKILL, and waits for `DOWNTIME_S`."""
        process = self._process
        if process is not None:
            incarnation = self._records.incarnations[self._incarnation_index()]
            now = monotonic()
            incarnation.end_began_at = min(incarnation.end_began_at, now)
            incarnation.killed_at = min(incarnation.killed_at, now)
            if process.poll() is None:
                process.kill()
                process.wait()
            gevent.sleep(DOWNTIME_S)

    def _incarnation_index(self) -> int:
        numbers = [
            n for n, incarnation in enumerate(self._records.incarnations) if incarnation.sender == self.number
        ]
        return numbers[-1]

    def is_running(self) -> bool:
        """Whether the sender has a running process."""
        return self._process is not None and self._process.poll() is None
