"""The discovery client: snapshots, watches, backoff, a discovery service that moves."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import replace
from random import Random
from time import monotonic
from typing import Any

import gevent
import pytest
import structlog
from gevent import socket
from gevent.server import StreamServer
from support.server import LOG
from support.stages import Outward
from support.world import LIMITS, World, abandon, until

from ashpath.server import agent_client as calls
from ashpath.server.backoff import Backoff
from ashpath.server.discovery import client as directory
from ashpath.server.discovery.client import DiscoveryClient
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError
from ashpath.server.http.messages import HttpResponse
from ashpath.server.storage.write_ahead_log import StoredMessage, WriteAheadLog
from ashpath.server.timers import wall


def test_directory(world: World) -> None:
    """Changes and whole lists are told apart; what cannot be read changes nothing."""
    heard = []
    hear = lambda rows, whole: heard.append((len(rows), whole))  # noqa: E731
    directory = DiscoveryClient(("127.0.0.1", 1), LIMITS, 1, hear, Random(1), None)
    for body in (b"", b"[]", b'{"revision":2}', b'{"revision":null,"complete":true,"members":[]}'):
        assert not directory.apply_response(body) and directory.revision == 1
    assert (
        directory.apply_response(b'{"revision":2,"complete":false,"members":[]}') and directory.revision == 2
    )
    assert directory.apply_response(b'{"revision":3,"complete":true,"members":[{}]}') and heard == [(1, True)]
    # Guards all that is served against a directory that has lost its list: an empty one is asked for again.
    assert (
        not directory.apply_response(b'{"revision":9,"complete":true,"members":[]}')
        and directory.revision == 3
    )
    assert heard == [(1, True)]


def test_a_watch_falls_silent_as_an_endpoint_drains(world: World) -> None:
    """Guards drains against a watch that never ends: what it missed counts as told 6 s after it fell silent,
    or 2 s after the wait that the call may take."""
    heard: list[object] = []
    hear = lambda rows, whole: heard.extend(rows)  # noqa: E731

    def silent(sock: socket.socket, _: object) -> None:
        world.config["known"] = {"revision": 2, "complete": False, "members": [{"phase": "draining"}]}
        world.servers[1].set_handle(world.platform)
        gevent.sleep(30)

    world.servers[1].set_handle(silent)
    directory = DiscoveryClient(world.servers[1].address, LIMITS, 1, hear, Random(1), structlog.get_logger())
    began, watch = monotonic(), gevent.spawn(directory.run)
    until(lambda: heard)
    assert heard[0] == {"phase": "draining"} and monotonic() - began < min(6.0, LIMITS.watch_s + 2.0)
    watch.kill()


# Discovery.


class Answerer:
    """A directory that answers each call as told, and notes what was asked."""

    def __init__(self, world: World, answers: list[Any], server: int = 1) -> None:
        self.asked: list[bytes] = []
        self.answers = answers
        self.server = world.servers[server]
        self.server.set_handle(self.serve)

    def serve(self, sock: socket.socket, _: object) -> None:
        wire = HttpConnection(sock, LIMITS)
        try:
            while call := wire.read_request():
                self.asked.append(call.url.partition(b"?")[2].partition(b"&")[0])
                told = self.answers.pop(0) if self.answers else None
                if told is None:
                    return abandon(sock)
                if told == "hold":
                    gevent.sleep(60)
                wire.write(told if isinstance(told, bytes) else listed(**told))
        except (OSError, ConnectionClosedError):
            wire.close()


def listed(revision: object = 1, complete: object = True, members: object = (), **more: object) -> bytes:
    told = {"revision": revision, "complete": complete, "members": members}
    body = json.dumps(told, indent=4 if more else None).encode()
    return encode_message(b"HTTP/1.1 200 OK", [], body)


ROW = {"id": "e1", "host_port": "127.0.0.1:1", "cell": 1, "phase": "up"}


# What the directory answers, and what is asked for next. Nothing named: the whole list.
ASKED_NEXT = {
    "changes": ([{"revision": 9, "complete": False, "members": [ROW]}], b"index=9"),
    "an indented list": ([{"revision": 9, "members": [ROW], "indent": 1}], b"index=9"),
    "a new count of revisions": ([{"revision": 2, "complete": False, "members": [ROW]}], b""),
    "a spoilt line among changes": ([{"revision": 9, "complete": False, "members": [{"id": []}]}], b""),
    "a spoilt line in the whole list": ([{"revision": 9, "members": [{"id": []}, ROW]}], b"index=9"),
    "a reset": ([None], b""),
    "no list": ([encode_message(b"HTTP/1.1 200 OK", [], b'{"members":')], b"index=5"),
    "rows of a wrong type": ([{"members": {"a": 1}}], b"index=5"),
    "a flag of a wrong type": ([{"complete": "no", "members": [ROW]}], b"index=5"),
    "an empty whole list": ([{"revision": 9}], b"index=5"),
    "turned away": ([encode_message(b"HTTP/1.1 429 X", [], b"")], b"index=5"),
}


@pytest.mark.parametrize("name", ASKED_NEXT)
def test_what_is_asked_of_a_directory_next(world: World, name: str) -> None:
    """Guards changes against being skipped: what an answer did not say is asked for again."""
    answers, then = ASKED_NEXT[name]
    answerer = Answerer(world, [*answers, "hold"])
    route = Outward(world).route
    route.log = LOG
    limits = replace(LIMITS, watch_s=0.01, retry_s=0.01, discovery_rejected_backoff_s=0.01)
    directory = DiscoveryClient(answerer.server.address, limits, 5, route.receive_members, Random(1), LOG)
    watch = gevent.spawn(directory.run)
    until(lambda: len(answerer.asked) == 2)
    assert answerer.asked == [b"index=5", then]
    watch.kill()


def test_a_drain_whose_line_is_spoilt(world: World) -> None:
    """The address of an endpoint that goes is no matter: nothing more is sent there."""
    route = Outward(world).route
    route.log = LOG
    assert route.receive_members([{"id": "e1", "cell": 1, "phase": "draining", "host_port": None}], False)
    assert "e1" not in route.addresses and not route.receive_members(
        [{**ROW, "host_port": "127.0.0.1:70000"}], False
    )


def test_a_directory_that_moves_while_it_is_dialled(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards changes: what the old agent still answers is not read, and its revisions are no other's."""
    old = Answerer(world, [{"revision": 41, "members": [{**ROW, "id": "stale"}]}, "hold"])
    new = Answerer(world, [{"revision": 7, "members": [ROW]}, "hold"], server=2)
    heard: list[Any] = []
    hear = lambda rows, whole: heard.extend(rows) or True  # noqa: E731
    directory = DiscoveryClient(old.server.address, LIMITS, 5, hear, Random(1), LOG)
    dial = calls.open_connection

    def dialled(where: Any, limits: Any) -> HttpConnection:
        wire = dial(where, limits)
        directory.move(new.server.address)
        return wire

    monkeypatch.setattr(calls, "open_connection", dialled)
    watch = gevent.spawn(directory.run)
    until(lambda: len(new.asked) == 2)
    assert new.asked == [b"", b"index=7"] and [row["id"] for row in heard] == ["e1"]
    watch.kill()


