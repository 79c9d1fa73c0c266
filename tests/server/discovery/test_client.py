"""Discovery client: snapshots, watches, backoff and moves of the agent."""

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
from gevent.event import Event
from gevent.server import StreamServer
from support.limits import discovery_client, limits_with
from support.sender_harness import LIMITS, SenderHarness, reset_connection, wait_until
from support.sender_parts import DeliverySetup
from support.server import LOG, address_of

from ashpath.server.addresses import Address
from ashpath.server.backoff import Backoff
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.discovery.client import DiscoveryClient
from ashpath.server.discovery.snapshot import EndpointRow
from ashpath.server.http.connection import HttpConnection, dial
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError
from ashpath.server.http.messages import HttpResponse
from ashpath.server.limits.http import HttpLimits
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.timers import stored_time

UNUSED_ADDRESS: Address = ("127.0.0.1", 1)
ROW = {"id": "e1", "host_port": "127.0.0.1:1", "cell": 1, "phase": "up"}


class RecordingListener:
    """Records reported members."""

    def __init__(self) -> None:
        self.reports: list[tuple[int, bool]] = []  # how many rows, and whether it was a snapshot
        self.rows: list[EndpointRow] = []

    def receive_members(self, members: list[EndpointRow], *, complete: bool) -> bool:
        self.reports.append((len(members), complete))
        self.rows += members
        return True


class RegistryListener:
    """Applies reported members to a registry alone."""

    def __init__(self, registry: EndpointRegistry) -> None:
        self.registry = registry

    def receive_members(self, members: list[EndpointRow], *, complete: bool) -> bool:
        return not self.registry.apply_members(members, complete=complete).unreadable


class ScriptedAgent:
    """An agent with scripted answers that records the query of each poll.

    An answer is bytes, the arguments of `endpoint_list`, "hold" to send nothing, or None to reset the
    connection."""

    def __init__(self, harness: SenderHarness, answers: list[Any], server: int = 1) -> None:
        self.queries: list[bytes] = []
        self.answers = answers
        harness.servers[server].set_handle(self.serve)
        self.address = address_of(harness.servers[server])

    def serve(self, sock: socket.socket, _: object) -> None:
        connection = HttpConnection(sock, LIMITS.http)
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
    client = discovery_client(UNUSED_ADDRESS, 3, listener, Random(1), LOG)
    assert not client.apply_response(body)
    assert client.revision == 3
    assert listener.reports == []


def test_listener_receives_updates_and_snapshots_as_such() -> None:
    listener = RecordingListener()
    client = discovery_client(UNUSED_ADDRESS, 1, listener, Random(1), LOG)
    assert client.apply_response(b'{"revision":2,"complete":false,"members":[]}')
    assert client.revision == 2
    assert listener.reports == []
    assert client.apply_response(b'{"revision":3,"complete":true,"members":[{}]}')
    assert client.revision == 3
    assert listener.reports == [(1, True)]
    assert client.apply_response(b'{"revision":4,"complete":false,"members":[{},{}]}')
    assert listener.reports == [(1, True), (2, False)]


def test_drain_is_received_after_watch_falls_silent(harness: SenderHarness) -> None:
    """An endpoint drains while the watch is silent. The drain must be received within 6 s after the watch
    fell silent, or 2 s after the longest wait of the poll; without a timeout the watch would never end."""
    listener = RecordingListener()

    def stop_answering(sock: socket.socket, _: object) -> None:
        harness.config["known"] = {"revision": 2, "complete": False, "members": [{"phase": "draining"}]}
        harness.servers[1].set_handle(harness.serve_platform)
        gevent.sleep(30)

    harness.servers[1].set_handle(stop_answering)
    client = discovery_client(address_of(harness.servers[1]), 1, listener, Random(1), LOG)
    began = monotonic()
    running = gevent.spawn(client.run)
    wait_until(lambda: listener.rows)
    assert listener.rows[0] == {"phase": "draining"}
    assert monotonic() - began < min(6.0, LIMITS.discovery.watch_s + 2.0)
    running.kill()


