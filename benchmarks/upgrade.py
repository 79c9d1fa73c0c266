"""Measures hot upgrades under load. SIGTERM and SIGKILL end the old process in turn.

    .venv/bin/python -m benchmarks.upgrade [UPGRADES] [CLIENTS] [BASE]

With BASE, an older commit, processes of that commit and of this tree alternate: each upgrade is to the other
version, on the same stored data.

The sender's processes share a listening socket of this process. Clients keep their connections, and check
before each request that the connection is still open; every fourth client sends each request in two pieces on
a new connection. Destinations respond with 200, or with 429 and Retry-After. A platform agent serves the
endpoint list and accepts notifications. The benchmark counts:

- lost: messages that were accepted, and at the end are neither delivered nor notified;
- doubled: deduplicated messages that ran again after the end of the window that began with their first run;
- at the door: requests that were written and got no response (counted by signal, as a SIGKILL resets
  connections with unread requests);
- waits broken: calls more than 0.1 s after a Retry-After was sent to either process and before its end;
- gap: the longest time between responses to clients.
"""

from __future__ import annotations

import os
import signal
import sys
import tempfile
import time
from collections.abc import Sequence
from itertools import cycle
from pathlib import Path
from random import Random
from typing import Any

import gevent
import orjson
from gevent import socket, subprocess

from ashpath.core.policy_settings import sender_settings
from ashpath.server.limits.http import HttpLimits
from ashpath.server.limits.server_limits import ServerLimits
from benchmarks.figure_storage import ROOT, store_figures
from benchmarks.start import extract
from benchmarks.upgrade_surroundings import (
    LIMITS,
    NUMBER_OF_DESTINATIONS,
    SETTINGS,
    Agent,
    Client,
    DestinationServer,
    Observations,
)

DEFAULT_UPGRADES = 20
DEFAULT_CLIENTS = 16
BETWEEN_UPGRADES_S = 4.0
FINAL_LOAD_S = 1.0
FINAL_OUTCOMES_TIMEOUT_S = 16.0  # covers the deadlines of messages that the last process still has
START_TIMEOUT_S = 20.0


class Senders:
    """Starts the sender's processes, all on the same listening socket and state directory."""

    def __init__(
        self,
        folder: Path,
        trees: Sequence[Path],
        agent: Agent,
        endpoint_list: dict[str, Any],
        limits: dict[str, int],
    ) -> None:
        self._folder = folder
        self._trees = cycle(trees)
        self._agent = agent
        configuration = {"seed": "7", "settings": SETTINGS, "limits": limits, "known": endpoint_list}
        (folder / "config.json").write_bytes(orjson.dumps(configuration))
        (folder / "state").mkdir()
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(1024)
        os.set_inheritable(self._listener.fileno(), True)
        self.address: tuple[str, int] = self._listener.getsockname()

    def start(self) -> subprocess.Popen[bytes]:
        """Starts the next process. Returns once the process answers PING."""
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            control: tuple[str, int] = probe.getsockname()
        tree = next(self._trees)
        environment = {
            "PYTHONPATH": str(tree),
            "RELAY_NAME": "n0",
            "RELAY_STATE": str(self._folder / "state"),
            "RELAY_LISTEN": f"127.0.0.1:{self.address[1]}",
            "RELAY_DISCOVERY": self._agent.address,
            "RELAY_CONFIG": str(self._folder / "config.json"),
            "RELAY_CONTROL": f"127.0.0.1:{control[1]}",
            "RELAY_ACCEPT_FD": str(self._listener.fileno()),
        }
        with (self._folder / "log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "ashpath"],
                cwd=tree,
                env=environment,
                stdout=log,
                stderr=log,
                pass_fds=(self._listener.fileno(),),
            )
        self._wait_for_ping(control)
        return process

    def _wait_for_ping(self, control: tuple[str, int]) -> None:
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            try:
                with socket.create_connection(control, timeout=1) as connection:
                    connection.sendall(b"PING\n")
                    if connection.recv(10).startswith(b"OK"):
                        return
            except OSError:
                gevent.sleep(0.02)
        failure = f"the sender did not start: {self._folder / 'log'}"
        raise SystemExit(failure)