@pytest.mark.parametrize("told", [b"60", b""], ids=["told to wait", "turned away"])
def test_a_directory_that_moves_within_a_pause(world: World, told: bytes) -> None:
    """Guards drains after SIGHUP, which count 4 s later: a pause that the old agent caused is not sat out."""
    away = encode_message(b"HTTP/1.1 429 X", [(b"Retry-After", told)] if told else [], b"")
    old = Answerer(world, [away, "hold"])
    new = Answerer(world, [{"revision": 7, "members": [ROW]}, "hold"], server=2)
    directory = DiscoveryClient(old.server.address, LIMITS, 5, lambda *_: True, Random(1), LOG)
    watch = gevent.spawn(directory.run)
    until(lambda: directory.pausing)
    began = monotonic()
    directory.move(new.server.address)
    until(lambda: new.asked)
    assert monotonic() - began < 0.5 and new.asked[0] == b"" and len(old.asked) == 1
    watch.kill()


# How a call to the directory may fail, and how long it lasts then, at the most.
FAILURES: dict[str, Callable[[DiscoveryClient], tuple[Backoff, float | None, float]]] = {
    "silent": lambda one: (one.silent_backoff, None, LIMITS.watch_s + LIMITS.watch_grace_s),
    "turned away": lambda one: (one.rejected_backoff, None, 0.5),
    "told to come back": lambda one: (one.rejected_backoff, 1.0, 0.5),
    "told to stay away": lambda one: (one.rejected_backoff, 600.0, 0.5),
}


