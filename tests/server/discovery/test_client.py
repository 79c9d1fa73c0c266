"""The discovery client: snapshots, watches, backoff, and an agent that moves."""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random
from time import monotonic
from typing import Any
from unittest.mock import Mock

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from msgspec.structs import replace
from support.server import LOG, address_of
from support.stages import DeliveryStages
from support.world import LIMITS, World, reset_connection, until

from ashpath.server.addresses import Address
from ashpath.server.backoff import Backoff
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.discovery.client import DiscoveryClient
from ashpath.server.discovery.snapshot import EndpointRow
from ashpath.server.http.connection import HttpConnection, dial
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError
from ashpath.server.http.messages import HttpResponse
from ashpath.server.limits import ServerLimits
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.timers import stored_time

UNUSED_ADDRESS: Address = ("127.0.0.1", 1)
ROW = {"id": "e1", "host_port": "127.0.0.1:1", "cell": 1, "phase": "up"}


class RecordingListener:
    """Keeps what is reported to it."""

    def __init__(self) -> None:
        self.reports: list[tuple[int, bool]] = []  # how many rows, and whether it was a snapshot
        self.rows: list[EndpointRow] = []

    def receive_members(self, members: list[EndpointRow], *, complete: bool) -> bool:
        self.reports.append((len(members), complete))
        self.rows += members
        return True


class RegistryListener:
    """Applies what is reported to a registry, and to nothing else."""

    def __init__(self, registry: EndpointRegistry) -> None:
        self.registry = registry

    def receive_members(self, members: list[EndpointRow], *, complete: bool) -> bool:
        return not self.registry.apply_members(members, complete=complete).unreadable


class ScriptedAgent:
    """An agent that answers each poll as told, and notes the queries.

    An answer is bytes, the arguments of `endpoint_list`, "hold" to say nothing, or None to reset."""

    def __init__(self, world: World, answers: list[Any], server: int = 1) -> None:
        self.queries: list[bytes] = []
        self.answers = answers
        world.servers[server].set_handle(self.serve)
        self.address = address_of(world.servers[server])

    def serve(self, sock: socket.socket, _: object) -> None:
        connection = HttpConnection(sock, LIMITS)
        try:
            while request := connection.read_request():
                self.queries.append(request.url.partition(b"?")[2].partition(b"&")[0])
                answer = self.answers.pop(0) if self.answers else None
                if answer is None:
                    reset_connection(sock)
                    return
                if answer == "hold":
                    gevent.sleep(60)
                connection.write(answer if isinstance(answer, bytes) else endpoint_list(**answer))
        except (OSError, ConnectionClosedError):
            connection.close()


def endpoint_list(
    revision: object = 1, complete: object = True, members: object = (), indent: int | None = None
) -> bytes:
    body = json.dumps({"revision": revision, "complete": complete, "members": members}, indent=indent)
    return encode_message(b"HTTP/1.1 200 OK", [], body.encode())


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"revision":2}',
        b'{"revision":null,"complete":true,"members":[]}',
        b'{"revision":9,"complete":true,"members":[]}',  # an agent that has lost its list
    ],
)
def test_unreadable_or_empty_list_changes_nothing(body: bytes) -> None:
    listener = RecordingListener()
    client = DiscoveryClient(UNUSED_ADDRESS, LIMITS, 3, listener, Random(1), LOG)
    assert not client.apply_response(body)
    assert client.revision == 3
    assert listener.reports == []


def test_listener_receives_updates_and_snapshots_as_such() -> None:
    listener = RecordingListener()
    client = DiscoveryClient(UNUSED_ADDRESS, LIMITS, 1, listener, Random(1), LOG)
    assert client.apply_response(b'{"revision":2,"complete":false,"members":[]}')
    assert client.revision == 2
    assert listener.reports == []
    assert client.apply_response(b'{"revision":3,"complete":true,"members":[{}]}')
    assert client.revision == 3
    assert listener.reports == [(1, True)]
    assert client.apply_response(b'{"revision":4,"complete":false,"members":[{},{}]}')
    assert listener.reports == [(1, True), (2, False)]


def test_drain_is_received_after_watch_falls_silent(world: World) -> None:
    """Guards drains against a watch that never ends: what it missed counts as received 6 s after it fell
    silent, or 2 s after the wait that the poll may take."""
    listener = RecordingListener()

    def stop_answering(sock: socket.socket, _: object) -> None:
        world.config["known"] = {"revision": 2, "complete": False, "members": [{"phase": "draining"}]}
        world.servers[1].set_handle(world.serve_platform)
        gevent.sleep(30)

    world.servers[1].set_handle(stop_answering)
    client = DiscoveryClient(address_of(world.servers[1]), LIMITS, 1, listener, Random(1), LOG)
    began = monotonic()
    running = gevent.spawn(client.run)
    until(lambda: listener.rows)
    assert listener.rows[0] == {"phase": "draining"}
    assert monotonic() - began < min(6.0, LIMITS.watch_s + 2.0)
    running.kill()


