"""The stages of a sender on their own, with what stands in for the rest: for crossings that a test orders."""

from __future__ import annotations

from pathlib import Path

import pytest
import structlog
from gevent import socket

from ashpath.node.admit import Admit
from ashpath.node.book import Book
from ashpath.node.codec import Message, Wire
from ashpath.node.ledger import Entry, Ledger
from ashpath.node.notices import Notices
from ashpath.node.pool import Pool
from ashpath.node.relay import Relay
from ashpath.node.route import Route
from ashpath.node.send import Flight, Send
from ashpath.node.take_in import TakeIn
from ashpath.node.timers import now
from rigs.world import LIMITS, TERMS, TRACKS, World


class Still:
    """In place of the host: takes all, and remembers."""

    def __init__(self) -> None:
        self.entries, self.seen, self.flights = {}, [], {}

    def take(self, entry: Entry) -> None:
        self.seen.append(f"take {entry.trace}")

    def gone(self, entry: Entry) -> None:
        self.seen.append(f"gone {entry.trace}")


def desk(folder: Path, disk: int = 1 << 20) -> tuple[TakeIn, Still, Ledger]:
    ledger, host = Ledger(folder, disk), Still()
    book = Book(ledger, Notices(("127.0.0.1", 1), LIMITS, ledger, None))
    route = Route(["plain"], ["here"], Pool(LIMITS), None)
    route.learn([{"id": "e1", "cell": 1, "phase": "up", "host_port": "127.0.0.1:1"}], whole=True)
    tracks = {name: number for number, name in enumerate(TRACKS)}
    admit = Admit(TERMS, tracks, route, host, book, structlog.get_logger())
    return TakeIn(("127.0.0.1", 1), LIMITS, admit, None), host, ledger


class Pair(Wire):
    """A wire over a pair of local sockets, which have no TCP to set."""

    def __init__(self, sock: socket.socket) -> None:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(socket.socket, "setsockopt", lambda *_: None)
            super().__init__(sock, LIMITS)


def parsed(data: bytes) -> Message:
    near, far = socket.socketpair()
    far.sendall(data)
    return Pair(near).read_request()


class Outward:
    """The stages from the route to the relay, and the endings that would reach the module."""

    def __init__(self, world: World) -> None:
        self.pool, self.endings, ledger = Pool(LIMITS), [], Ledger(world.folder, LIMITS.disk)
        self.route = Route(["plain"], ["here"], self.pool, None)
        self.route.learn(world.members, whole=True)
        relay = Relay(Book(ledger, Notices(("127.0.0.1", 1), LIMITS, ledger, None)), reports=True)
        relay.returned = lambda flight, ending, *_: self.endings.append(ending)
        self.send = Send(self.pool, self.route, relay)

    def begin(self, trace: str, body: bytes, endpoint: str = "e1", time: int = 5_000_000) -> Flight:
        entry = Entry(1, trace, 0, 1, None, None, 0, body)
        flight = Flight(entry, endpoint, now() + time, time)
        self.send.begin(flight)
        return flight
