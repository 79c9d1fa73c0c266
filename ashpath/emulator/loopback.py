"""A day on sockets: the same model behind HTTP, `ashpath serve` processes, clients in a process of their own,
and a directory that tells each sender late. What is seen is put in order of time afterwards and told to the
same witness and the same account as in virtual time.
"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random
from time import monotonic, monotonic_ns
from typing import Any

import gevent
import orjson
from gevent import socket, subprocess
from gevent.event import Event
from gevent.server import StreamServer

from ashpath.config.platform_form import file_document
from ashpath.core.interface import AttemptOutcome, EndpointRecord, EndpointStatus, RetrySafety
from ashpath.emulator.clients import PATIENCE, quiet
from ashpath.emulator.demo import free_port
from ashpath.emulator.destination_model import OUTAGES, SECOND, Call, Meets, Trouble
from ashpath.emulator.destination_server import Stand
from ashpath.emulator.invariant_checker import InvariantChecker
from ashpath.emulator.scenario import OF_PARTNERS, Scenario, as_plan, day_terms, length, weight
from ashpath.emulator.scenario import Trouble as Scripted
from ashpath.emulator.scoreboard import Scoreboard, payoff
from ashpath.emulator.simulation import Work
from ashpath.emulator.topology import Arrivals, Topology
from ashpath.server import wire_names
from ashpath.server.http.connection import HttpConnection, open_connection
from ashpath.server.http.encoding import encode_message, host_header
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError

SLACK = 50_000  # by which the witness is milder on sockets: clocks and the way of a call
NOT_HERE = ("network", "split", "clock", "directory")
TAIL = 5.0  # seconds past the last cut-off until a run ends whatever is open
ENDED = {
    Meets.OK: AttemptOutcome.DELIVERED,
    Meets.ERROR: AttemptOutcome.ERROR,
    Meets.FULL: AttemptOutcome.OVERLOADED,
}


class DirectoryStand:
    """The directory's agent of one sender: what it told, and when."""

    def __init__(self, told: Callable[[list[EndpointRecord]], None]) -> None:
        self.rows: list[EndpointRecord] = []
        self.revision, self.changed, self.told = 1, Event(), told
        self.limits = quiet()
        self.where: dict[str, str] = {}
        self.kinds: list[str] = []
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()

    def change(self, rows: list[EndpointRecord]) -> None:
        self.rows, self.revision = rows, self.revision + 1
        self.changed.set()
        self.changed = Event()

    def serve(self, sock: socket.socket, _: Any) -> None:
        wire = HttpConnection(sock, self.limits)
        try:
            while True:
                url = wire.read_request().url
                if b"index=%d&" % self.revision in url:
                    self.changed.wait(2.0)
                same = b"index=%d&" % self.revision in url
                members = [] if same else [self.member(row) for row in self.rows]
                body = {"revision": self.revision, "complete": not same, "members": members}
                wire.write(encode_message(b"HTTP/1.1 200 OK", [], orjson.dumps(body)))
                if not same:
                    self.told(self.rows)
        except (OSError, ConnectionClosedError, ProtocolError):
            wire.close()

    def member(self, row: EndpointRecord) -> dict[str, Any]:
        return {
            "id": row.endpoint_id,
            "host_port": self.where[row.endpoint_id],
            "cell": row.destination,
            "flavor": self.kinds[row.kind],
            "locality": "",
            "phase": "up",
        }