# Answers of the agent, and the query of the next poll; a query without index asks for a snapshot.
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
def test_response_determines_next_query(harness: SenderHarness, name: str) -> None:
    """After an answer that lacks changes or is unreadable, the next poll asks for them again, so that no
    change is skipped."""
    answers, next_query = NEXT_QUERIES[name]
    agent = ScriptedAgent(harness, [*answers, "hold"])
    listener = RegistryListener(DeliverySetup(harness).registry)
    limits = limits_with(watch_s=0.01, retry_s=0.01, discovery_rejected_backoff_s=0.01)
    client = discovery_client(agent.address, 5, listener, Random(1), LOG, limits=limits)
    running = gevent.spawn(client.run)
    wait_until(lambda: len(agent.queries) == 2)
    assert agent.queries == [b"index=5", next_query]
    running.kill()


def test_response_of_old_agent_is_ignored_after_move(
    harness: SenderHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The agent moves while the client connects to the old one. A late response of the old agent must not be
    applied, and its revision must not be sent to the new agent, whose revisions are unrelated."""
    old = ScriptedAgent(harness, [{"revision": 41, "members": [{**ROW, "id": "stale"}]}, "hold"])
    new = ScriptedAgent(harness, [{"revision": 7, "members": [ROW]}, "hold"], server=2)
    listener = RecordingListener()
    client = discovery_client(old.address, 5, listener, Random(1), LOG)

    def move_and_dial(sock: socket.socket, address: Address, limits: HttpLimits) -> HttpConnection:
        connection = dial(sock, address, limits)
        if address == old.address:
            client.change_address(new.address)
        return connection

    monkeypatch.setattr("ashpath.server.agent_client.dial", move_and_dial)
    running = gevent.spawn(client.run)
    wait_until(lambda: len(new.queries) == 2)
    assert new.queries == [b"", b"index=7"]
    assert [row["id"] for row in listener.rows] == ["e1"]
    running.kill()


@pytest.mark.parametrize("retry_after", [b"60", b""], ids=["with Retry-After", "without"])
def test_move_ends_pause_caused_by_old_agent(harness: SenderHarness, retry_after: bytes) -> None:
    """A drain must be received within 4 s after SIGHUP names another agent. A pause that the old agent caused
    would delay it, so the change of address ends the pause."""
    headers = [(b"Retry-After", retry_after)] if retry_after else []
    old = ScriptedAgent(harness, [encode_message(b"HTTP/1.1 429 X", headers, b""), "hold"])
    new = ScriptedAgent(harness, [{"revision": 7, "members": [ROW]}, "hold"], server=2)
    client = discovery_client(old.address, 5, RecordingListener(), Random(1), LOG)
    running = gevent.spawn(client.run)
    wait_until(lambda: client.pause.active)
    began = monotonic()
    client.change_address(new.address)
    wait_until(lambda: new.queries)
    assert monotonic() - began < 0.5
    assert new.queries[0] == b""
    assert len(old.queries) == 1
    running.kill()


LONGEST_WATCH_S = LIMITS.discovery.watch_s + LIMITS.discovery.watch_grace_s
# Kinds of failed polls: backoff used, Retry-After, and longest duration of the poll in seconds.
FAILURES: dict[str, Callable[[DiscoveryClient], tuple[Backoff, float | None, float]]] = {
    "silent": lambda client: (client.silent_backoff, None, LONGEST_WATCH_S),
    "rejected": lambda client: (client.rejected_backoff, None, 0.5),
    "a short Retry-After": lambda client: (client.rejected_backoff, 1.0, 0.5),
    "a long Retry-After": lambda client: (client.rejected_backoff, 600.0, 0.5),
}


@pytest.mark.parametrize("kind", FAILURES)
def test_failed_poll_is_followed_by_another_within_six_seconds(kind: str) -> None:
    """A change must be received within 6 s after the agent had it and was reachable, after any number and
    kind of failed polls. The pauses of a fleet must remain spread nevertheless."""
    fleet = 200
    fourth_pauses = []
    for seed in range(fleet):
        client = discovery_client(UNUSED_ADDRESS, 1, RecordingListener(), Random(seed), LOG)
        backoff, retry_after_s, lasts = FAILURES[kind](client)
        pauses = [backoff.next_pause(retry_after_s) for _ in range(8)]
        assert max(pauses) + lasts < 5.5
        fourth_pauses.append(pauses[3])
    if kind == "silent":
        return
    largest_group = max(sum(at <= other < at + 0.1 for other in fourth_pauses) for at in fourth_pauses)
    assert largest_group < fleet / 6, "too many senders would poll at the same time"


def test_agent_list_applies_before_first_attempt_after_restart(harness: SenderHarness) -> None:
    """After a restart the configuration's list may be old. The agent's list must be applied before the first
    attempt, so that an accepted message goes to the successor of a drained endpoint."""
    log = WriteAheadLog(harness.folder / "state", LIMITS.storage.disk_bytes)
    assert log.record_submitted(StoredMessage(1, "a", 0, 1, None, None, stored_time() + 20_000_000, b"200"))
    log.close()
    connections: list[object] = []
    removed = StreamServer(("127.0.0.1", 0), lambda sock, _: connections.append(sock))
    removed.start()
    old = {**harness.members[1], "id": "old", "host_port": f"127.0.0.1:{removed.server_port}"}
    listed = [*harness.members, {**old, "phase": "draining"}]
    ScriptedAgent(harness, [{"revision": 3, "members": listed}, "hold"])
    harness.config["known"] = {"revision": 1, "complete": True, "members": [old]}
    harness.configure()
    harness.start()
    wait_until(lambda: harness.attempt_count("a") == 1)
    assert not connections
    removed.stop()


class PausesTakenError(Exception):
    """Ends a client that would otherwise poll forever."""


def pauses_of_client(
    monkeypatch: pytest.MonkeyPatch,
    seed: str,
    status: int,
    headers: dict[bytes, bytes],
    *,
    lease_over: bool = False,
) -> tuple[list[float], list[str]]:
    """Returns seven pauses, and the states logged, of a client whose polls end with `status` (0: silence)."""
    pauses: list[float] = []

    def record_pause(seconds: float) -> None:
        pauses.append(seconds)
        if len(pauses) == 8:
            raise PausesTakenError

    response = HttpResponse()
    response.status = status
    response.headers = headers
    logger = Mock()
    client = discovery_client(("127.0.0.1", 9), 0, RecordingListener(), Random(seed), logger, 0.7)
    if lease_over:
        client.lease.expires_at = monotonic() - 1.0
    monkeypatch.setattr(client.connection, "call", lambda *_: response if status else None)
    monkeypatch.setattr(gevent, "sleep", record_pause)
    monkeypatch.setattr(client.pause, "sleep", record_pause)
    with pytest.raises(PausesTakenError):
        client.run()
    assert pauses[0] == 0.7  # the delay before the first poll
    assert client.state_log.counts[client.state_log.state] == 7
    return pauses[1:], [call.kwargs["now"] for call in logger.info.call_args_list]


def test_backoff_pauses_are_random_and_grow(monkeypatch: pytest.MonkeyPatch) -> None:
    """Senders of a fleet that were killed together must not poll the agent in step after their restart. An
    agent that has rejected for a whole lease is overloaded: retries that come sooner than it takes to reject
    one keep it overloaded, and no sender gets a list."""
    first, logged_first = pauses_of_client(monkeypatch, "a", 503, {}, lease_over=True)
    second, logged_second = pauses_of_client(monkeypatch, "b", 429, {}, lease_over=True)
    waited, logged_waited = pauses_of_client(monkeypatch, "c", 503, {b"retry-after": b"3"}, lease_over=True)
    silent, logged_silent = pauses_of_client(monkeypatch, "d", 0, {})
    assert logged_first == logged_second == logged_waited == ["turns calls away"]  # logged once
    assert logged_silent == ["silent"]
    assert first != second  # not in step
    assert all(pause >= 3 for pause in waited)  # the pauses respect Retry-After
    assert (
        max(silent) <= LIMITS.discovery.discovery_backoff_s < 4 * LIMITS.discovery.watch_s
    )  # short, to detect the end of an outage soon
    assert max(first) <= LIMITS.discovery.discovery_rejected_backoff_s
    assert sum(first) > 4 * sum(silent)


def test_pause_after_rejection_is_bounded_by_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """A Retry-After must not delay the next list past the time within which changes count as received. The
    first pauses of a fleet must remain spread nevertheless."""
    first_pauses = []
    for seed in range(100):
        pauses, _ = pauses_of_client(monkeypatch, str(seed), 503, {b"retry-after": b"60"})
        assert pauses[0] <= LIMITS.discovery.list_lease_s / 2
        assert max(pauses) <= LIMITS.discovery.list_lease_s
        first_pauses.append(pauses[0])
    largest_group = max(sum(at <= other < at + 0.1 for other in first_pauses) for at in first_pauses)
    assert largest_group < 100 / 6, "too many senders would poll at the same time"


# Polls that end in an unexpected error


class UnexpectedError(Exception):
    """An error that the client does not expect of a call."""


def fail_first_response(monkeypatch: pytest.MonkeyPatch, released: Event) -> list[HttpConnection]:
    """Makes the first read of a response raise UnexpectedError once `released` is set. Returns the list to
    which the connection of that read is added."""
    failed: list[HttpConnection] = []
    read_response = HttpConnection.read_response

    def fail_once(connection: HttpConnection) -> HttpResponse:
        if failed:
            return read_response(connection)
        failed.append(connection)
        released.wait()
        raise UnexpectedError

    monkeypatch.setattr(HttpConnection, "read_response", fail_once)
    return failed


def test_unexpected_error_ends_poll_and_next_poll_follows(
    harness: SenderHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client does not wait for the rest of the poll's time, and logs the error once."""
    agent = ScriptedAgent(harness, [{"members": [ROW]}, {"members": [ROW]}, "hold"])
    listener, logger, released = RecordingListener(), Mock(), Event()
    released.set()
    failed = fail_first_response(monkeypatch, released)
    client = discovery_client(agent.address, 5, listener, Random(1), logger)
    began = monotonic()
    running = gevent.spawn(client.run)
    wait_until(lambda: listener.rows)
    assert monotonic() - began < LIMITS.discovery.watch_s
    assert failed[0].unusable
    assert client.late_polls == []
    assert logger.exception.call_count == 1
    running.kill()


def test_unexpected_error_of_late_poll_releases_it(
    harness: SenderHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    agent = ScriptedAgent(harness, ["hold", {"members": [ROW]}, "hold"])
    listener, logger, released = RecordingListener(), Mock(), Event()
    failed = fail_first_response(monkeypatch, released)
    limits = limits_with(watch_s=0.05, watch_grace_s=0.0, retry_s=0.01)
    client = discovery_client(agent.address, 5, listener, Random(1), logger, limits=limits)
    running = gevent.spawn(client.run)
    wait_until(lambda: client.late_polls)
    late_poll = client.late_polls[0]
    released.set()
    wait_until(lambda: late_poll not in client.late_polls)
    assert late_poll.ended.is_set()
    assert failed[0].unusable
    assert logger.exception.call_count == 1
    wait_until(lambda: listener.rows)
    running.kill()


def test_unexpected_error_in_late_list_is_logged_once(harness: SenderHarness) -> None:
    """The rows of a list may have been applied in part, so the next poll is for a snapshot."""
    released = Event()
    logger = Mock()

    class FailingListener(RecordingListener):
        def receive_members(self, members: list[EndpointRow], *, complete: bool) -> bool:
            super().receive_members(members, complete=complete)
            if len(self.reports) == 1:
                raise UnexpectedError
            return True

    def answer_late(sock: socket.socket, _: object) -> None:
        HttpConnection(sock, LIMITS.http).read_request()
        harness.servers[1].set_handle(held_agent.serve)
        released.wait()
        sock.sendall(endpoint_list(revision=9, members=[ROW]))

    held_agent = ScriptedAgent(harness, ["hold", "hold", "hold"])
    harness.servers[1].set_handle(answer_late)
    listener = FailingListener()
    client = discovery_client(held_agent.address, 5, listener, Random(1), logger)
    response = gevent.spawn(client.poll, 0.05)
    wait_until(lambda: client.late_polls)
    late_poll = client.late_polls[0]
    released.set()
    wait_until(late_poll.ended.is_set)
    wait_until(lambda: logger.exception.call_count == 1)
    assert response.get() is None
    assert listener.reports == [(1, True)]
    assert client.revision is None
    assert client.late_polls == []
    assert late_poll.connection.connection is None


class EventSetAtTimeout:
    """An event that is set at the moment at which the wait for it times out."""

    def __init__(self) -> None:
        self.event = Event()

    def set(self) -> None:
        self.event.set()

    def is_set(self) -> bool:
        return self.event.is_set()

    def wait(self, _: float) -> bool:
        self.event.wait()
        return False


def test_poll_that_ends_as_its_time_does_is_not_late(
    harness: SenderHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("ashpath.server.discovery.client.Event", EventSetAtTimeout)
    agent = ScriptedAgent(harness, [{"revision": 9, "members": [ROW]}])
    client = discovery_client(agent.address, 5, RecordingListener(), Random(1), LOG)
    connection = client.connection
    response = client.poll(1.0)
    assert response is not None
    assert response.status == 200
    assert client.late_polls == []
    assert client.connection is connection
