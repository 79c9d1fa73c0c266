"""The sender processes of a run on loopback, each with its own folder, configuration file and log."""

from __future__ import annotations

from pathlib import Path
from time import monotonic

import gevent
import tomli_w

from ashpath.config.file_document import file_document
from ashpath.emulator.errors import FleetStartError
from ashpath.emulator.scenario.schema import Scenario
from ashpath.emulator.scenario.settings import sender_configuration
from ashpath.emulator.sender_process import READINESS_POLL_S, SenderProcess
from ashpath.emulator.stand_ins import LOOPBACK, free_port
from ashpath.server.limits.http import HttpLimits

START_TIMEOUT_S = 20.0


class LoopbackSenders:
    """The sender processes. `agents` are the addresses of service discovery, by sender."""

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        agents: list[str],
        notice_port: int,
        limits: HttpLimits,
    ) -> None:
        self.addresses = [(LOOPBACK, free_port()) for _ in agents]
        self._folder = folder
        self._processes: list[SenderProcess] = []
        for number, agent in enumerate(agents):
            sender_folder = folder / f"sender-{number}"
            sender_folder.mkdir(exist_ok=True)
            file = sender_folder / "sender.toml"
            text = self._configuration(scenario, number, agent, notice_port)
            file.write_text(text)
            log = sender_folder / "log"
            self._processes.append(SenderProcess(file, log, self.addresses[number], limits))

    def _configuration(self, scenario: Scenario, number: int, agent: str, notice_port: int) -> str:
        configuration = sender_configuration(scenario)
        configuration.sender.number = number
        configuration.sender.senders = scenario.fleet.senders
        rows = file_document(configuration)
        host, port = self.addresses[number]
        rows["sender"] |= {"name": f"n{number}", "listen": f"{host}:{port}", "seed": f"{number + 1:x}"}
        rows["platform"] = {"directory": agent}
        rows["notices"] = {"address": f"http://{LOOPBACK}:{notice_port}/v1/notices"}
        return tomli_w.dumps(rows)

    def start_all(self) -> None:
        """Starts all senders, and waits until they are ready.

        Raises FleetStartError if a sender is not ready within `START_TIMEOUT_S`.
        """
        for process in self._processes:
            process.start()
        until = monotonic() + START_TIMEOUT_S
        while not all(process.is_ready() for process in self._processes):
            if monotonic() > until:
                raise FleetStartError(self._folder)
            gevent.sleep(READINESS_POLL_S)

    def start(self, number: int) -> None:
        """Starts a sender again after a kill."""
        self._processes[number].start()

    def kill(self, number: int) -> None:
        """Kills a sender without a graceful shutdown."""
        self._processes[number].kill()

    def kill_all(self) -> None:
        """Kills the senders that still run."""
        for process in self._processes:
            process.kill()