class Loopback:
    """One run. `seen` has a row for each thing seen, in any order: time, then what to tell the witness."""

    def __init__(
        self, day: Scenario, source: Path, folder: Path, seed: int, account: Scoreboard, watched: str = ""
    ) -> None:
        for scripted in day.troubles:
            if scripted.kind in NOT_HERE or scripted.when:
                raise ValueError(f"troubles: {scripted.when or scripted.kind} is for virtual time only")
        self.day, self.folder, self.seed, self.account = day, folder, seed, account
        self.began = monotonic_ns() // 1000
        terms = day_terms(day, 0, 0)
        self.tracks, self.decays = terms.traffic_classes, terms.value_halves
        self.witness = InvariantChecker(
            terms.drain_grace + SLACK, terms.settle_time - SLACK, watched, 2 * SLACK
        )
        self.chance = Random(f"{seed} world")
        self.layout = Topology(day, source, seed)
        self.seen: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.limits = quiet()
        self.stands = {row.endpoint_id: self.stand(row) for row in self.layout.listings}
        self.listings = {row.endpoint_id: row for row in self.layout.listings}
        self.senders = day.fleet.senders
        self.directories = [DirectoryStand(self.teller(number)) for number in range(self.senders)]
        self.delays = [self.delay() for _ in range(self.senders)]
        for directory in self.directories:
            directory.kinds = list(day.partners)
            directory.where = {name: stand.address for name, stand in self.stands.items()}
            directory.rows = list(self.listings.values())
        self.addresses = [("127.0.0.1", free_port()) for _ in range(self.senders)]
        self.notices = free_port()
        self.processes: list[Any] = [None] * self.senders
        self.works: dict[str, Work] = {}
        self.open: set[str] = set()

    def now(self) -> int:
        return monotonic_ns() // 1000 - self.began

    def see(self, at: int, call: Callable[..., None], *arguments: Any) -> None:
        self.seen.append((at, len(self.seen), call, arguments))

    def delay(self) -> int:
        spread = int(self.day.directory.spread)
        return int(self.day.directory.delay) + (self.chance.randrange(spread) if spread else 0)

    def stand(self, row: EndpointRecord) -> Stand:
        partner = self.layout.partners[row.destination]
        one_way = Random(f"{self.seed} way {row.endpoint_id}")
        latency, jitter = int(self.day.network.latency), self.day.network.jitter
        return Stand(
            partner,
            row.endpoint_id,
            self.limits,
            self.began,
            self.arrived,
            self.left,
            lambda: latency * one_way.lognormvariate(0, jitter) if jitter else latency,
        )

    # What partners and directories see.

    def teller(self, number: int) -> Callable[[list[EndpointRecord]], None]:
        before: set[str] = set()  # what this sender was told last

        def told(rows: list[EndpointRecord]) -> None:
            at, on = self.now(), {row.endpoint_id for row in rows}
            for name in before | on:
                self.see(at, self.witness_listed, number, name, name in on)
            before.clear()
            before.update(on)

        return told

    def arrived(self, at: int, endpoint: str, envelope: str, call: Call) -> None:
        self.see(at, self.witness_shot, envelope, endpoint)

    def left(self, at: int, endpoint: str, envelope: str, call: Call, began: int, heard: bool) -> None:
        ending = ENDED.get(call.meets, AttemptOutcome.CONNECTION_RESET) if heard else AttemptOutcome.TIMED_OUT
        if ending is AttemptOutcome.DELIVERED:
            self.open.discard(envelope.partition(".")[0])
        self.see(at, self.witness_outcome, envelope, endpoint, ending, began, call.wait if heard else 0)

    # Processes.

    def start(self, number: int) -> None:
        place = self.folder / f"sender-{number}"
        place.mkdir(exist_ok=True)
        plan = as_plan(self.day)
        plan.sender.number, plan.sender.senders = number, self.senders
        told = file_document(plan)
        listen = f"127.0.0.1:{self.addresses[number][1]}"
        told["sender"] |= {"name": f"n{number}", "listen": listen, "seed": f"{number + 1:x}"}
        told["platform"] = {"directory": f"127.0.0.1:{self.directories[number].server.server_port}"}
        told["notices"] = {"address": f"http://127.0.0.1:{self.notices}/v1/notices"}
        (place / "sender.toml").write_text(toml(told))
        words = [sys.executable, "-m", "ashpath.cli", "serve", str(place / "sender.toml")]
        with (place / "log").open("ab") as log:
            self.processes[number] = subprocess.Popen(words, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def ready(self, number: int) -> bool:
        try:
            with gevent.Timeout(1.0):
                wire = open_connection(self.addresses[number], self.limits)
                first = b"GET %s HTTP/1.1" % wire_names.READINESS_PATH
                wire.write(encode_message(first, [host_header(self.addresses[number])], b""))
                found = wire.read_response().status == 200
                wire.close()
                return found
        except (OSError, ConnectionClosedError, ProtocolError, gevent.Timeout):
            return False

    def rows(self) -> list[list[Any]]:
        """Every envelope of the day, as the clients' process wants it."""
        coming, found, now, made = Arrivals(self.day, self.layout.shares, self.seed), [], 0, 0
        track_names, ends = list(self.day.tracks), length(self.day)
        jumps = [s for s in self.day.troubles if s.kind == "traffic"]
        while now < ends:
            coming.factor = 1.0
            for jump in jumps:
                at = int(jump.at or 0)
                if at <= now < at + (int(jump.lasts) or ends):
                    coming.factor *= jump.amount
            gap = coming.gap(now)
            for track, destination, order in coming.clump() if gap is not None else ():
                made += 1
                id_, cutoff = f"{track}-{made}", self.tracks[track].deadline
                self.works[id_] = Work(id_, track, destination, order, now, cutoff, coming.span(now))
                found.append([now, id_, track_names[track], track, destination, order, cutoff])
            now += SECOND // 10 if gap is None else gap
        return found

    def run(self, shown: Callable[[float], None] | None = None) -> None:
        try:
            for number in range(self.senders):
                self.start(number)
            until = monotonic() + 20.0
            while not all(self.ready(number) for number in range(self.senders)):
                if monotonic() > until:
                    raise RuntimeError(f"senders did not start; see {self.folder}")
                gevent.sleep(0.05)
            gevent.sleep(0.3)  # their watches stand
            self.shift()
            self.play(shown)
        finally:
            self.stop()
        self.replay()

    def shift(self) -> None:
        """The day begins now: what was seen before is of its first moment."""
        passed = self.now()
        self.began += passed
        self.seen = [(0, count, call, arguments) for _, count, call, arguments in self.seen]
        for stand in self.stands.values():
            stand.began = self.began

    def play(self, shown: Callable[[float], None] | None) -> None:
        rows, clients = self.rows(), self.day.clients
        self.open = {row[1] for row in rows}
        job = {
            "began": self.began,
            "seed": self.seed,
            "senders": self.addresses,
            "notices": self.notices,
            "rows": rows,
            "retries": clients.retries,
            "backoff": int(clients.backoff),
            "heeds": clients.heeds,
        }
        (self.folder / "job.json").write_bytes(orjson.dumps(job))
        words = [sys.executable, "-m", "ashpath.emulator.clients", str(self.folder / "job.json")]
        with (self.folder / "clients.log").open("wb") as log:
            pipe, nothing = subprocess.PIPE, subprocess.DEVNULL
            self.clients = subprocess.Popen(words, stdout=pipe, stderr=log, stdin=nothing)
        reader = gevent.spawn(self.read)
        for scripted in self.day.troubles:
            if scripted.kind != "traffic":
                gevent.spawn_later((int(scripted.at or 0) - self.now()) / 1e6, self.begin, scripted)
        ends = length(self.day)
        last = ends + max(track.deadline for track in self.tracks) + TAIL * SECOND
        while self.now() < last and (self.now() < ends or self.open) and not reader.dead:
            gevent.sleep(0.1)
            if shown is not None:
                shown(min(1.0, self.now() / ends))
        gevent.sleep(0.3)  # what is on its way is told
        self.clients.send_signal(signal.SIGTERM)
        reader.join(3)

    def read(self) -> None:
        """What the clients say."""
        assert self.clients.stdout is not None
        for line in self.clients.stdout:
            at, what, id_, sender = orjson.loads(line)
            if what == "lost":
                self.open.discard(id_)
            self.see(at, self.of_clients, what, id_, sender)

    def stop(self) -> None:
        for process in [*self.processes, getattr(self, "clients", None)]:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        for stand in self.stands.values():
            stand.stop()
        for directory in self.directories:
            directory.server.stop(timeout=0)

    # The script.

    def begin(self, scripted: Scripted) -> None:
        lasts = int(scripted.lasts) / 1e6
        self.account.trouble(int(scripted.at or 0), scripted.kind)
        if scripted.kind == "replace":
            for number in self.layout.named(scripted, 0, self.chance):
                self.replace(number, scripted.endpoints)
        elif scripted.kind in OF_PARTNERS:
            trouble, rows = Trouble(scripted.kind), self.layout.named(scripted, 0, self.chance)
            for number in rows:
                self.put(number, trouble, scripted.amount)
                if lasts:
                    gevent.spawn_later(lasts, self.take_off, number, trouble, scripted.amount)
        elif scripted.kind == "kill":
            for number in self.layout.named(scripted, self.senders, self.chance):
                self.see(self.now(), self.witness_kill, number)
                os.kill(self.processes[number].pid, signal.SIGKILL)
                self.processes[number].wait()
                gevent.spawn_later(lasts, self.start, number)

    def put(self, number: int, trouble: Trouble, amount: float) -> None:
        partner = self.layout.partners[number]
        if trouble in OUTAGES and not partner.out():
            self.see(self.now(), self.witness_outage, number)
        partner.put(trouble, amount)
        if trouble is Trouble.DOWN:
            for name in partner.sites:
                self.stands[name].cut()

    def take_off(self, number: int, trouble: Trouble, amount: float) -> None:
        self.layout.partners[number].take_off(trouble, amount, self.now())

    def replace(self, number: int, most: int) -> None:
        """The old one's connections are reset, and its successor has its address under another id."""
        partner = self.layout.partners[number]
        for name in list(partner.sites)[: most or None]:
            old, new = self.listings.pop(name), f"{name}+"
            partner.remove(name)
            partner.add(new)
            self.listings[new] = EndpointRecord(new, number, old.kind, old.zone, EndpointStatus.ACTIVE)
            stand = self.stands.pop(name)
            stand.cut()
            stand.endpoint = new
            self.stands[new] = stand
            for directory in self.directories:
                directory.where[new] = stand.address
        rows = list(self.listings.values())
        for directory, delay in zip(self.directories, self.delays, strict=True):
            gevent.spawn_later(delay / 1e6, directory.change, rows)

    # Afterwards, in order of time.

    def replay(self) -> None:
        self.numbers: dict[str, tuple[int, int]] = {}  # of each id handed in: its sender, and a number
        self.done: set[str] = set()
        self.unanswered: dict[str, list[tuple[int, int]]] = {}  # hand-ins: when, and at which sender
        self.kills: dict[int, list[int]] = {}  # by sender
        self.completed: dict[str, int] = {}  # when each had its 200 written
        for at, _, call, arguments in sorted(self.seen, key=lambda row: row[:2]):
            call(at, *arguments)
        self.witness.end(max((row[0] for row in self.seen), default=0) + 60 * SECOND)
        for partner in self.layout.partners:
            for envelope, tally in partner.tallies.items():
                repeat = self.tracks[int(envelope.split("-")[0])].retry_safety
                if tally.effects > 1 and repeat is not RetrySafety.IDEMPOTENT:
                    self.witness.effects(self.now(), envelope, tally.effects, repeat)
        self.account.close(self.witness)

    def of_clients(self, at: int, what: str, id_: str, sender: int) -> None:
        work = self.works[id_.partition(".")[0]]
        terms = self.tracks[work.track]
        if what == "unanswered":
            self.unanswered.setdefault(id_, []).append((at, sender))
        elif what == "asked":
            self.account.asked(work, self.worth(work, work.born))
        elif what == "taken":
            self.numbers[id_] = (sender, len(self.numbers))
            number, cutoff = self.numbers[id_][1], work.cutoff_at + 6 * SLACK
            self.witness.taken(at, sender, number, id_, work.destination, terms, work.order, cutoff)
        elif what == "lost":
            if work.id not in self.done:
                self.done.add(work.id)
                self.account.lost(at, work, "bounced" if work.why != "aborted" else "aborted")
        elif id_ in self.numbers:
            work.why = "aborted" if what == "aborted" else work.why
            if self.unread(id_):
                self.witness.left(at, *self.numbers[id_])
            else:
                self.witness.final(at, *self.numbers[id_], what)

    def witness_listed(self, at: int, sender: int, endpoint: str, on: bool) -> None:
        self.witness.listed(at, sender, endpoint, on)

    def witness_kill(self, at: int, sender: int) -> None:
        self.kills.setdefault(sender, []).append(at)

    def unread(self, envelope: str) -> bool:
        """A sender was killed as its 202 or a partner's 200 was on the way: its next life may go on with what
        may be repeated, though the client has handed it in elsewhere, or it is completed."""
        work, (sender, _) = self.works[envelope.partition(".")[0]], self.numbers[envelope]
        if self.tracks[work.track].retry_safety is RetrySafety.AT_MOST_ONCE:
            return False
        done, kills = self.completed.get(envelope), self.kills
        gaps = [kill - at for at, to in self.unanswered.get(envelope, ()) for kill in kills.get(to, ())]
        if done is not None and any(-SLACK < kill - done < SLACK for kill in kills.get(sender, ())):
            return True
        return any(-SLACK < gap < PATIENCE * SECOND for gap in gaps)

    def witness_shot(self, at: int, envelope: str, endpoint: str) -> None:
        if envelope in self.numbers and not self.unread(envelope):
            self.account.shot(at)
            self.witness.shot(at, *self.numbers[envelope], endpoint, self.route(endpoint))

    def witness_outcome(
        self, at: int, envelope: str, endpoint: str, ending: AttemptOutcome, began: int, wait: int
    ) -> None:
        if envelope not in self.numbers:
            return
        work, (sender, number) = self.works[envelope.partition(".")[0]], self.numbers[envelope]
        self.account.outcome(at, ending)
        work.why = ending.value
        unread = self.unread(envelope)  # then which of the two lives sends it cannot be told apart
        if ending is AttemptOutcome.DELIVERED:
            self.completed.setdefault(envelope, at)
        if not unread:
            self.witness.outcome(at, sender, number, ending.value, began)
        elif ending is AttemptOutcome.DELIVERED:
            self.witness.left(at, sender, number)
        if wait:
            self.witness.told_to_wait(at, sender, self.route(endpoint), wait)
        if ending is AttemptOutcome.DELIVERED and work.id not in self.done:
            self.done.add(work.id)
            self.account.delivered(at, work, self.worth(work, at))

    def witness_outage(self, at: int, number: int) -> None:
        self.witness.outage(at, number)

    def route(self, endpoint: str) -> str:
        kind, rank, _ = endpoint.rsplit("-", 2)
        destination = self.layout.kinds[kind][int(rank)]
        return endpoint if self.layout.apart[destination] else str(destination)

    def worth(self, work: Work, when: int) -> float:
        return payoff(self.tracks[work.track], self.decays, work, when) * weight(self.day.spans[work.span])


def toml(told: dict[str, Any]) -> str:
    """As a file has it."""
    import tomli_w

    return tomli_w.dumps(told)
