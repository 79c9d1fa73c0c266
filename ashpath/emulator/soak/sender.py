"""One sender of a run: its folder, its successive processes, its discovery agents and its signals."""

from __future__ import annotations

import os
import signal
import sys
from contextlib import suppress
from pathlib import Path
from time import monotonic

import gevent
import orjson
from gevent import get_hub, socket, subprocess
from msgspec import Struct

from ashpath.core.json_types import JsonObject
from ashpath.emulator.errors import RequestError
from ashpath.emulator.fault_injection.call_faults import ProcessFaults
from ashpath.emulator.fault_injection.discovery_agent import DiscoveryAgent
from ashpath.emulator.fault_injection.launcher import (
    DESCRIPTORS_VARIABLE,
    SCHEDULE_VARIABLE,
    STARTED_AT_VARIABLE,
)
from ashpath.emulator.http_client import HttpClient
from ashpath.emulator.process_size import process_resident_bytes
from ashpath.emulator.process_sockets import open_sockets
from ashpath.emulator.soak.plan import DISK_MB, MEMORY_MB_BY_UPGRADES, StopMethod
from ashpath.emulator.soak.records import Incarnation, SoakRecords
from ashpath.emulator.stand_ins import LOOPBACK, free_port
from ashpath.server import wire_names
from ashpath.server.addresses import Address
from ashpath.server.limits.http import HttpLimits
from ashpath.server.storage.directory_usage import directory_usage

LAUNCHER = "ashpath.emulator.fault_injection.launcher"
READY_POLL_S = 0.02
READY_TIMEOUT_S = 0.5
PING_ANSWER = b"OK\n"
BACKLOG = 1024
KILL_AFTER_TERM_S = 3.7  # the earliest SIGKILL after SIGTERM
SIGNALS_AFTER_TERM = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
SIGNAL_INTERVAL_S = 0.3
DOWNTIME_S = 0.6  # between the end of a process and the next start
DESCRIPTORS = 256  # in the configuration of a sender without a descriptor limit


class SenderOptions(Struct, frozen=True):
    """The faults of a sender's processes, and their limits."""

    faults: ProcessFaults
    descriptor_limit: int | None = None
    """The soft limit of each process, and the descriptors in its configuration."""
    upgrades: int = 0
    """Number of its hot upgrades, for which its processes inherit their listening socket."""


