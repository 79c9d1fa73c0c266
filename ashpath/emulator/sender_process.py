"""One `ashpath serve` process of a run on loopback or of the demonstration."""

from __future__ import annotations

import sys
from pathlib import Path
from time import monotonic

import gevent
from gevent import subprocess

from ashpath.emulator.errors import RequestError, SenderStartError
from ashpath.emulator.http_client import HttpClient
from ashpath.server import wire_names
from ashpath.server.limits.http import HttpLimits

READINESS_TIMEOUT_S = 1.0
READINESS_POLL_S = 0.05
SHUTDOWN_TIMEOUT_S = 6.0


class SenderProcess:
    """A process that appends its output to a log file, and that can be started again after a kill."""

    def __init__(self, configuration: Path, log: Path, address: tuple[str, int], limits: HttpLimits) -> None:
        self.configuration = configuration
        self.log = log
        self._client = HttpClient(address, limits, READINESS_TIMEOUT_S, max_idle=0)
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process, unless it runs, without waiting until it is ready."""
        if self.is_running():
            return
        command = [sys.executable, "-m", "ashpath.cli", "serve", str(self.configuration)]
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def is_ready(self) -> bool:
        """Returns whether the sender accepts messages."""
        try:
            response = self._client.request(b"GET %s HTTP/1.1" % wire_names.READINESS_PATH)
        except RequestError:
            return False
        return response.status == 200

    def wait_until_ready(self, timeout_s: float) -> None:
        """Waits until the sender is ready.

        Raises SenderStartError if the process exits, or is not ready within `timeout_s`.
        """
        deadline = monotonic() + timeout_s
        while not self.is_ready():
            if monotonic() > deadline or not self.is_running():
                raise SenderStartError(self.log)
            gevent.sleep(READINESS_POLL_S)

    def is_running(self) -> bool:
        """Returns whether the process was started and has not exited."""
        return self._process is not None and self._process.poll() is None

    def kill(self) -> None:
        """Kills the process without a graceful shutdown."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def stop(self) -> None:
        """Shuts the process down gracefully, and kills it after SHUTDOWN_TIMEOUT_S."""
        if self._process is None or self._process.poll() is not None:
            return
        self._process.terminate()
        try:
            self._process.wait(SHUTDOWN_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
