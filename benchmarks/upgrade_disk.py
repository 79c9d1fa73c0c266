"""Measures the disk space and the refused messages of hot upgrades under load.

    .venv/bin/python -m benchmarks.upgrade_disk [PLAYS] [BASE]

It needs `make dev`. With BASE, an older commit, each play runs on that commit too, before it runs on this
tree. Real processes of the sender share a listening socket; their endpoints and clients are simulated by
this process. One of twenty destinations never responds. The new process starts as the old one's log has the
size of the row, and the old one gets SIGTERM once the new one answers PING. A play counts:

- refused: messages answered 503 from then until the old process has ended, and the seconds that this took;
- most bytes: the most that all files of the state directory took, each in blocks of 512 bytes.
"""

from __future__ import annotations

import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer
from msgspec import Struct

from ashpath.core.policy_settings import sender_settings
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.limits.http import HttpLimits
from ashpath.server.limits.server_limits import ServerLimits
from ashpath.server.storage.directory_usage import directory_usage
from benchmarks.figure_storage import ROOT, store_figures
from benchmarks.start import extract
from benchmarks.upgrade import Senders
from benchmarks.upgrade_surroundings import SETTINGS, Agent, Observations

DESTINATIONS = 20
HANGING = 0  # the destination that never responds
SERVICE_S = 0.05
DEADLINE_MS = 12000
WARM_UP_S = 6.0  # before the log is looked at
WATCH_INTERVAL_S = 0.005
START_TIMEOUT_S = 60.0  # for the log to have the size of the row
DEFAULT_PLAYS = 3


class Row(Struct, frozen=True):
    """One load, and the size of the log at which the upgrade begins."""

    disk_mb: int
    rate: int
    """Messages a second."""
    body_bytes: int
    log_bytes: int


ROWS = (
    Row(disk_mb=3, rate=80, body_bytes=4 << 10, log_bytes=1_800_000),
    Row(disk_mb=8, rate=60, body_bytes=40 << 10, log_bytes=4_000_000),
    Row(disk_mb=3, rate=100, body_bytes=10 << 10, log_bytes=500_000),
)


class Surroundings:
    """The endpoints and the clients of one play."""

    def __init__(self, limits: HttpLimits) -> None:
        self.limits = limits
        self.statuses: list[tuple[float, int]] = []  # of responses to clients, with their times
        self.servers = [
            StreamServer(("127.0.0.1", 0), self.hang if number == HANGING else self.respond)
            for number in range(DESTINATIONS)
        ]
        for server in self.servers:
            server.start()

    def endpoint_list(self) -> dict[str, Any]:
        """Returns the endpoint list, with one endpoint for each destination."""
        members = [
            {
                "id": f"e{number}",
                "host_port": f"127.0.0.1:{server.server_port}",
                "locality": "here",
                "flavor": "plain",
                "cell": number,
                "phase": "up",
                "size": 1.0,
            }
            for number, server in enumerate(self.servers)
        ]
        return {"revision": 1, "complete": True, "members": members}

    def hang(self, sock: socket.socket, _: object) -> None:
        """Reads what comes, and never responds."""
        while sock.recv(1 << 16):
            pass

    def respond(self, sock: socket.socket, _: object) -> None:
        """Responds 200 to each call."""
        connection = HttpConnection(sock, self.limits)
        try:
            while connection.read_request():
                gevent.sleep(SERVICE_S)
                connection.write(encode_message(b"HTTP/1.1 200 OK", [], b""))
        except (OSError, ConnectionClosedError, ProtocolError):
            pass
        connection.close()

    def submit_all(self, address: tuple[str, int], row: Row) -> None:
        """Submits messages at the rate of the row until it is killed."""
        body = b"x" * row.body_bytes
        number = 0
        began = time.monotonic()
        while True:
            number += 1
            gevent.spawn(self.submit, address, number, body)
            gevent.sleep(max(0.0, began + number / row.rate - time.monotonic()))

    def submit(self, address: tuple[str, int], number: int, body: bytes) -> None:
        """Submits one message on a connection of its own, and records the status of the response."""
        headers = [
            (b"X-Trace-Id", b"%016x" % number),
            (b"X-Qos", b"status"),
            (b"X-Expires-In-Ms", b"%d" % DEADLINE_MS),
            (b"X-Route-To", b"dest=%d" % (number % DESTINATIONS)),
        ]
        status = 0
        try:
            connection = HttpConnection(socket.create_connection(address, timeout=2), self.limits)
            connection.write(encode_message(b"POST /api HTTP/1.1", headers, body))
            status = connection.read_response().status
            connection.close()
        except (OSError, ConnectionClosedError):
            pass
        self.statuses.append((time.monotonic(), status))


class SizeWatch:
    """Measures a state directory until it is killed."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.most = 0

    def run(self) -> None:
        """Measures at each interval. Never returns."""
        while True:
            self.most = max(self.most, sum(directory_usage(self.directory).values()))
            gevent.sleep(WATCH_INTERVAL_S)


def wait_for_log(path: Path, size: int) -> None:
    """Returns once the log has the size, while it is smaller than twice that."""
    until = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < until:
        if size <= path.stat().st_size < 2 * size:
            return
        gevent.sleep(WATCH_INTERVAL_S)


def play(row: Row, tree: Path) -> dict[str, Any]:
    """Plays one upgrade, and returns its figures."""
    limits_of_row = {"sockets": 512, "disk_mb": row.disk_mb}
    limits = ServerLimits.from_configuration(limits_of_row, sender_settings(1, SETTINGS)).http
    surroundings = Surroundings(limits)
    endpoint_list = surroundings.endpoint_list()
    agent = Agent(endpoint_list, limits, Observations())
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        senders = Senders(folder, [tree], agent, endpoint_list, limits_of_row)
        old = senders.start()
        watch = SizeWatch(folder / "state")
        watching = gevent.spawn(watch.run)
        submitting = gevent.spawn(surroundings.submit_all, senders.address, row)
        gevent.sleep(WARM_UP_S)
        wait_for_log(folder / "state" / "journal", row.log_bytes)
        new = senders.start()
        began = time.monotonic()
        old.send_signal(signal.SIGTERM)
        old.wait()
        ended = time.monotonic()
        gevent.sleep(1.0)
        submitting.kill()
        watching.kill()
        new.kill()
        new.wait()
    statuses = Counter(status for at, status in surroundings.statuses if began <= at <= ended)
    return {
        "refused": statuses[503],
        "accepted": statuses[202],
        "no_response": statuses[0],
        "seconds": round(ended - began, 2),
        "most_bytes": watch.most,
        "limit": row.disk_mb << 20,
    }


def main() -> None:
    """Plays all rows on each tree, prints and stores the figures."""
    plays = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_PLAYS
    base = sys.argv[2] if len(sys.argv) > 2 else None
    figures = []
    with tempfile.TemporaryDirectory() as folder_name:
        trees = {"this tree": ROOT}
        if base is not None:
            trees = {base: Path(folder_name) / "base", **trees}
            extract(base, trees[base])
        for row in ROWS:
            for name, tree in trees.items():
                for _ in range(plays):
                    figures.append({"tree": name, "row": repr(row), **play(row, tree)})
                    print(figures[-1], flush=True)
    command = " ".join(["python -m benchmarks.upgrade_disk", *sys.argv[1:]])
    store_figures("upgrade-disk", command, {"plays": figures})


if __name__ == "__main__":
    main()
