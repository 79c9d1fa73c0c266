"""The stages of a sender on their own, with what stands in for the rest: for crossings that a test orders."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest
import structlog
from gevent import socket

from ashpath.server.backoff import Backoff
from ashpath.server.delivery.attempts import Attempt, AttemptRunner
from ashpath.server.delivery.connection_pool import ConnectionPool
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.delivery.http_notifier import HttpNotifier, NotificationReceiver
from ashpath.server.delivery.outcome_recorder import OutcomeRecorder
from ashpath.server.delivery.response_classifier import ResponseClassifier
from ashpath.server.http.admission import Admission
from ashpath.server.http.client_listener import ClientListener
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.messages import HttpRequest
from ashpath.server.storage.write_ahead_log import StoredMessage, WriteAheadLog
from ashpath.server.timers import now
from support.world import LIMITS, TERMS, TRACKS, World


def unreachable_notifier(write_ahead_log: WriteAheadLog) -> HttpNotifier:
    """One that nothing runs: what it is given stays pending."""
    receiver = NotificationReceiver(("127.0.0.1", 1))
    backoff = Backoff(Random(0), LIMITS.retry_s, LIMITS.notification_backoff_s)
    return HttpNotifier(receiver, LIMITS, write_ahead_log, structlog.get_logger(), backoff)


class Still:
    """In place of the host: takes all, and remembers."""

    def __init__(self) -> None:
        self.messages, self.seen, self.attempts = {}, [], {}

    def submit(self, entry: StoredMessage) -> None:
        self.seen.append(f"take {entry.trace_id}")

    def client_disconnected(self, entry: StoredMessage) -> None:
        self.seen.append(f"gone {entry.trace_id}")


def desk(folder: Path, disk: int = 1 << 20) -> tuple[ClientListener, Still, WriteAheadLog]:
    ledger, host = WriteAheadLog(folder, disk), Still()
    book = OutcomeRecorder(ledger, unreachable_notifier(ledger))
    route = EndpointRegistry(["plain"], ["here"], ConnectionPool(LIMITS), None)
    route.apply_members([{"id": "e1", "cell": 1, "phase": "up", "host_port": "127.0.0.1:1"}], whole=True)
    tracks = {name: number for number, name in enumerate(TRACKS)}
    admit = Admission(TERMS, tracks, route, host, book, structlog.get_logger())
    return ClientListener(("127.0.0.1", 1), LIMITS, admit, None), host, ledger


class Pair(HttpConnection):
    """A wire over a pair of local sockets, which have no TCP to set."""

    def __init__(self, sock: socket.socket) -> None:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(socket.socket, "setsockopt", lambda *_: None)
            super().__init__(sock, LIMITS)


def parsed(data: bytes) -> HttpRequest:
    near, far = socket.socketpair()
    far.sendall(data)
    return Pair(near).read_request()


class Outward:
    """The stages from the route to the relay, and the endings that would reach the module."""

    def __init__(self, world: World) -> None:
        self.pool, self.endings, ledger = (
            ConnectionPool(LIMITS),
            [],
            WriteAheadLog(world.folder, LIMITS.disk_bytes),
        )
        self.route = EndpointRegistry(["plain"], ["here"], self.pool, None)
        self.route.apply_members(world.members, whole=True)
        relay = ResponseClassifier(OutcomeRecorder(ledger, unreachable_notifier(ledger)), reports=True)
        relay.on_outcome = lambda flight, ending, *_: self.endings.append(ending)
        self.send = AttemptRunner(self.pool, self.route, relay)

    def begin(self, trace: str, body: bytes, endpoint: str = "e1", time: int = 5_000_000) -> Attempt:
        entry = StoredMessage(1, trace, 0, 1, None, None, 0, body)
        flight = Attempt(entry, endpoint, now() + time, time)
        self.send.start(flight)
        return flight
