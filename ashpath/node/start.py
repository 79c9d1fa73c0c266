"""Puts the sender together, starts it, and ends it in order."""

from __future__ import annotations

import gc
import os
import signal
import stat
import sys
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from random import Random
from time import monotonic
from typing import TYPE_CHECKING, Any

import gevent
import orjson
from gevent.event import Event

from ashpath.node import holds, numbers, outages
from ashpath.node.admit import Admit
from ashpath.node.backoff import Backoff
from ashpath.node.board import PLACES, SIZE, Board
from ashpath.node.book import Book
from ashpath.node.control import Control
from ashpath.node.control_line import Call
from ashpath.node.directory import Directory
from ashpath.node.host import Host, News
from ashpath.node.ledger import Ledger
from ashpath.node.limits import Limits
from ashpath.node.log import Form, Lines, logger
from ashpath.node.notices import Notices
from ashpath.node.pool import Address, Pool
from ashpath.node.relay import Relay
from ashpath.node.route import Route, address
from ashpath.node.send import Send
from ashpath.node.take_in import TakeIn
from ashpath.terms import Unfit, aligned, node_terms, numbered, told_fields

if TYPE_CHECKING:
    from ashpath.node.metrics import Metrics
    from ashpath.node.peers import Peers

UNUSABLE = (OSError, ValueError, KeyError, TypeError, AttributeError)


class BadStart(ValueError):
    """What the sender was told at its start cannot be used."""


def words(error: BaseException) -> str:
    return str(error) if isinstance(error, BadStart | Unfit) else f"{type(error).__name__} {error}"


def listens(told: dict[str, Any], name: str) -> Address | None:
    """The address under `NAME.listen`; none where nothing stands under NAME."""
    try:
        return address(str(told[name]["listen"])) if told.get(name) else None
    except (ValueError, KeyError, TypeError):
        raise BadStart(f"{name}.listen: found {told[name]!r:.60}, expected an address with a port") from None


class Given:
    """What a sender is told at its start and at each SIGHUP: the platform's file, or one of the same form."""

    def __init__(self, told: dict[str, Any], discovery: str = "") -> None:
        self.seed = int(str(told["seed"]), 16)
        self.read: dict[str, Any] = told["settings"]  # as read: what is used has the numbers of this life
        self.use(self.read)
        self.limits = Limits.of(told.get("limits") or {}, self.terms)
        self.known: dict[str, Any] = told.get("known") or {"members": [], "revision": 0}
        # A restart has the same environment, but the file may have changed since.
        self.discovery: str = told.get("discovery") or discovery
        self.control: str = str(told.get("control") or "")  # the operators' address; older days have none
        self.platform = address(self.discovery) if self.discovery else None
        peers = told.get("peers") or {}  # other senders: where this one hears their notes, and where they do
        self.hears = listens(told, "peers")
        self.metrics = listens(told, "metrics")  # where counts are read
        self.others = frozenset(address(str(other)) for other in (peers.get("senders") or ()))

    def use(self, settings: dict[str, Any], closed: Sequence[int] = ()) -> None:
        """`closed`: numbers of tracks that take nothing new."""
        self.settings = settings
        self.terms = node_terms(self.seed, settings)
        self.kinds, self.zones = (list(settings.get(name) or []) for name in ("kinds", "zones"))
        self.pushed = settings.get("membership-mode") != "ask"  # what the platform's agent has counts as told
        rows = enumerate(settings["classes"])
        self.tracks = {row["name"]: number for number, row in rows if number not in closed}

    def number(self, known: list[dict[str, Any]], held: int) -> None:
        """Numbers the tracks as the ledger has them: see `terms.numbered`."""
        rows, closed = numbered(self.settings["classes"], known, held)
        self.use({**self.settings, "classes": rows}, closed)

    def follow(self, before: Given) -> None:
        """Settings for a sender that runs by `before`: tracks, kinds and zones keep their numbers."""
        known = before.settings["classes"]
        self.settings = aligned(self.settings, before.settings)
        self.number(known, held=1)  # what is behind them is measured, held or on its way: no number is reused


