"""The demonstration: stand-in partners, clients, and one real sender between them, with an account of every
envelope at the end. `command.demo` prints what is told here."""

from __future__ import annotations

import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from time import monotonic, monotonic_ns
from typing import Any

import gevent
import orjson
from gevent import socket, subprocess
from gevent.server import StreamServer

from ashpath.core.interface import PolicySettings
from ashpath.core.policy_settings import policy_settings
from ashpath.emulator.destination_model import DestinationModel, Nature, Trouble
from ashpath.emulator.destination_server import Stand, at
from ashpath.server import wire_names
from ashpath.server.http.connection import HttpConnection, open_connection
from ashpath.server.http.encoding import encode_message, host_header
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.limits import ServerLimits

SECOND = 1_000_000
RATE = 40.0  # envelopes a second
TRACKS = ("check-status", "check-result")
PATIENCE = 2.0  # seconds a client waits for its answer
TAIL = 14.0  # seconds after the last envelope by which each must have its end: over the longest cut-off
CLIENTS = 20  # connections of clients

PLAN = """# Written by `ashpath demo`; `ashpath serve` takes it as it is.
[sender]
name = "demo"
listen = "{listen}"
state = "state"
seed = "{seed:x}"

[tracks.check-status]
repeat = "repeatable"
promised = "2s"
cutoff = "8s"
payoff = 3.0

[tracks.check-result]
repeat = "tagged"
window = "5s"
promised = "2s"
cutoff = "10s"

[rules]
reports = true
slots = 64
ramp_time = "{ramp}ms"

[notices]
address = "http://{notices}/v1/notices"

[logging]
level = "info"
"""
DESTINATION = """
[destinations.{number}]
name = "{name}"
endpoints = [{endpoints}]
"""


@dataclass(eq=False)
class Row:
    """One destination of the day."""

    number: int
    name: str
    share: float  # of the envelopes
    partner: DestinationModel
    stands: list[Stand] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)  # ends of its envelopes