# What the agent answers, and what is polled for next. No index: a snapshot.
NEXT_QUERIES: dict[str, tuple[list[Any], bytes]] = {
    "an update": ([{"revision": 9, "complete": False, "members": [ROW]}], b"index=9"),
    "an indented list": ([{"revision": 9, "members": [ROW], "indent": 4}], b"index=9"),
    "an earlier revision": ([{"revision": 2, "complete": False, "members": [ROW]}], b""),
    "a row of an update not read": ([{"revision": 9, "complete": False, "members": [{"id": []}]}], b""),
    "a row of a snapshot not read": ([{"revision": 9, "members": [{"id": []}, ROW]}], b"index=9"),
    "a reset": ([None], b""),
    "no list": ([encode_message(b"HTTP/1.1 200 OK", [], b'{"members":')], b"index=5"),
    "rows of a wrong type": ([{"members": {"a": 1}}], b"index=5"),
    "a flag of a wrong type": ([{"complete": "no", "members": [ROW]}], b"index=5"),
    "an empty snapshot": ([{"revision": 9}], b"index=5"),
    "rejected": ([encode_message(b"HTTP/1.1 429 X", [], b"")], b"index=5"),
}


@pytest.mark.parametrize("name", NEXT_QUERIES)
def test_response_determines_next_query(world: World, name: str) -> None:
    """Guards changes against being skipped: what an answer did not say is polled for again."""
    answers, next_query = NEXT_QUERIES[name]
    agent = ScriptedAgent(world, [*answers, "hold"])
    listener = RegistryListener(DeliveryStages(world).registry)
    limits = replace(LIMITS, watch_s=0.01, retry_s=0.01, discovery_rejected_backoff_s=0.01)
    client = DiscoveryClient(agent.address, limits, 5, listener, Random(1), LOG)
    running = gevent.spawn(client.run)
    until(lambda: len(agent.queries) == 2)
    assert agent.queries == [b"index=5", next_query]
    running.kill()