class Node:
    """One sender on sockets: who owns what is decided here, once. `read` reads anew what it was given."""

    def __init__(
        self, given: Given, listen: str, state: Path, log: Any, read: Callable[[], Given], control: str = "",
        inherited: int | None = None,
    ) -> None:
        self.given, self.read, self.log, self.state = given, read, log, state
        self.metrics: Metrics | None = None  # where the configuration names an address for it
        self.peers: Peers | None = None  # where the configuration names other senders
        self.limits = limits = given.limits
        places = 1 if inherited is None else PLACES  # who binds the address is alone
        self.ledger = Ledger(state, limits.disk - places * SIZE - outages.SPACE)
        self.number(given, bool(self.ledger.live) or inherited is not None)
        terms = given.terms
        board = Board(state, places)
        if board.own is None:
            log.error("no place on the board: waits and holds told to this process bind no other")
        self.notices, ends = self.tellers(state)
        self.pool = Pool(limits)
        self.route = Route(given.kinds, given.zones, self.pool, log)
        book = Book(self.ledger, self.notices, ends)
        relay = Relay(book, told_fields(given.settings) is not None)
        self.send = Send(self.pool, self.route, relay)
        self.host = Host(terms, self.ledger, book, self.send, log, board, outages.Outages(state, log))
        self.host.holds = self.not_done
        self.route.told, relay.returned = self.host.listed, self.host.returned
        self.send.stands, self.send.untold = self.host.stands, self.notices.untold
        self.admit = Admit(terms, given.tracks, self.route, self.host, book, log)
        self.take_in = TakeIn(address(listen), limits, self.admit, log)
        revision = int(given.known.get("revision") or 0)
        self.route.learn(given.known["members"], whole=True)
        self.changed, self.ended = Event(), Event()
        control = control or given.control
        self.control = control and Control(address(control), limits, self.order, log)
        self.inherited = inherited  # the platform's listening socket, handed down
        seed = f"{given.terms.seed}/{listen}"  # senders of one fleet differ by their address
        # Guards the directory against a fleet that starts at once. In a hot upgrade a sender starts alone.
        turn = terms.number * min(limits.first_list, limits.watch / terms.senders)
        self.directory = given.platform and Directory(
            given.platform, limits, revision, self.route.hear, Random(seed + "/d"), log,
            turn if inherited is None else 0.0,
        )  # fmt: skip
        self.notices.pause = Backoff(Random(seed + "/n"), limits.retry, limits.notices_backoff)
        try:
            self.measure(given.metrics)
        except OSError as error:
            if inherited is None:
                where = ":".join(map(str, given.metrics or ()))
                raise BadStart(f"metrics.listen: {where}: {error.strerror or error}") from None
            gevent.spawn(self.measure_later)  # the process beside this one has it until it ends

    def tellers(self, state: Path) -> tuple[Any, Any]:
        """Who is told of ends after the 202, and who keeps them for clients that ask."""
        assert self.given.platform is not None
        return Notices(self.given.platform, self.limits, self.ledger, self.log), None

    def parts(self) -> list[Callable[[], None]]:
        """What runs beside one another until the end."""
        directory = [self.directory.run] if self.directory else []
        control = [self.control.run] if self.control else []
        beside = [] if self.inherited is None else [self.hand_over]  # who binds the address is alone
        return [
            self.follow, *directory, self.notices.run, self.host.timers.run, self.pool.run, self.take_in.run,
            *beside, *control,
        ]  # fmt: skip

    def run(self, hangups: Sequence[int] = ()) -> None:
        """`hangups`: SIGHUPs that came while the parts were put together."""
        gevent.signal_handler(signal.SIGHUP, self.changed.set)
        gevent.signal_handler(signal.SIGTERM, gevent.spawn, self.end)
        if hangups:
            self.changed.set()  # the file may be another than the one that was read
        held = holds.read(self.state, self.log)
        if self.directory is not None and self.given.pushed:
            self.directory.at_start()
        self.host.restore(list(self.route.rows.values()), sorted(held))
        self.take_in.listen(self.inherited)
        if self.control:
            self.control.listen()
        self.talk(self.given)
        for run in self.parts():
            gevent.spawn(self.keep, run)
        gc.collect()
        gc.freeze()
        self.log.info(
            "ready", held=len(self.host.entries), endpoints=len(self.route.addresses),
            endpoints_held=len(held), inherited=self.inherited is not None,
        )  # fmt: skip
        self.ended.wait()
        self.ledger.close()

    def follow(self) -> None:
        while True:
            self.changed.wait()
            self.changed.clear()
            try:
                given = self.read()
            except UNUSABLE as error:  # half written, say: the old one still serves
                self.log.error("configuration not read", error=words(error))
                continue
            try:
                self.move(given)
            except OSError as error:
                self.log.error("configuration not taken", error=str(error))

    def move(self, given: Given) -> None:
        """The platform's agent may be elsewhere, and settings may be new. Limits of the process wait for the
        next start."""
        later = given.limits != self.limits
        self.log.info("configuration read", discovery=given.discovery, rest_at_next_start=later)
        if self.directory is not None and given.platform is not None:
            self.directory.move(given.platform)
            self.notices.move(given.platform)
        self.switch(given)

    def switch(self, given: Given) -> None:
        """New settings for what is taken on from now on, in one turn; the way back is the same step. What is
        held keeps the terms it was taken on under, and what is out comes back to the gate it went through."""
        if given.read != self.given.read:
            given.follow(self.given)
            self.keep_numbers(given)
            self.given = given
            # Descriptors are shared out at the start: no more calls than connections until the next one.
            terms = replace(given.terms, slots=min(given.terms.slots, self.limits.outward))
            self.pool.limits = replace(
                self.limits, connect=given.limits.connect, idle_life=given.limits.idle_life
            )
            self.route.kinds, self.route.zones = given.kinds, given.zones
            self.admit.terms, self.admit.tracks = terms, given.tracks
            self.host.switch(terms, list(self.route.rows.values()))
            self.log.info(
                "settings switched", tracks=len(given.tracks), slots=terms.slots, room=terms.room,
                senders=terms.senders, held=len(self.host.entries), out=len(self.host.flights),
            )  # fmt: skip
        try:
            self.measure(given.metrics)
        except OSError as error:  # the one before serves on
            self.log.error("metrics not moved", error=str(error.strerror or error))
        self.talk(given)  # also where nothing changed: an address that could not be had may be free by now

    def number(self, given: Given, held: bool) -> None:
        """What was switched in an earlier life goes on for what it left."""
        known = numbers.read(self.state)
        given.number(known, held and bool(known))
        if known and not held:
            numbers.forget(self.state)

    def keep_numbers(self, given: Given) -> None:
        """For the next life, as the ledger has numbers only. Raises OSError: nothing was switched then."""
        numbers.write(self.state, given.settings["classes"])

    def talk(self, given: Given) -> None:
        """Notes between senders, where the configuration names others."""
        if self.peers is None and given.hears is not None:
            from ashpath.node.peers import Peers

            self.peers = Peers(self.host.heard, self.log)
            self.host.peers = self.peers.tell
        if self.peers is not None:
            try:
                self.peers.move(given.hears, given.others)
            except OSError as error:
                self.log.error("notes of other senders not heard", error=str(error))

    def measure(self, where: Address | None) -> None:
        """Counts and gauges, where the configuration names an address. Raises OSError."""
        self.read_at = where
        if self.metrics is None and where is not None:
            from ashpath.node.metrics import Metrics

            self.metrics = Metrics(self)
        if self.metrics is not None:
            self.metrics.move(where)
            self.host.book.meter = self.metrics if where else None

    def measure_later(self) -> None:
        """Tries until the address is free, or the configuration names another."""
        while self.metrics is not None and self.metrics.listen != self.read_at:
            with suppress(OSError):
                return self.measure(self.read_at)
            gevent.sleep(self.limits.hand_over)

    def hand_over(self) -> None:
        """What a process gone in a hot upgrade left in its journal is this one's to end."""
        while True:
            gevent.sleep(self.limits.hand_over)
            adopted = self.ledger.adopt()
            if adopted:
                self.log.info("journal adopted", envelopes=len(adopted))
                self.host.adopt(adopted)

    def not_done(self) -> list[News]:
        """Holds that the other process of a hot upgrade was told."""
        held, here = holds.read(self.state, self.log), self.host.sender.held
        changed = [(endpoint, endpoint in held) for endpoint in sorted(held ^ here)]
        return [(self.host.sender.hold, (id_, out, self.route.rows.get(id_))) for id_, out in changed]

    def order(self, call: Call) -> tuple[bool, str]:
        """An operator's call at the control address: whether it was done, and the words of the answer."""
        held = self.host.sender.held
        if call.name == "PING":  # the control address listens once the ledger is restored
            return True, ""
        if call.name == "LAMEDUCK":
            self.take_in.lameduck(True)
            return True, "lame duck: not ready, clients sent away"
        if call.name == "REJOIN":
            self.take_in.lameduck(False)
            return True, "ending" if self.take_in.closing else "ready"
        endpoint, out = str(call.argument), call.name == "DETACH"
        if endpoint not in self.route.rows and endpoint not in held:
            return False, f"unknown endpoint {endpoint}"
        if out != (endpoint in held):
            try:
                holds.change(self.state, endpoint, out, self.log)
            except OSError as error:
                return False, f"hold not kept: {error.strerror or error}"
            self.host.board.held()
            self.host.hold(endpoint, out, self.route.rows.get(endpoint))
        return True, f"{endpoint} {'draining' if out else 'back, cold'}"

    def keep(self, run: Callable[[], None]) -> None:
        """Guards the sender against a fault that would end one of its parts for good."""
        while True:
            try:
                return run()
            except Exception:
                self.log.exception("fault")
                gevent.sleep(self.limits.retry)

    def end(self) -> None:
        """After SIGTERM: what can be finished is, the rest is in the ledger for the next life."""
        if self.take_in.closing:
            return  # a second SIGTERM: it would put off the answers that the first one still owes
        began, limits = monotonic(), self.limits
        self.log.info("ending", held=len(self.host.entries), out=len(self.host.flights))
        self.take_in.closing, self.take_in.answered_by = True, began + limits.answered_after_term
        if self.take_in.inherited:  # the process beside this one accepts; what is held here it adopts after
            self.take_in.stop()
            gevent.spawn(self.take_in.send_away, limits.retire)
        else:
            gevent.sleep(limits.accept_after_term)
            self.admit.refusing = True
            self.take_in.close_idle()  # those that still come are accepted to the end, and get an answer
        while monotonic() < began + limits.shots_after_term and self.busy():
            gevent.sleep(0.02)
        self.host.ending = True
        self.take_in.close_idle()
        while monotonic() < began + limits.end_after_term and self.unfinished():
            gevent.sleep(0.02)
        self.take_in.stop()  # who comes now is refused at once, in place of a reset once the process is gone
        self.take_in.leave()
        self.log.info("ended", held=len(self.host.entries), out=len(self.host.flights))
        self.ended.set()

    def busy(self) -> bool:
        return bool(self.host.entries or self.take_in.clients) or self.unfinished()

    def unfinished(self) -> bool:
        """What no other process can finish: shots out, notices on their way, clients within a request."""
        clients = self.take_in
        return bool(self.host.flights or self.notices.waiting or clients.reading or clients.replying)


