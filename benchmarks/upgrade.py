"""Hot upgrades under open clients, the old process ended by SIGTERM and by SIGKILL in turn.

    .venv/bin/python -m benchmarks.upgrade [UPGRADES] [CLIENTS]

One sender on a listening socket of this process; clients on kept connections that look whether theirs was
closed before they ask, every fourth on a new connection whose request comes in two pieces. Destinations
answer 200, or 429 with a wait; a platform tells the list and takes notices. What it counts:

- lost: taken on, and by the end neither completed nor told of by a notice;
- doubled: a tagged envelope that ran again later than its window after it ran first;
- at the door: no answer to a request that was written (a SIGKILL resets what is unread: told apart);
- waits broken: calls more than 0.1 s after a wait was told to either process and before its end;
- gap: the longest time without a client's answer.
"""

from __future__ import annotations

import os
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import gevent
import orjson
from gevent import socket, subprocess
from gevent.server import StreamServer

from ashpath.core.policy_settings import sender_settings
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.limits import ServerLimits
from benchmarks.kept import ROOT, keep

CELLS = 6
PAUSE = 0.02  # seconds that a client rests between requests
WINDOW = 5.0  # seconds in which a destination drops a repeat of a tag
SETTLE = 4.0  # between one upgrade and the next
SETTINGS: dict[str, Any] = {
    "classes": [
        {
            "name": name,
            "deadline": 12000.0,
            "slo": 3000.0,
            "repeat": repeat,
            "window": WINDOW * 1000,
            "importance": 1.0,
        }
        for name, repeat in (("status", "retryable"), ("result", "dedup"))
    ],
    "kinds": ["plain"],
    "zones": ["here"],
    "group-size": 1,
    "rank": 0,
    "limits": {
        "max-open": 400,
        "max-attempts": 12,
        "retry-after": True,
        "max-retry-after": 3000.0,
        "conn-idle": 5000.0,
        "connect-timeout": 1000.0,
        "cancelling": True,
    },
    "specifics": {"slots": 64},
    "contract": {"drain-grace": 1000.0},
}