class SenderProcess(Struct, frozen=True, eq=False):
    """One process of a sender, and its address for operators' commands."""

    process: subprocess.Popen[bytes]
    incarnation: Incarnation
    control: Address

    def answers_ping(self) -> bool:
        """Whether the process has restored its state, and listens."""
        try:
            with socket.create_connection(self.control, timeout=READY_TIMEOUT_S) as connection:
                connection.sendall(b"PING\n")
                return bool(connection.recv(len(PING_ANSWER)) == PING_ANSWER)
        except OSError:
            return False

    def kill(self) -> None:
        """Sends SIGKILL unless the process has exited, and waits for its exit."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class SoakSender:
    """`agents` serve its service discovery at `agent_addresses`; the sender starts with the first one."""

    def __init__(
        self,
        number: int,
        port: int,
        folder: Path,
        settings: JsonObject,
        agents: list[DiscoveryAgent],
        agent_addresses: list[str],
        options: SenderOptions,
        records: SoakRecords,
        limits: HttpLimits,
    ) -> None:
        self.number = number
        self.address = (LOOPBACK, port)
        self.agents = agents
        self._agent_addresses = agent_addresses
        self._options = options
        self._folder = folder
        self._settings = settings
        self._records = records
        self._current: SenderProcess | None = None
        self._predecessors: list[SenderProcess] = []  # of the current process, in hot upgrades
        self._listener = self._listen() if options.upgrades else None
        self._ready_client = HttpClient(self.address, limits, READY_TIMEOUT_S, max_idle=0)
        folder.mkdir(parents=True)
        (folder / "state").mkdir()
        (folder / "faults").write_bytes(options.faults.encode())
        self.configure(0)

    @property
    def memory_mb(self) -> int:
        """The memory limit of all processes together, in megabytes."""
        return MEMORY_MB_BY_UPGRADES[self._options.upgrades]

    @property
    def max_sockets(self) -> int:
        """The limit of sockets of all processes together."""
        return self._options.descriptor_limit or DESCRIPTORS

    def _running(self) -> list[SenderProcess]:
        current = [] if self._current is None else [self._current]
        return [one for one in (*self._predecessors, *current) if one.process.poll() is None]

    def resident_bytes(self) -> int:
        """Returns the resident size of all processes together."""
        return sum(process_resident_bytes(one.process.pid) for one in self._running())

    def sockets(self) -> int:
        """Returns the sockets that all processes hold together; one that several of them hold counts once."""
        return len(open_sockets([one.process.pid for one in self._running()]))

    def disk_bytes(self) -> int:
        """Returns what all files of the state directory take, each in whole blocks."""
        return sum(directory_usage(self._folder / "state").values())

    def _listen(self) -> socket.socket:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(BACKLOG)
        return listener

    def configure(self, agent_number: int) -> None:
        """Writes the configuration file, with the address and the endpoint list of one agent."""
        agent = self.agents[agent_number]
        document = {
            "seed": f"{self.number + 1:x}",
            "settings": self._settings | {"rank": self.number},
            "limits": {
                "sockets": self.max_sockets,
                "memory_mb": self.memory_mb,
                "disk_mb": DISK_MB,
            },
            "known": {"revision": agent.revision, "complete": True, "members": agent.members},
            "discovery": self._agent_addresses[agent_number],
            "attempt_log": True,
        }
        temporary = self._folder / "config.json.new"
        temporary.write_bytes(orjson.dumps(document))
        os.replace(temporary, self._folder / "config.json")

    def start(self) -> None:
        """Starts a process, and a greenlet that records when it becomes ready or exits."""
        control = (LOOPBACK, free_port())
        inherited = () if self._listener is None else (self._listener.fileno(),)
        started_at = monotonic()
        with (self._folder / "log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", LAUNCHER],
                env=self._environment(control) | {STARTED_AT_VARIABLE: str(started_at)},
                stdout=log,
                stderr=log,
                pass_fds=inherited,
            )
        self._current = SenderProcess(process, Incarnation(self.number, started_at), control)
        self._records.incarnations.append(self._current.incarnation)
        gevent.spawn(self._watch, self._current)

    def _environment(self, control: Address) -> dict[str, str]:
        environment = os.environ | {
            "RELAY_NAME": f"n{self.number}",
            "RELAY_LISTEN": f"{LOOPBACK}:{self.address[1]}",
            "RELAY_DISCOVERY": self._agent_addresses[0],
            "RELAY_STATE": str(self._folder / "state"),
            "RELAY_CONFIG": str(self._folder / "config.json"),
            SCHEDULE_VARIABLE: str(self._folder / "faults"),
        }
        if self._options.descriptor_limit:
            environment[DESCRIPTORS_VARIABLE] = str(self._options.descriptor_limit)
        if self._listener is not None:
            environment["RELAY_ACCEPT_FD"] = str(self._listener.fileno())
            environment["RELAY_CONTROL"] = f"{LOOPBACK}:{control[1]}"
        return environment

    def _watch(self, running: SenderProcess) -> None:
        """Records when the process becomes ready, and whether it ends unexpectedly."""
        incarnation = running.incarnation
        while running.process.poll() is None:
            if not incarnation.ready_at and self._is_ready(running):
                incarnation.ready_at = monotonic()
            gevent.sleep(READY_POLL_S)
        incarnation.exited_at = monotonic()
        if incarnation.end_began_at > incarnation.exited_at:
            code = running.process.returncode
            self._records.crashes.append(f"sender {self.number} ended unexpectedly with exit code {code}")

    def _is_ready(self, running: SenderProcess) -> bool:
        if self._listener is not None:
            return running.answers_ping()  # the other process of a hot upgrade may answer at the listener
        try:
            return self._ready_client.request(b"GET %s HTTP/1.1" % wire_names.READINESS_PATH).status == 200
        except RequestError:
            return False

    def reload(self, agent_number: int) -> None:
        """Configures another agent, and sends SIGHUP if the process is ready."""
        # A replaced file waits for the disk. On this thread, the stand-ins of all runs would wait with it.
        get_hub().threadpool.apply(self.configure, (agent_number,))
        current = self._current
        # Before readiness the interpreter may still be starting, with no SIGHUP handler installed.
        if current is not None and current.process.poll() is None and current.incarnation.ready_at:
            current.process.send_signal(signal.SIGHUP)

    def terminate(self) -> None:
        """Sends SIGTERM with further signals behind it, then SIGKILL `KILL_AFTER_TERM_S` after the first, and
        waits for `DOWNTIME_S`."""
        current = self._current
        if current is not None:
            current.incarnation.end_began_at = monotonic()
            killed_at = monotonic() + KILL_AFTER_TERM_S
            self._send_term_in_series(current)
            gevent.sleep(killed_at - monotonic())
            self.kill()

    @staticmethod
    def _send_term_in_series(running: SenderProcess) -> None:
        """Sends SIGTERM, and further signals behind it."""
        running.process.terminate()
        for signal_number in SIGNALS_AFTER_TERM:
            gevent.sleep(SIGNAL_INTERVAL_S)
            if running.process.poll() is None:
                running.process.send_signal(signal_number)

    def kill(self) -> None:
        """Sends SIGKILL, and waits for `DOWNTIME_S`."""
        for predecessor in self._predecessors:
            predecessor.kill()
        current = self._current
        if current is not None:
            now = monotonic()
            current.incarnation.end_began_at = min(current.incarnation.end_began_at, now)
            current.incarnation.killed_at = min(current.incarnation.killed_at, now)
            current.kill()
            gevent.sleep(DOWNTIME_S)

    def upgrade(self, how: StopMethod) -> None:
        """Starts a further process, and ends the current one once that is ready, with signals in series."""
        if not self._await_ready():
            return
        old = self._current
        assert old is not None
        self._predecessors = [*self._running()]
        self.start()
        if not self._await_ready():
            return  # the rule checker reports it
        old.incarnation.hands_over = True
        old.incarnation.end_began_at = monotonic()
        if how is StopMethod.TERMINATE:
            killed_at = monotonic() + KILL_AFTER_TERM_S
            self._send_term_in_series(old)
            with suppress(subprocess.TimeoutExpired):
                old.process.wait(max(0.0, killed_at - monotonic()))
        if old.process.poll() is None:
            old.incarnation.killed_at = monotonic()
            old.kill()

    def _await_ready(self) -> bool:
        """Waits until the current process is ready. Returns False if it exits first."""
        current = self._current
        while current is not None and current.process.poll() is None:
            if current.incarnation.ready_at:
                return True
            gevent.sleep(READY_POLL_S)
        return False

    def close(self) -> None:
        """Kills the processes, and closes the listening socket that they inherit."""
        self.kill()
        if self._listener is not None:
            self._listener.close()

    @property
    def process_id(self) -> int:
        """The id of the current process; 0 before the first start."""
        return self._current.process.pid if self._current is not None else 0