class Upgrades:
    """The current process, and the seconds that each earlier process took to exit."""

    def __init__(self, senders: Senders, observations: Observations) -> None:
        self.exits_s: list[float] = []
        self._senders = senders
        self._observations = observations
        self._process = senders.start()

    def upgrade(self, by: signal.Signals) -> None:
        """Starts the next process, then ends the current one by the signal."""
        successor = self._senders.start()
        self._observations.signal = by
        began = time.monotonic()
        self._process.send_signal(by)
        self._process.wait()
        self.exits_s.append(time.monotonic() - began)
        self._process = successor

    def finish(self) -> set[str]:
        """Waits for pending outcomes, and kills the process. Returns the ids of lost messages."""
        until = time.monotonic() + FINAL_OUTCOMES_TIMEOUT_S
        lost = set(self._observations.accepted)
        while lost and time.monotonic() < until:
            gevent.sleep(0.2)
            lost = self._observations.lost()
        self._process.kill()
        self._process.wait()
        return lost


def start_clients(
    count: int, senders: Senders, limits: HttpLimits, random: Random, observations: Observations
) -> list[gevent.Greenlet[Any, Any]]:
    """Starts the clients. Each fourth client sends its requests in two pieces."""
    return [
        gevent.spawn(Client(senders.address, limits, random, observations, in_two_pieces=number % 4 == 0).run)
        for number in range(count)
    ]


def main() -> None:
    """Measures and stores the figures."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_UPGRADES
    clients = int(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_CLIENTS
    base = sys.argv[3] if len(sys.argv) > 3 else None
    random = Random(7)
    limits = ServerLimits.from_configuration(LIMITS, sender_settings(1, SETTINGS)).http
    observations = Observations()
    with tempfile.TemporaryDirectory() as folder_name:
        destinations = [
            DestinationServer(number, limits, random, observations)
            for number in range(NUMBER_OF_DESTINATIONS)
        ]
        members = [destination.member() for destination in destinations]
        endpoint_list = {"revision": 1, "complete": True, "members": members}
        agent = Agent(endpoint_list, limits, observations)
        trees = [ROOT]
        if base is not None:
            trees.insert(0, Path(folder_name) / "base")
            extract(base, trees[0])
        senders = Senders(Path(folder_name), trees, agent, endpoint_list, LIMITS)
        greenlets = start_clients(clients, senders, limits, random, observations)
        upgrades = Upgrades(senders, observations)
        for number in range(count):
            gevent.sleep(BETWEEN_UPGRADES_S)
            upgrades.upgrade(signal.SIGKILL if number % 2 else signal.SIGTERM)
        gevent.sleep(FINAL_LOAD_S)
        gevent.killall(greenlets)
        lost = upgrades.finish()
    command = " ".join(["python -m benchmarks.upgrade", *sys.argv[1:]])
    run = {"upgrades": count, "clients": clients}
    store_figures(
        "upgrade" if base is None else "upgrade-from-base",
        command,
        run | figures_of(observations, upgrades, lost),
    )


def figures_of(observations: Observations, upgrades: Upgrades, lost: set[str]) -> dict[str, Any]:
    """Returns the figures of a run."""
    counts = observations.counts
    return {
        "handed_in": observations.submitted,
        "taken_on": len(observations.accepted),
        "lost": len(lost),
        "doubled": counts["doubled"],
        "waits_broken": counts["waits broken"],
        "at_the_door_by_SIGTERM": counts["at the door, SIGTERM"],
        "at_the_door_by_SIGKILL": counts["at the door, SIGKILL"],
        "longest_gap_s": round(observations.longest_gap_s, 3),
        "longest_exit_s": round(max(upgrades.exits_s, default=0.0), 2),
        "answers": {name: count for name, count in sorted(counts.items()) if name.startswith("ans")},
    }


if __name__ == "__main__":
    main()