class Surroundings:
    """Destinations, platform and clients, and what they saw."""

    def __init__(self, folder: Path, clients: int) -> None:
        self.folder, self.chance = folder, Random(7)
        self.limits = ServerLimits.of({"sockets": 512, "disk_mb": 3}, sender_settings(1, SETTINGS))
        self.taken: dict[str, str] = {}  # ids that were answered 202, to their track
        self.ran: dict[str, float] = {}  # ids, and when each first ran
        self.noticed: set[str] = set()
        self.waits: dict[int, tuple[float, float]] = {}  # by destination: told at, and until when
        self.seen: Counter[str] = Counter()
        self.by = "SIGTERM"
        self.latest, self.gap, self.last = time.monotonic(), 0.0, 0
        self.endpoints = [StreamServer(("127.0.0.1", 0), self.endpoint(cell)) for cell in range(CELLS)]
        self.agent = StreamServer(("127.0.0.1", 0), self.platform)
        for server in (*self.endpoints, self.agent):
            server.start()
        rows = [
            {
                "id": f"e{cell}",
                "host_port": f"127.0.0.1:{server.server_port}",
                "locality": "here",
                "flavor": "plain",
                "cell": cell,
                "phase": "up",
                "size": 1.0,
            }
            for cell, server in enumerate(self.endpoints)
        ]
        self.rows = {"revision": 1, "complete": True, "members": rows}
        limits = {"sockets": 512, "disk_mb": 3}
        told = {"seed": "7", "settings": SETTINGS, "limits": limits, "known": self.rows}
        (folder / "config.json").write_bytes(orjson.dumps(told))
        (folder / "state").mkdir()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(1024)
        os.set_inheritable(self.listener.fileno(), True)
        self.asking = [gevent.spawn(self.client, number) for number in range(clients)]

    def start(self) -> subprocess.Popen[bytes]:
        """The next process; returns once it answers PING."""
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            control = probe.getsockname()
        environment = {
            "PYTHONPATH": str(ROOT),
            "RELAY_NAME": "n0",
            "RELAY_STATE": str(self.folder / "state"),
            "RELAY_LISTEN": f"127.0.0.1:{self.listener.getsockname()[1]}",
            "RELAY_DISCOVERY": f"127.0.0.1:{self.agent.server_port}",
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "RELAY_CONTROL": f"127.0.0.1:{control[1]}",
            "RELAY_ACCEPT_FD": str(self.listener.fileno()),
        }
        with (self.folder / "log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "ashpath"],
                env=environment,
                stdout=log,
                stderr=log,
                pass_fds=(self.listener.fileno(),),
            )
        until = time.monotonic() + 20
        while time.monotonic() < until:
            try:
                with socket.create_connection(control, timeout=1) as asked:
                    asked.sendall(b"PING\n")
                    if asked.recv(10).startswith(b"OK"):
                        return process
            except OSError:
                gevent.sleep(0.02)
        raise SystemExit("the sender did not start: " + str(self.folder / "log"))

    # Destinations and platform.

    def endpoint(self, cell: int) -> Any:
        def serve(sock: socket.socket, _: object) -> None:
            wire = HttpConnection(sock, self.limits)
            try:
                while True:
                    call = wire.read_request()
                    now = time.monotonic()
                    since, until = self.waits.get(cell, (0.0, 0.0))
                    if since + 0.1 < now < until:
                        self.seen["waits broken"] += 1
                    if now >= until and self.chance.random() < 0.03:
                        self.waits[cell] = (time.monotonic(), time.monotonic() + 0.5)
                        wire.write(encode_message(b"HTTP/1.1 429 Full", [(b"Retry-After", b"0.5")], b""))
                        continue
                    if now < until:
                        wire.write(encode_message(b"HTTP/1.1 503 Full", [], b""))
                        continue
                    gevent.sleep(self.chance.uniform(0.01, 0.12))
                    trace, ran = call.headers[b"x-trace-id"].decode(), time.monotonic()
                    if ran > self.ran.setdefault(trace, ran) + WINDOW and self.taken.get(trace) == "result":
                        self.seen["doubled"] += 1
                    wire.write(encode_message(b"HTTP/1.1 200 OK", [], b"ok"))
            except (OSError, ConnectionClosedError, ProtocolError):
                wire.close()

        return serve

    def platform(self, sock: socket.socket, _: object) -> None:
        wire = HttpConnection(sock, self.limits)
        try:
            while call := wire.read_request():
                if call.method == b"POST":
                    self.noticed.update(orjson.loads(line)["id"] for line in call.body.splitlines())
                    wire.write(b"HTTP/1.1 204 X\r\n\r\n")
                else:
                    gevent.sleep(1.0)
                    wire.write(encode_message(b"HTTP/1.1 200 X", [], orjson.dumps(self.rows)))
        except (OSError, ConnectionClosedError, ProtocolError):
            wire.close()

    # Clients.

    def client(self, number: int) -> None:
        wire: HttpConnection | None = None
        while True:
            gevent.sleep(PAUSE * self.chance.uniform(0.5, 1.5))
            slow = number % 4 == 0
            self.last += 1
            trace, track = f"t{self.last}", "status" if self.last % 2 else "result"
            headers = [
                (b"X-Trace-Id", trace.encode()),
                (b"X-Qos", track.encode()),
                (b"X-Expires-In-Ms", b"12000"),
                (b"Idempotency-Key", trace.encode()),
                (b"X-Route-To", b"dest=%d" % self.chance.randrange(CELLS)),
            ]
            data = encode_message(b"POST /api HTTP/1.1", headers, b"x" * 200)
            try:
                if wire is None or slow or not wire.is_quiet():
                    if wire is not None:
                        wire.close()
                    wire = HttpConnection(socket.create_connection(self.listener.getsockname()), self.limits)
                if slow:
                    gevent.sleep(self.chance.uniform(0, 0.8))
                    wire.write(data[:60])
                    gevent.sleep(self.chance.uniform(0, 0.4))
                    wire.write(data[60:])
                else:
                    wire.write(data)
                answer = wire.read_response()
                wire.finish_response()
            except (OSError, ConnectionClosedError, ProtocolError):
                self.seen[f"at the door, {self.by}"] += 1
                wire = None
                continue
            now = time.monotonic()
            self.gap, self.latest = max(self.gap, now - self.latest), now
            self.seen[f"answered {answer.status}"] += 1
            if answer.status == 202:
                self.taken[trace] = track
            if not answer.keep_alive:
                wire.close()
                wire = None


def main() -> None:
    upgrades = int(sys.argv[1]) if len(sys.argv) > 1 else 20
    clients = int(sys.argv[2]) if len(sys.argv) > 2 else 16
    with tempfile.TemporaryDirectory() as folder:
        around = Surroundings(Path(folder), clients)
        process = around.start()
        exits = []
        for number in range(upgrades):
            gevent.sleep(SETTLE)
            fresh = around.start()
            around.by = "SIGKILL" if number % 2 else "SIGTERM"
            began = time.monotonic()
            process.send_signal(getattr(signal, around.by))
            process.wait()
            exits.append(time.monotonic() - began)
            process = fresh
        gevent.sleep(1.0)
        gevent.killall(around.asking)
        until = time.monotonic() + 16  # cut-offs, and what the last process still owes
        lost = set(around.taken)
        while lost and time.monotonic() < until:
            gevent.sleep(0.2)
            lost = around.taken.keys() - around.ran.keys() - around.noticed
        process.kill()
        process.wait()
    keep(
        "upgrade",
        " ".join(["python -m benchmarks.upgrade", *sys.argv[1:]]),
        {
            "upgrades": upgrades,
            "clients": clients,
            "handed_in": around.last,
            "taken_on": len(around.taken),
            "lost": len(lost),
            "doubled": around.seen["doubled"],
            "waits_broken": around.seen["waits broken"],
            "at_the_door_by_SIGTERM": around.seen["at the door, SIGTERM"],
            "at_the_door_by_SIGKILL": around.seen["at the door, SIGKILL"],
            "longest_gap_s": round(around.gap, 3),
            "longest_exit_s": round(max(exits, default=0.0), 2),
            "answers": {name: count for name, count in sorted(around.seen.items()) if name.startswith("ans")},
        },
    )


if __name__ == "__main__":
    main()
