"""How many sockets the processes of a sender hold together, beside crowds and in hot upgrades.

    .venv/bin/python -m benchmarks.upgrade_sockets [--rows TEXT]

Real processes, two upgrades in a row (SIGTERM at the new process's yes, SIGKILL 3.7 s later), 40 destinations
of which four in ten hang, 20 clients that submit a message every 0.2 s each. Prints a line a row: the most
sockets of one process before the upgrades, the most of all processes from then on, and the messages that were
answered 202 of those that were submitted. A socket that several processes hold counts once. The exit code is
1 if a row went over its limit.
"""

from __future__ import annotations

import argparse
import os
import sys
import tempfile
from contextlib import suppress
from functools import partial
from itertools import count
from pathlib import Path

import gevent
from gevent import socket, subprocess
from msgspec import Struct

from ashpath.emulator.crowd.shapes import CrowdShape
from ashpath.emulator.errors import RequestError
from ashpath.emulator.http_client import HttpClient
from ashpath.emulator.soak.plan import StopMethod
from ashpath.emulator.soak.sender import SoakSender
from ashpath.emulator.soak.settings import soak_settings
from ashpath.emulator.stand_ins import STAND_IN_LIMITS
from ashpath.server import wire_names
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from benchmarks.upgrade_sender import UPGRADES, upgradable_sender

DESTINATIONS = 40
HANGING = 16  # destinations
HANG_S = 60.0
CLIENTS = 20
SUBMIT_INTERVAL_S = 0.2
RESPONSE_TIMEOUT_S = 0.4
CALM_S = 3.0  # before the first upgrade, and after the last
BETWEEN_UPGRADES_S = 1.0
PROBE_S = 0.05
TIME_LEFT_MS = 4000
OK = encode_message(b"HTTP/1.1 200 OK", [], b"")


class Row(Struct, frozen=True):
    """The conditions of one play."""

    sockets: int
    crowd: int
    shape: CrowdShape = CrowdShape.SILENT

    @property
    def name(self) -> str:
        """The name under which the row is printed."""
        return f"{self.sockets} sockets, {self.crowd} {self.shape.value}"


ROWS = (
    Row(256, 0),
    Row(256, 100),
    Row(256, 256),
    Row(512, 512),
    Row(1024, 1024),
    Row(256, 256, CrowdShape.MANY_FIELDS_HALF_HEAD),
)


class Play:
    """One play against a sender that serves."""

    def __init__(self, sender: SoakSender) -> None:
        self.sender = sender
        self.most = {False: 0, True: 0}  # sockets, before and from the first upgrade on
        self.upgraded = False
        self.submitted = 0
        self.accepted = 0

    def count_sockets(self) -> None:
        """Counts at each interval. Never returns."""
        while True:
            self.most[self.upgraded] = max(self.most[self.upgraded], self.sender.sockets())
            gevent.sleep(PROBE_S)

    def submit_often(self, client: int) -> None:
        """Submits messages on a connection that is kept. Never returns."""
        http = HttpClient(self.sender.address, STAND_IN_LIMITS, RESPONSE_TIMEOUT_S)
        for number in count():
            destination = (client + number * CLIENTS) % DESTINATIONS
            headers = [
                (wire_names.TRACE_ID_HEADER, b"m%d-%d" % (client, number)),
                (wire_names.TRAFFIC_CLASS_HEADER, b"free"),
                (wire_names.TIME_LEFT_HEADER, b"%d" % TIME_LEFT_MS),
                (wire_names.DESTINATION_HEADER, b"dest=%d" % destination),
            ]
            self.submitted += 1
            with suppress(RequestError):
                response = http.request(b"POST %s HTTP/1.1" % wire_names.SUBMIT_PATH, headers)
                self.accepted += response.status == 202
            gevent.sleep(SUBMIT_INTERVAL_S)

    def run(self) -> None:
        """Plays the upgrades."""
        jobs = [gevent.spawn(self.count_sockets)]
        jobs += [gevent.spawn(partial(self.submit_often, client)) for client in range(CLIENTS)]
        gevent.sleep(CALM_S)
        self.upgraded = True
        upgrades = []
        for _ in range(UPGRADES):
            upgrades.append(gevent.spawn(self.sender.upgrade, StopMethod.TERMINATE))
            gevent.sleep(BETWEEN_UPGRADES_S)
        gevent.joinall(upgrades)
        gevent.sleep(CALM_S)
        gevent.killall(jobs)


def serve(sock: socket.socket, destination: int) -> None:
    """Serves calls as the endpoint of a destination."""
    connection = HttpConnection(sock, STAND_IN_LIMITS)
    with suppress(OSError, ConnectionClosedError, ProtocolError):
        while connection.read_request():
            if destination < HANGING:
                gevent.sleep(HANG_S)
            connection.write(OK)
    connection.close()


def start_crowd(sender: SoakSender, row: Row) -> subprocess.Popen[bytes] | None:
    """Starts the crowd of a row in a process of its own."""
    if not row.crowd:
        return None
    duration_s = 2 * CALM_S + UPGRADES * (BETWEEN_UPGRADES_S + 5.0)
    arguments = [str(sender.address[1]), row.shape.value, str(row.crowd), str(duration_s), "crowd"]
    with Path(os.devnull).open("wb") as output:
        return subprocess.Popen(
            [sys.executable, "-m", "ashpath.emulator.crowd.process", *arguments], stdout=output
        )


def play_row(row: Row) -> Play:
    """Plays one row."""
    with tempfile.TemporaryDirectory(prefix="sockets-") as folder:
        settings = soak_settings()
        settings["limits"] = {**settings["limits"], "max-open": 1000}
        sender_folder = Path(folder) / "n0"
        with upgradable_sender(sender_folder, settings, DESTINATIONS, serve, row.sockets) as sender:
            crowd = start_crowd(sender, row)
            play = Play(sender)
            play.run()
            if crowd is not None:
                crowd.kill()
                crowd.wait()
    return play


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rows", default="", help="only rows whose names contain this text")
    options = parser.parse_args()
    over = 0
    for row in ROWS:
        if options.rows not in row.name:
            continue
        play = play_row(row)
        over += play.most[True] > row.sockets
        print(
            f"{row.name}: one process {play.most[False]}, from the upgrades on {play.most[True]}, "
            f"answered 202 {play.accepted} of {play.submitted}",
            flush=True,
        )
    return 1 if over else 0


if __name__ == "__main__":
    sys.exit(main())