def test_response_of_old_agent_is_ignored_after_move(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards changes: what the old agent still answers is not read, and its revisions are no other's."""
    old = ScriptedAgent(world, [{"revision": 41, "members": [{**ROW, "id": "stale"}]}, "hold"])
    new = ScriptedAgent(world, [{"revision": 7, "members": [ROW]}, "hold"], server=2)
    listener = RecordingListener()
    client = DiscoveryClient(old.address, LIMITS, 5, listener, Random(1), LOG)

    def move_and_dial(sock: socket.socket, address: Address, limits: ServerLimits) -> HttpConnection:
        connection = dial(sock, address, limits)
        if address == old.address:
            client.move(new.address)
        return connection

    monkeypatch.setattr("ashpath.server.agent_client.dial", move_and_dial)
    running = gevent.spawn(client.run)
    until(lambda: len(new.queries) == 2)
    assert new.queries == [b"", b"index=7"]
    assert [row["id"] for row in listener.rows] == ["e1"]
    running.kill()


@pytest.mark.parametrize("retry_after", [b"60", b""], ids=["with Retry-After", "without"])
def test_move_ends_pause_caused_by_old_agent(world: World, retry_after: bytes) -> None:
    """Guards drains after SIGHUP, which count 4 s later: a pause that the old agent caused is not sat out."""
    headers = [(b"Retry-After", retry_after)] if retry_after else []
    old = ScriptedAgent(world, [encode_message(b"HTTP/1.1 429 X", headers, b""), "hold"])
    new = ScriptedAgent(world, [{"revision": 7, "members": [ROW]}, "hold"], server=2)
    client = DiscoveryClient(old.address, LIMITS, 5, RecordingListener(), Random(1), LOG)
    running = gevent.spawn(client.run)
    until(lambda: client.pause.active)
    began = monotonic()
    client.move(new.address)
    until(lambda: new.queries)
    assert monotonic() - began < 0.5
    assert new.queries[0] == b""
    assert len(old.queries) == 1
    running.kill()


# How a poll may fail: the backoff it is followed by, its Retry-After, and how long it lasts at the most.
FAILURES: dict[str, Callable[[DiscoveryClient], tuple[Backoff, float | None, float]]] = {
    "silent": lambda client: (client.silent_backoff, None, LIMITS.watch_s + LIMITS.watch_grace_s),
    "rejected": lambda client: (client.rejected_backoff, None, 0.5),
    "a short Retry-After": lambda client: (client.rejected_backoff, 1.0, 0.5),
    "a long Retry-After": lambda client: (client.rejected_backoff, 600.0, 0.5),
}


@pytest.mark.parametrize("kind", FAILURES)
def test_failed_poll_is_followed_by_another_within_six_seconds(kind: str) -> None:
    """Guards drains: a change counts as received 6 s after the agent had it and could be reached, however
    often and however it failed before. The fleet's polls stay spread all the same."""
    fleet = 200
    fourth_pauses = []
    for seed in range(fleet):
        client = DiscoveryClient(UNUSED_ADDRESS, LIMITS, 1, RecordingListener(), Random(seed), LOG)
        backoff, retry_after_s, lasts = FAILURES[kind](client)
        pauses = [backoff.next_pause(retry_after_s) for _ in range(8)]
        assert max(pauses) + lasts < 5.5
        fourth_pauses.append(pauses[3])
    if kind == "silent":
        return
    largest_group = max(sum(at <= other < at + 0.1 for other in fourth_pauses) for at in fourth_pauses)
    assert largest_group < fleet / 6, "all would come back at once"


def test_agent_list_applies_before_first_attempt_after_restart(world: World) -> None:
    """Guards drains over a restart: the configuration's list may be old, and what the agent has had since
    counts before the first attempt. What was accepted goes to the successor."""
    log = WriteAheadLog(world.folder / "state", LIMITS.disk_bytes)
    assert log.record_submitted(StoredMessage(1, "a", 0, 1, None, None, stored_time() + 20_000_000, b"200"))
    log.close()
    connections: list[object] = []
    removed = StreamServer(("127.0.0.1", 0), lambda sock, _: connections.append(sock))
    removed.start()
    old = {**world.members[1], "id": "old", "host_port": f"127.0.0.1:{removed.server_port}"}
    listed = [*world.members, {**old, "phase": "draining"}]
    ScriptedAgent(world, [{"revision": 3, "members": listed}, "hold"])
    world.config["known"] = {"revision": 1, "complete": True, "members": [old]}
    world.configure()
    world.start()
    until(lambda: world.attempt_count("a") == 1)
    assert not connections
    removed.stop()


class PausesTakenError(Exception):
    """Ends a client that would poll for ever."""


def pauses_of_client(
    monkeypatch: pytest.MonkeyPatch,
    seed: str,
    status: int,
    headers: dict[bytes, bytes],
    *,
    lease_over: bool = False,
) -> tuple[list[float], list[str]]:
    """Seven pauses of a client whose polls all end so (status 0: silence), and the states it logged."""
    pauses: list[float] = []

    def record_pause(seconds: float) -> None:
        pauses.append(seconds)
        if len(pauses) == 8:
            raise PausesTakenError

    response = HttpResponse()
    response.status = status
    response.headers = headers
    logger = Mock()
    client = DiscoveryClient(("127.0.0.1", 9), LIMITS, 0, RecordingListener(), Random(seed), logger, 0.7)
    if lease_over:
        client.lease.expires_at = monotonic() - 1.0
    monkeypatch.setattr(client.connection, "call", lambda *_: response if status else None)
    monkeypatch.setattr(gevent, "sleep", record_pause)
    monkeypatch.setattr(client.pause, "sleep", record_pause)
    with pytest.raises(PausesTakenError):
        client.run()
    assert pauses[0] == 0.7  # before the first poll
    assert client.state_log.counts[client.state_log.state] == 7
    return pauses[1:], [call.kwargs["now"] for call in logger.info.call_args_list]


def test_backoff_pauses_are_random_and_grow(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards the agent against a fleet killed together that comes back together. One that has rejected for a
    whole lease is overbooked: tries sooner than it takes to reject one keep it so, and no sender is
    answered."""
    first, logged_first = pauses_of_client(monkeypatch, "a", 503, {}, lease_over=True)
    second, logged_second = pauses_of_client(monkeypatch, "b", 429, {}, lease_over=True)
    waited, logged_waited = pauses_of_client(monkeypatch, "c", 503, {b"retry-after": b"3"}, lease_over=True)
    silent, logged_silent = pauses_of_client(monkeypatch, "d", 0, {})
    assert logged_first == logged_second == logged_waited == ["turns calls away"]  # once
    assert logged_silent == ["silent"]
    assert first != second  # not in step
    assert all(pause >= 3 for pause in waited)  # Retry-After is heeded
    assert max(silent) <= LIMITS.discovery_backoff_s < 4 * LIMITS.watch_s  # an outage's end is seen soon
    assert max(first) <= LIMITS.discovery_rejected_backoff_s
    assert sum(first) > 4 * sum(silent)


def test_pause_after_rejection_is_bounded_by_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards drains: a Retry-After does not put the list off past the time in which changes count as
    received. A fleet's first pauses are spread all the same."""
    first_pauses = []
    for seed in range(100):
        pauses, _ = pauses_of_client(monkeypatch, str(seed), 503, {b"retry-after": b"60"})
        assert pauses[0] <= LIMITS.list_lease_s / 2
        assert max(pauses) <= LIMITS.list_lease_s
        first_pauses.append(pauses[0])
    largest_group = max(sum(at <= other < at + 0.1 for other in first_pauses) for at in first_pauses)
    assert largest_group < 100 / 6, "all would come back at once"