@pytest.mark.parametrize("kind", FAILURES)
def test_every_failed_call_is_followed_by_one_within_six_seconds(kind: str) -> None:
    """Guards drains: a change counts as told 6 s after the directory had it and could be reached, however
    often and however it failed before. The fleet's calls stay spread all the same."""
    fleet, pauses = 200, []
    for seed in range(fleet):
        one = DiscoveryClient(("127.0.0.1", 1), LIMITS, 1, lambda *_: True, Random(seed), LOG)
        pause, told, lasts = FAILURES[kind](one)
        row = [pause.next_pause(told) for _ in range(8)]
        assert max(row) + lasts < 5.5
        pauses.append(row[3])
    if kind == "silent":
        return
    crowd = max(sum(at <= other < at + 0.1 for other in pauses) for at in pauses)
    assert crowd < fleet / 6, "all would come back at once"


def test_what_the_agent_has_counts_from_the_first_moment(world: World) -> None:
    """Guards drains over a restart: the list as last held may be old, and what the agent was told meanwhile
    counts before the first call. What was taken on goes to the successor."""
    ledger = WriteAheadLog(world.folder / "state", LIMITS.disk_bytes)
    assert ledger.record_submitted(StoredMessage(1, "a", 0, 1, None, None, wall() + 20_000_000, b"200"))
    ledger.close()
    called: list[object] = []
    gone = StreamServer(("127.0.0.1", 0), lambda sock, _: called.append(sock))
    gone.start()
    old = {**world.members[1], "id": "old", "host_port": f"127.0.0.1:{gone.server_port}"}
    now_listed = [*world.members, {**old, "phase": "draining"}]
    Answerer(world, [{"revision": 3, "members": now_listed}, "hold"])
    world.config["known"] = {"revision": 1, "complete": True, "members": [old]}
    world.configure()
    world.start()
    until(lambda: world.count("a") == 1)
    assert not called
    gone.stop()


def test_the_directory_backs_off_by_lot(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards the directory against a fleet killed together that comes back together. One that turns calls
    away is overbooked: tries sooner than it takes to turn one away keep it so, and no sender is told."""
    pauses: list[float] = []

    def sleep(seconds: float) -> None:
        pauses.append(seconds)
        if len(pauses) == 8:
            raise StopIteration

    monkeypatch.setattr(directory.gevent, "sleep", sleep)
    fleet: list[list[float]] = []
    lines: list[str] = []
    log = type("Log", (), {"info": lambda self, event, now, **_: lines.append(now)})()
    wait = {b"retry-after": b"3"}
    for name, status, told in (("a", 503, {}), ("b", 429, {}), ("c", 503, wait), ("d", 0, {})):
        pauses.clear()
        chance = Random(name)
        lines.clear()
        hear = lambda rows, whole: None  # noqa: E731
        watch = directory.DiscoveryClient(("127.0.0.1", 9), LIMITS, 0, hear, chance, log, 0.7)
        answer = HttpResponse()
        answer.status, answer.headers = status, told
        watch.connection.call = lambda *_, one=answer: one if one.status else None  # type: ignore[method-assign]
        with pytest.raises(StopIteration):
            watch.run()
        assert pauses[0] == 0.7  # the first call at its turn
        assert lines == ["turns calls away" if status else "silent"]  # once
        fleet.append(pauses[1:])
    first, second, waited, silent = fleet
    assert first != second and all(pause >= 3 for pause in waited)  # not in step; the told wait heeded
    assert max(silent) <= LIMITS.discovery_backoff_s < 4 * LIMITS.watch_s  # an outage's end is seen soon
    assert max(first) <= LIMITS.discovery_rejected_backoff_s and sum(first) > 4 * sum(silent)