def mode(descriptor: int) -> int:
    """The kind of an inherited descriptor; 0 where it is not open."""
    try:
        return os.fstat(descriptor).st_mode
    except OSError:
        return 0


def told(name: str) -> str:
    if not os.environ.get(name):
        raise BadStart(f"{name} is not set")
    return os.environ[name]


def node() -> tuple[Node, Lines]:
    name, listen, discovery = told("RELAY_NAME"), told("RELAY_LISTEN"), told("RELAY_DISCOVERY")
    state, path = Path(told("RELAY_STATE")), Path(told("RELAY_CONFIG"))
    inherited = os.environ.get("RELAY_ACCEPT_FD") or None
    if inherited is not None and not (inherited.isdigit() and stat.S_ISSOCK(mode(int(inherited)))):
        raise BadStart(f"RELAY_ACCEPT_FD is no open socket: {inherited!r}")
    control = os.environ.get("RELAY_CONTROL", "")
    try:
        control and address(control)
    except ValueError as error:
        raise BadStart(f"RELAY_CONTROL: {error}") from None

    def read() -> Given:
        return Given(orjson.loads(path.read_bytes()), discovery)

    log, lines = logger(name, Form())
    try:
        descriptor = None if inherited is None else int(inherited)
        return Node(read(), listen, state, log, read, control, descriptor), lines
    except UNUSABLE as error:
        raise BadStart(f"cannot start from {path}: {words(error)}") from None


def main(hung_up: Sequence[int] = ()) -> int:
    try:
        sender, lines = node()
    except BadStart as error:
        print(f"ashpath: {error}", file=sys.stderr)
        return 2
    gevent.spawn(lines.run, sender.log)
    try:
        sender.run(hung_up)
    except OSError as error:
        print(f"ashpath: {error}", file=sys.stderr)
        return 1
    return 0