def natures(seconds: float) -> list[tuple[str, float, int, Nature]]:
    """Name, share of the traffic, endpoints, nature. Figures made up so that each shows its trouble."""
    limited = Nature(workers=16, shared=True, service=(60_000,), rate=14.0, wait=SECOND // 5, reports=True)
    slow = Nature(workers=5, service=(400_000,), spread=0.5)
    cold = Nature(workers=4, service=(80_000,), ramp=round(seconds * SECOND / 4))
    return [("bank", 0.45, 2, limited), ("letting-office", 0.25, 1, slow), ("landlord-app", 0.3, 1, cold)]


@dataclass(frozen=True, slots=True)
class Summary:
    """The account of a day: every envelope has one of the ends, or is unaccounted for."""

    handed_in: int
    ends: Counter[str]
    shots: int
    doubles: int
    unaccounted: list[str]

    @property
    def sound(self) -> bool:
        return not self.unaccounted and not self.doubles and self.handed_in == sum(self.ends.values())


class Show:
    """One day. `open` has the envelopes without an end, and is emptied as they have it."""

    def __init__(
        self, folder: Path, seconds: float, seed: int, rate: float = RATE, kill: bool = False
    ) -> None:
        self.folder, self.seconds, self.rate, self.kill = folder, seconds, rate, kill
        self.chance = Random(seed)
        self.began = monotonic_ns() // 1000
        own = policy_settings(seed, {"classes": [], "limits": {"conn-idle": 60_000.0}})
        self.limits = self.quiet(own)
        self.rows = [self.row(number + 1, *facts) for number, facts in enumerate(natures(seconds))]
        self.receiver = StreamServer(("127.0.0.1", 0), self.receive)
        self.receiver.start()
        self.where = ("127.0.0.1", free_port())
        self.open: dict[str, Row] = {}
        self.taken: set[str] = set()  # those with a 202
        self.tagged: set[str] = set()  # those whose second effect would be a double one
        self.handed_in = 0
        self.told: Counter[str] = Counter()  # notices by id
        self.idle: list[HttpConnection] = []  # connections of clients
        self.restarts = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.write(seed)

    @staticmethod
    def quiet(own: PolicySettings) -> ServerLimits:
        return ServerLimits.of({"sockets": 4096, "own": {"client_idle_s": 60.0, "request_s": 60.0}}, own)

    def row(self, number: int, name: str, share: float, endpoints: int, nature: Nature) -> Row:
        ids = [f"{name}-{at}" for at in range(endpoints)]
        partner = DestinationModel(nature, Random(self.chance.getrandbits(32)), ids)
        row = Row(number, name, share, partner)
        row.stands = [Stand(partner, id_, self.limits, self.began) for id_ in ids]
        return row

    def script(self) -> None:
        """The landlord app goes silent for a quarter of the day, and comes back cold."""
        partner, whole = self.rows[-1].partner, round(self.seconds * SECOND)
        now = monotonic_ns() // 1000 - self.began
        at(self.began, now + whole * 3 // 10, partner.put, Trouble.SILENT, 1.0)
        back = now + whole * 11 // 20
        at(self.began, back, partner.take_off, Trouble.SILENT, 1.0, back)

    def write(self, seed: int) -> None:
        """The sender's file, as a user would write it."""
        text = PLAN.format(
            ramp=round(self.seconds * 250),
            listen=f"127.0.0.1:{self.where[1]}",
            seed=seed,
            notices=f"127.0.0.1:{self.receiver.server_port}",
        )
        for row in self.rows:
            listed = ", ".join(f'"{stand.address}"' for stand in row.stands)
            text += DESTINATION.format(number=row.number, name=row.name, endpoints=listed)
        self.file = self.folder / "sender.toml"
        self.file.write_text(text)

    # The sender's process.

    def start(self) -> None:
        command = [sys.executable, "-m", "ashpath.cli", "serve", str(self.file)]
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        until = monotonic() + 15.0
        while self.ask(b"GET %s HTTP/1.1" % wire_names.READINESS_PATH)[0] != 200:
            if monotonic() > until or self.process.poll() is not None:
                raise RuntimeError(f"the sender did not start; see {self.folder / 'log'}")
            gevent.sleep(0.05)

    def restart(self) -> None:
        """Killed without a word, and started again on what its ledger holds."""
        assert self.process is not None
        self.process.kill()
        self.process.wait()
        self.restarts += 1
        self.start()

    def stop(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(6)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        for server in (self.receiver, *(stand.server for row in self.rows for stand in row.stands)):
            server.stop(timeout=0)

    # Clients.

    def ask(self, first: bytes, headers: tuple[tuple[bytes, bytes], ...] = (), body: bytes = b"") -> Any:
        """Status and body; status 0 where none came: what became of it is not known."""
        wire = None
        try:
            with gevent.Timeout(PATIENCE):
                while self.idle and wire is None:
                    wire = self.idle.pop()
                    if not wire.is_quiet():
                        wire.close()
                        wire = None
                wire = wire or open_connection(self.where, self.limits)
                wire.write(encode_message(first, [host_header(self.where), *headers], body))
                answer = wire.read_response()
                answer = wire.finish_response() if answer.status == 200 else answer
        except (OSError, ConnectionClosedError, ProtocolError, gevent.Timeout):
            if wire is not None:
                wire.close()
            return 0, b""
        if answer.keep_alive and not wire.unusable and len(self.idle) < CLIENTS:
            self.idle.append(wire)
        else:
            wire.close()
        return answer.status, answer.body

    def hand_in(self, number: int, row: Row, track: str) -> None:
        """One envelope; a client that cannot reach the sender gives up, as nothing was taken on."""
        trace = f"demo-{number}"
        self.handed_in += 1
        self.open[trace] = row
        if track == TRACKS[1]:
            self.tagged.add(trace)
        headers = (
            (b"X-Trace-Id", trace.encode()),
            (b"X-Qos", track.encode()),
            (b"X-Expires-In-Ms", b"8000" if track == TRACKS[0] else b"10000"),
            (b"X-Route-To", b"dest=%d" % row.number),
            (b"Idempotency-Key", b"key-" + trace.encode()),
        )
        body = b"%d stage 3" % TRACKS.index(track)
        status, _ = self.ask(b"POST %s HTTP/1.1" % wire_names.SUBMIT_PATH, headers, body)
        if status in (200, 202):
            self.taken.add(trace)
        elif status in (429, 503):
            self.end(trace, "bounced")
        elif status:
            self.end(trace, "aborted")

    def end(self, trace: str, how: str) -> None:
        row = self.open.pop(trace, None)
        if row is not None:
            row.counts[how] += 1

    def load(self) -> None:
        """Arrivals of a Poisson process: each is handed in at its time, however the others fare."""
        at, number = monotonic(), 0
        until = at + self.seconds
        while (at := at + self.chance.expovariate(self.rate)) < until:
            gevent.sleep(max(0.0, at - monotonic()))
            row = self.chance.choices(self.rows, [row.share for row in self.rows])[0]
            number += 1
            gevent.spawn(self.hand_in, number, row, self.chance.choice(TRACKS))

    # What the sender tells.

    def receive(self, sock: socket.socket, _: Any) -> None:
        """Takes notices."""
        wire = HttpConnection(sock, self.limits)
        try:
            while True:
                for line in wire.read_request().body.splitlines():
                    told = orjson.loads(line)
                    self.told[told["id"]] += 1
                    self.end(
                        told["id"], "bounced" if told["status"] == wire_names.REJECTED_STATUS else "aborted"
                    )
                wire.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        except (OSError, ConnectionClosedError, ProtocolError, ValueError):
            wire.close()

    def follow(self) -> None:
        """Asks how those stand that have no end yet."""
        for trace in list(self.open):
            status, body = self.ask(b"GET %s%s HTTP/1.1" % (wire_names.MESSAGE_PATH_PREFIX, trace.encode()))
            if status == 404 and trace not in self.taken:
                self.end(trace, "bounced")  # no answer came, and it was not taken on
            elif status == 200 and orjson.loads(body)["state"] in ("completed", "withdrawn"):
                self.end(trace, orjson.loads(body)["state"])

    def look(self) -> dict[int, dict[str, Any]]:
        """The sender's own view of each destination; none while it does not answer."""
        status, body = self.ask(b"GET %s HTTP/1.1" % wire_names.DESTINATIONS_PATH)
        return {row["number"]: row for row in orjson.loads(body)["destinations"]} if status == 200 else {}

    def table(self) -> list[dict[str, Any]]:
        """A row for each destination, as it stands."""
        seen, now = self.look(), monotonic_ns() // 1000 - self.began
        return [
            {
                "destination": row.name,
                "speed": "silent" if row.partner.dumb(now) else f"{row.partner.speed(now):.0%}",
                "held": (told := seen.get(row.number, {})).get("held"),
                "out": told.get("out"),
                "limit": told.get("limit"),
                "breaker": told.get("breaker"),
                "completed": row.counts["completed"],
                "bounced": row.counts["bounced"],
                "aborted": row.counts["aborted"],
                "shots": sum(tally.calls for tally in row.partner.tallies.values()),
            }
            for row in self.rows
        ]

    def run(self, shown: Any, every: float = 0.5) -> Summary:
        """Plays the day; `shown` is called with the seconds that passed and the table."""
        self.start()
        self.script()
        load, began, killed = gevent.spawn(self.load), monotonic(), False
        until = began + self.seconds + TAIL
        while (not load.dead or self.open) and monotonic() < until:
            gevent.sleep(every)
            if self.kill and not killed and monotonic() - began > self.seconds / 2:
                killed = True
                self.restart()
            self.follow()
            shown(monotonic() - began, self.table())
        return self.account()

    def account(self) -> Summary:
        ends = sum((row.counts for row in self.rows), Counter[str]())
        tallies = [tally for row in self.rows for tally in row.partner.tallies.values()]
        doubles = sum(tally.doubled for tally in tallies)
        for row in self.rows:
            for trace, tally in row.partner.tallies.items():
                doubles += tally.effects > 1 and trace in self.tagged
        return Summary(self.handed_in, ends, sum(tally.calls for tally in tallies), doubles, list(self.open))


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port
