"""Whatever ends something, in the instant in which something is still owed (docs/endings.md).

Each test forces its crossing: a stand-in writes, closes or lists in the very turn in which the sender is
about to give up, close or send, or the two calls are made one behind the other with no switch between.
"""

from __future__ import annotations

import errno
import json
import os
import resource
import signal
import socket as plain
import sys
from collections.abc import Callable
from dataclasses import replace
from itertools import permutations
from pathlib import Path
from random import Random
from time import monotonic
from typing import Any

import gevent
import pytest
import structlog
from gevent import Timeout, socket, subprocess
from gevent.event import Event
from gevent.server import StreamServer
from support import scenario
from support.stages import Outward, desk, parsed
from support.world import LIMITS, SETTINGS, World, abandon, free, request, until

from ashpath.core.interface import AttemptOutcome, EndpointStatus
from ashpath.policy.engine import SECOND, DeliveryPolicy
from ashpath.server import agent_client as calls
from ashpath.server.backoff import Backoff
from ashpath.server.delivery.attempts import AttemptCancelledError
from ashpath.server.discovery.client import DiscoveryClient
from ashpath.server.http.client_listener import ClientListener
from ashpath.server.http.codec import ConnectionClosedError, HttpConnection, HttpMessage, encode_message
from ashpath.server.runtime import create_sender
from ashpath.server.storage import outage_store as outages
from ashpath.server.storage.outage_store import OutageStore
from ashpath.server.storage.write_ahead_log import StoredMessage, WriteAheadLog
from ashpath.server.timers import wall

LOG = structlog.get_logger()
OK = b"HTTP/1.1 200 OK\r\n"


def joined() -> tuple[socket.socket, socket.socket]:
    """Two ends of a TCP connection over loopback: what a reset takes back shows on these alone."""
    with plain.create_server(("127.0.0.1", 0)) as server:
        far = socket.create_connection(server.getsockname())
        accepted = server.accept()[0]
        return socket.socket(fileno=accepted.detach()), far


def to_the_end(far: socket.socket) -> bytes:
    """All bytes up to an end in order; raises ConnectionResetError where it was none."""
    data = b""
    with Timeout(20):
        while piece := far.recv(65536):
            data += piece
    return data


# Connections to endpoints.

GIVEN_UP = {AttemptCancelledError: AttemptOutcome.CANCELLED, Timeout: AttemptOutcome.TIMED_OUT}
# What is in the socket as the call is given up, and whether it was delivered.
LAST_BYTES = {
    b"": False,
    b"HTTP/1.1 20": False,
    OK: True,
    OK + b"Content-Length: 2\r\n\r\nok": True,
    b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n": False,
    b"HTTP/1.1 503 X\r\nContent-Length: 99\r\n\r\n" + OK + OK: False,  # a first line within a body is none
    b"x" * 40_000: False,
}


@pytest.mark.parametrize("how", GIVEN_UP, ids=lambda how: how.__name__)
@pytest.mark.parametrize("data", LAST_BYTES, ids=lambda data: str(data[:40]))
def test_an_answer_in_the_moment_of_giving_up(world: World, how: type[BaseException], data: bytes) -> None:
    """Guards what was delivered against a repeat and a false end: a 200 whose first line was here counts."""
    outward, wires = Outward(world), []
    dial = outward.pool.connect
    outward.pool.connect = lambda where: wires.append(dial(where)) or wires[0]  # type: ignore[func-returns-value]

    def serve(sock: socket.socket, _: object) -> None:
        wire = HttpConnection(sock, LIMITS)
        wire.read_request()
        if b"99" in data:  # its head is read before
            wire.write(data[: -2 * len(OK)])
            until(lambda: wires[0].answered)
            sock.send(data[-2 * len(OK) :])
        else:
            sock.send(data)
        flight.greenlet.kill(how(), block=False)  # thrown before anything is read
        gevent.sleep(0.05)

    world.servers[0].set_handle(serve)
    flight = outward.begin("a", b"")
    until(lambda: outward.endings)
    assert outward.endings == [AttemptOutcome.DELIVERED if LAST_BYTES[data] else GIVEN_UP[how]]
    assert outward.pool.open == 0


def test_an_endpoint_moves_while_its_connection_comes_up(world: World) -> None:
    """Guards other destinations: the address that was dialled may be another endpoint's by the first byte."""
    outward, dial = Outward(world), Outward(world).pool.connect
    there = {**world.members[1], "host_port": "127.0.0.1:1"}

    def slowly(where: Any) -> HttpConnection:
        wire = dial(where)
        outward.route.apply_members([there, {**world.members[1], "id": "new", "cell": 9}], whole=False)
        return wire

    outward.pool.connect = slowly  # type: ignore[method-assign]
    outward.begin("a", b"200")
    until(lambda: outward.endings)
    assert outward.endings == [AttemptOutcome.NOT_SENT] and not world.count("a")


# What a dial may meet, and how the call ends: what is the sender's own says nothing of the endpoint.
DIALS = {
    OSError(errno.EMFILE, "out of descriptors"): AttemptOutcome.NOT_SENT,
    OSError(errno.ENFILE, "out of descriptors"): AttemptOutcome.NOT_SENT,
    OSError(errno.ECONNREFUSED, "refused"): AttemptOutcome.CONNECT_FAILED,
    OverflowError("port must be 0-65535"): AttemptOutcome.CONNECT_FAILED,
    ValueError("embedded null character"): AttemptOutcome.CONNECT_FAILED,
}


@pytest.mark.parametrize("fault", DIALS, ids=repr)
def test_dials_that_fail(world: World, fault: Exception) -> None:
    """Guards slots and endpoints: whatever a dial raises, the call has one end, and the right one."""
    outward = Outward(world)
    outward.route.log = LOG

    def connect(_: object) -> HttpConnection:
        raise fault

    outward.pool.connect = connect  # type: ignore[method-assign]
    outward.begin("a", b"200")
    until(lambda: outward.endings)
    assert outward.endings == [DIALS[fault]]


def test_a_call_that_has_less_time_than_a_dial(world: World) -> None:
    """Guards endpoints: that its connection was not up by a message's deadline says nothing of one that is
    well; taken for a refused dial it was an outage."""
    outward = Outward(world)
    outward.pool.connect = lambda _: gevent.sleep(9)  # type: ignore[method-assign,assign,return-value]
    outward.begin("a", b"200", time=30_000)
    until(lambda: outward.endings)
    assert outward.endings == [AttemptOutcome.NOT_SENT]


# Connections of clients.


def serve(take_in: ClientListener, near: socket.socket) -> gevent.Greenlet:
    return gevent.spawn(take_in.serve, HttpConnection(near, LIMITS))


def test_more_bytes_as_the_last_answer_goes_out(tmp_path: Path) -> None:
    """Guards the last answer on a connection: a close over unread bytes would reset it and take it back."""
    take_in, host, _ = desk(tmp_path)
    take_in.closing = True  # as after SIGTERM
    near, far = joined()
    take, host.submit = host.submit, lambda entry: (take(entry), far.sendall(request("b", "free", "200", 1)))
    far.sendall(request("a", "free", "200", 1))
    serve(take_in, near)
    data = to_the_end(far)
    assert data.startswith(b"HTTP/1.1 202 ") and data.count(b"HTTP/1.1") == 1
    assert host.seen == ["take a"]
    far.close()
    until(lambda: not take_in.half_closed)


@pytest.mark.parametrize("size", [3, 60_000], ids=["short", "long"])
@pytest.mark.parametrize("first", [True, False], ids=["first", "resting"])
def test_a_request_as_its_connection_is_sent_away(tmp_path: Path, first: bool, size: int) -> None:
    """Guards a request that comes in the instant of the shutdown: it is not sent on, as nobody could be
    answered; its client sees an end in order and asks elsewhere."""
    take_in, host, _ = desk(tmp_path)
    near, far = joined()
    served = serve(take_in, near)
    if not first:
        far.sendall(request("a", "free", "200", 1))
        until(lambda: take_in.idle)
        assert far.recv(999).startswith(b"HTTP/1.1 202 ")
    else:
        until(lambda: take_in.silent)
    take_in.close_idle()
    far.sendall(request("b", "free", "2" * size, 1))  # no switch between the two
    assert to_the_end(far) == b"" and host.seen == ["take a"] * (not first)
    gevent.sleep(0.05)
    assert not far.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)  # no reset behind the end
    far.close()
    served.join(20)
    assert served.dead and not (take_in.half_closed or take_in.idle or take_in.silent)


def test_a_client_that_rests_until_it_is_ended(tmp_path: Path) -> None:
    """One that was sent away and stays makes room at once, before anybody who still asks."""
    take_in, _, _ = desk(tmp_path)
    take_in.limits = replace(LIMITS, silent_eviction_s=0.0, stalled_request_s=0.0)
    (near, far), (other, asks) = joined(), joined()
    staying = serve(take_in, near)
    until(lambda: take_in.silent)
    take_in.close_idle()
    asking = serve(take_in, other)
    asks.sendall(b"POST /api HTTP/1.1\r\n")
    until(lambda: take_in.reading)
    assert take_in.half_closed and take_in.evict_one()
    until(lambda: staying.dead)
    assert not asking.dead and take_in.reading and not take_in.half_closed
    for end in (far, asks):
        end.close()
    until(lambda: asking.dead)


def test_a_stalled_request_whose_rest_has_just_come(tmp_path: Path) -> None:
    """Guards a request whose last byte is in: its connection makes no room, the next stalled one does."""
    take_in, host, _ = desk(tmp_path)
    take_in.limits = replace(LIMITS, stalled_request_s=0.0)
    (near, far), (other, stalled) = joined(), joined()
    data = request("a", "free", "200", 1)
    for end in (far, stalled):
        end.sendall(data[:40])
    served, gone = serve(take_in, near), serve(take_in, other)
    until(lambda: len(take_in.reading) == 2)
    far.sendall(data[40:])
    assert take_in.shut(take_in.reading)
    assert far.recv(999).startswith(b"HTTP/1.1 202 ") and host.seen == ["take a"]
    until(lambda: gone.dead)
    far.close()
    until(lambda: served.dead)


def test_a_request_cut_within(tmp_path: Path) -> None:
    """A client that ends its side within a request can read what was wrong; nothing is taken on."""
    take_in, host, _ = desk(tmp_path)
    data = request("a", "free", "200 " + "x" * 300, 1)
    for cut in (1, 30, data.index(b"\r\n\r\n"), len(data) - 1):
        near, far = joined()
        far.sendall(data[:cut])
        far.shutdown(socket.SHUT_WR)
        serve(take_in, near)
        assert to_the_end(far).startswith(b"HTTP/1.1 400 ")
    assert not host.seen


def test_a_client_that_floods_and_leaves(tmp_path: Path) -> None:
    """Its place is free again, and nothing of it was taken on."""
    take_in, host, _ = desk(tmp_path)
    near, far = joined()
    take_in.clients = 1
    served = serve(take_in, near)
    far.sendall(request("a", "free", "200", 1) * 400)
    abandon(far)
    served.join(20)
    assert served.dead and host.seen == [] and take_in.clients == 0


def test_bytes_that_wait_as_the_process_ends(tmp_path: Path) -> None:
    """Guards clients against the exit, which closes what is open: half a request unread would reset it."""
    take_in, host, _ = desk(tmp_path)
    near, far = joined()
    served = serve(take_in, near)
    until(lambda: take_in.silent)
    far.sendall(b"POST /api HT")
    wire = next(iter(take_in.silent))
    take_in.close_all()
    wire.sock.close()  # as the exit does, with no greenlet run in between
    assert to_the_end(far) == b"" and not host.seen
    served.join(20)


def test_the_same_message_again_with_its_call_out(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """Its client left before the 202 was out, and submits it again: no second call beside the first, over a
    kill neither, as the ledger knows of the call until it has its outcome."""
    for name, value in world.environment().items():
        monkeypatch.setenv(name, value)
    sender, _ = create_sender()
    sender.policy_runner.restore(list(sender.registry.records.values()))
    data = request("a", "once", "slow 200", 1)
    entry = sender.admission.parse_request(parsed(data))
    assert sender.admission.admit(entry) == (202, 0)
    until(lambda: world.count("a") == 1)
    sender.policy_runner.client_disconnected(entry)
    assert sender.admission.admit(sender.admission.parse_request(parsed(data))) == (409, 0)
    assert (
        sender.write_ahead_log.live[entry.message_id].in_flight_since is not None
        and not sender.policy_runner.messages
    )
    until(lambda: not sender.policy_runner.attempts)
    assert not sender.write_ahead_log.live and not sender.policy_runner.abandoned
    assert sender.admission.admit(sender.admission.parse_request(parsed(data))) == (202, 0)
    until(lambda: world.count("a") == 2 and not sender.policy_runner.attempts)


def test_the_next_of_a_key_waits_for_the_notice_of_the_one_before(world: World) -> None:
    """Guards the order of a key: a message given up is over once the platform has heard, and no sooner, also
    where a restart finds its notice owed."""
    seen: list[tuple[str, bool]] = []
    answer = world.answer

    def note(wire: HttpConnection, call: HttpMessage) -> bool:
        seen.append((call.headers[b"x-trace-id"].decode(), bool(world.told("one"))))
        return answer(wire, call)

    world.answer = note  # type: ignore[method-assign]
    world.deaf = 10**6
    world.start()
    assert world.hand_in("one", "tag", "hang", 1, left=700, key="k") == 202
    assert world.hand_in("two", "tag", "200", 1, key="k") == 202
    assert world.hand_in("other", "tag", "200", 2, key="j") == 202
    until(lambda: world.deaf < 10**6 - 2)  # its notice is owed, and was turned away
    until(lambda: world.count("other"))
    world.kill()
    world.start()
    until(lambda: world.deaf < 10**6 - 6)
    assert not world.count("two")
    world.deaf = 0
    until(lambda: world.count("two"))
    assert ("two", True) in seen and ("two", False) not in seen


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
    dial = calls.dial

    def dialled(where: Any, limits: Any) -> HttpConnection:
        wire = dial(where, limits)
        directory.move(new.server.address)
        return wire

    monkeypatch.setattr(calls, "dial", dialled)
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


# The process.


def test_a_hangup_before_the_sender_runs(world: World) -> None:
    """Guards a start: SIGHUP would end a process that is put together, and the file may be new behind it."""
    path = world.folder / "config.json"
    text = path.read_text()
    path.unlink()
    os.mkfifo(path)
    with (world.folder / "log").open("ab") as log:
        world.process = subprocess.Popen(
            [sys.executable, "-m", "ashpath"], env=world.environment(), stdout=log, stderr=log
        )
    file = os.open(path, os.O_WRONLY)  # opened once it reads: it is being put together
    world.process.send_signal(signal.SIGHUP)
    os.write(file, text.encode())
    os.close(file)
    until(lambda: "event=ready" in (world.folder / "log").read_text())  # or both texts may be read as one
    again = gevent.get_hub().threadpool.spawn(lambda: path.write_text(text))
    until(lambda: "configuration read" in (world.folder / "log").read_text())
    again.get()
    assert world.process.poll() is None


def test_a_second_sigterm(world: World) -> None:
    """It puts nothing off: whoever is within a request has the answer that the first one owes."""
    world.start()
    assert world.process is not None
    hold = request("out", "once", "hang", 1)
    assert world.ask(hold) == 202
    until(lambda: world.count("out"))
    began = monotonic()
    world.process.send_signal(signal.SIGTERM)
    gevent.sleep(1.2)
    world.process.send_signal(signal.SIGTERM)
    wire = world.connect()
    assert wire is not None
    wire.write(b"POST /api HTTP/1.1\r\n")
    assert wire.read_answer().status == 503 and monotonic() - began < 3.45
    until(lambda: world.process is None or world.process.poll() is not None)
    assert world.process.returncode == 0 and monotonic() - began < 3.7


class Lines:
    """In place of the log: the events."""

    def __init__(self) -> None:
        self.seen: list[str] = []

    def error(self, event: str, **_: object) -> None:
        self.seen.append(event)


def test_outages_outlive_the_process(tmp_path: Path) -> None:
    """Kept at each change of mode: while it is out, then until it is warm; the rate it had goes with it."""
    log = Lines()
    one = OutageStore(tmp_path, log)
    one.mode_changed(7, "", True, 1.5, 60_000_000)
    one.mode_changed(7, "", True, 9.0, 60_000_000)  # its breaker opened again: no change
    one.mode_changed(8, "e8", True, 0.5, 60_000_000)
    one.mode_changed(9, "", False, 0.5, 60_000_000)  # never out
    assert OutageStore(tmp_path, log).active() == [(7, "", 1.5), (8, "e8", 0.5)]
    one.mode_changed(7, "", False, 1.5, 60_000_000)
    one.mode_changed(8, "e8", False, 0.5, -1)  # warm at once
    assert OutageStore(tmp_path, log).active() == [(7, "", 1.5)] and not log.seen


def test_outages_that_cannot_be_kept(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A torn or foreign file is none, and said; a full disk is said once; no file grows with destinations."""
    log = Lines()
    for text in (b"", b'{"version": 1, "out": [[7]]}', b'{"version": 2, "out": []}', b"[]", b'{"version":1}'):
        (tmp_path / "outages").write_bytes(text)
        assert OutageStore(tmp_path, log).active() == []
    assert log.seen == ["outages not read, none are known"] * 5
    one = OutageStore(tmp_path, log)
    for number in range(500):
        one.mode_changed(number, "e" * outages.LONGEST, True, 1.0, 1)
    one.mode_changed(999, "e" * 4096, True, 1.0, 1)
    assert 2 * (tmp_path / "outages").stat().st_size < outages.SPACE
    assert len(one.active()) == outages.MOST and one.active()[-1][0] == 499
    log.seen.clear()

    def full(*_: object) -> None:
        raise OSError(errno.ENOSPC, "no space")

    monkeypatch.setattr(outages.os, "replace", full)
    for number in (600, 601):
        one.mode_changed(number, "", True, 1.0, 1)
    assert log.seen == ["outages not written"] and [path.name for path in tmp_path.iterdir()] == ["outages"]


def test_a_destination_that_was_out_as_the_process_was_killed(world: World) -> None:
    """Guards a return against all who restarted within the outage: what they held goes by the guard."""
    where = free()  # nobody listens there yet
    world.members[3]["host_port"] = f"127.0.0.1:{where[1]}"
    rule = {"cold-from": 0.9, "ramp-time": 10000.0, "fall-multiple": 2.0, "fall": 3000.0}
    settings = world.config["settings"]
    world.config["settings"] = settings | {"contract": settings["contract"] | rule}
    world.configure()
    world.start()
    assert world.hand_in("well", "free", "200", 2) == 202
    until(lambda: world.count("well"))
    gevent.sleep(1.6)  # an outage is one where nothing has succeeded for so long
    for number in range(5):
        assert world.hand_in(f"h{number}", "free", "200", 3) == 202
    until(lambda: "destination 3 ailing" in (world.folder / "log").read_text())
    world.kill()
    back = StreamServer(where, world.endpoint)
    back.start()
    world.start()
    until(lambda: any(world.count(f"h{number}") for number in range(5)))
    gevent.sleep(0.2)
    assert sum(world.count(f"h{number}") for number in range(5)) == 1  # of five that were held
    back.stop()


def test_idle_clients_fill_the_descriptors_while_discovery_is_down(world: World) -> None:
    """Guards discovery, notices and the control address: each is dialled anew within what clients leave."""
    held: list[socket.socket] = []
    world.servers[1].set_handle(lambda sock, where: held.append(sock) or world.platform(sock, where))
    world.start()
    assert world.process is not None
    resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, (256, 256))
    platform, port = world.servers[1], world.servers[1].server_port
    platform.stop(timeout=0)
    for sock in held:
        abandon(sock)
    clients = [world.connect() for _ in range(LIMITS.client_connections + 40)]
    for wire in clients[::2]:
        assert wire is not None
        wire.sock.sendall(b"GET /health/ready HTTP/1.1\r\n\r\n")
    assert world.hand_in("owed", "once", "hang", 1, left=300) == 202  # its notice has nowhere to go yet
    assert world.call(b"PING\n") == b"OK\n"
    until(lambda: "event=directory now=silent" in (world.folder / "log").read_text())
    descriptors = len(os.listdir(f"/proc/{world.process.pid}/fd"))
    assert descriptors <= 256
    before = world.watches.get(port, 0)
    world.servers[1] = StreamServer(("127.0.0.1", port), world.platform)
    world.servers[1].start()
    began = monotonic()
    until(lambda: world.watches.get(port, 0) > before and world.told("owed"))
    assert monotonic() - began < 6
    assert world.call(b"PING\n") == b"OK\n" and world.hand_in("new", "free", "200", 2) == 202
    until(lambda: world.count("new"))
    log = (world.folder / "log").read_text()
    assert "fault" not in log and "Too many open files" not in log and world.process.poll() is None
    for wire in clients:
        assert wire is not None
        wire.close()


def test_an_endpoint_drains_within_the_shutdown(world: World) -> None:
    """What is held as SIGTERM comes goes out still, and not to an endpoint that drains meanwhile; a notice
    that the platform does not take is the next life's to tell."""
    drained: list[object] = []
    told = Event()

    def hang(sock: socket.socket, _: object) -> None:
        drained.append(HttpConnection(sock, LIMITS).read_request())
        told.wait()
        abandon(sock)

    old = StreamServer(("127.0.0.1", 0), hang)
    old.start()
    world.members[1]["host_port"] = f"127.0.0.1:{old.server_port}"
    world.members[1]["id"] = "old"
    world.config["settings"] = {**SETTINGS, "contract": {"drain-grace": 0.0, "order-settle": 200.0}}
    world.configure()
    world.start()
    assert world.process is not None
    for trace in ("first", "second"):
        assert world.hand_in(trace, "tag", "200", 1, key="k") == 202
    until(lambda: drained)  # the first hangs there; the second waits behind it
    world.deaf = 10**6
    assert world.hand_in("given-up", "once", "hang", 2, left=300) == 202
    world.process.send_signal(signal.SIGTERM)
    successor = {**world.members[1], "id": "e1", "host_port": world.members[2]["host_port"]}
    rows = [*world.members, {**world.members[1], "phase": "draining"}, successor]
    world.config["known"] = {"revision": 9, "complete": True, "members": rows}
    before = sum(world.watches.values())
    until(lambda: sum(world.watches.values()) > before + 1)  # so the drain is known
    told.set()  # its call ends, and may be made again
    until(lambda: world.process is None or world.process.poll() is not None)
    assert len(drained) == 1
    world.deaf = 0
    world.configure()
    world.start()
    until(lambda: world.count("second") == 1 and world.told("given-up"))
    assert len(drained) == 1
    old.stop(timeout=0)


WAIT, GRACE = 2 * SECOND, SECOND // 2
# News that fall into one turn, by name; `a` is out at x1 and its wait, deadline or grace ends just then.
NEWS: dict[str, Callable[[scenario.Scene], tuple[Any, ...]]] = {
    "outcome": lambda one: ("attempt_finished", one.ids["a"], AttemptOutcome.TIMED_OUT, 0, False, None),
    "refused": lambda one: ("attempt_finished", one.ids["a"], AttemptOutcome.OVERLOADED, WAIT, False, None),
    "wake": lambda one: ("timer_fired", f"e{one.ids['b']}"),
    "look": lambda one: ("timer_fired", "d7"),
    "drain": lambda one: (
        "update_endpoints",
        [replace(one.rows["x1"], status=EndpointStatus.DRAINING)],
        False,
    ),
    "gone": lambda one: ("update_endpoints", [one.rows["x2"]], True),
    "back": lambda one: ("update_endpoints", list(one.rows.values()), True),
    "held": lambda one: ("set_detached", "x1", True),
    "wait": lambda one: ("retry_after_received", 7, "x1", one.now + WAIT),
    "withdrawn": lambda one: ("client_disconnected", one.ids["b"]),
}


@pytest.mark.parametrize("kind", ["plain", "apart"])
@pytest.mark.parametrize("track", ["repeatable", "tagged window=1s ordered", "once-only"])
def test_news_of_one_turn_in_each_order(kind: str, track: str) -> None:
    """Whatever order a turn's news have, the rules hold to the end: the checker of scenarios looks on."""
    for names in permutations(NEWS, 3):
        if {"outcome", "refused"} <= set(names):
            continue  # a call has one outcome
        one = scenario.Scene(DeliveryPolicy)
        for line in (
            f"track s {track} promise=1s cutoff=4s",
            f"kind {kind}",
            "at x1 x2 : 7",
            "0s take a b c d s 7 key=1",
            "+1s pass",
        ):
            one.step(line.split())
        a = one.held[one.ids["a"]]
        if a.out is None:
            continue
        one.sender.begin_batch(one.now)
        for at, name in enumerate(names):
            if name == "withdrawn" and one.held[one.ids["b"]].over:
                continue  # it has its end by now: its client cannot leave any more
            known(one, a, name)
            if name == "back" and "held" not in names[:at]:
                one.dropped_at.pop("x1", None)
            what, *told = NEWS[name](one)
            getattr(one.sender, what)(*told)
        one.sender.end_batch()
        if {"refused", "wait"} & set(names):
            one.waits[one.route("x1")] = one.now + WAIT
        one.run_to(one.now + 6 * SECOND)


def known(one: scenario.Scene, a: scenario.Held, name: str) -> None:
    """What the checker has to know of a piece of news."""
    if name in ("outcome", "refused"):
        if name == "outcome" and a.risk_from is None:
            a.risk_from, a.risk_at = a.sent_at, str(a.out)
            one.rests[1] = (one.now + one.terms.settle_time, one.ids["a"])
        a.out = None
    elif name in ("drain", "gone", "held"):
        one.dropped_at["x1"] = one.now
    elif name == "withdrawn":
        one.held[one.ids["b"]].over = True


def test_a_disk_that_is_full_for_a_moment(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards what was taken on: no call is made unrecorded, and no try is spent within the same turn."""
    for name, value in world.environment().items():
        monkeypatch.setenv(name, value)
    sender, _ = create_sender()
    sender.policy_runner.restore(list(sender.registry.records.values()))
    record, refused = sender.write_ahead_log.record_attempt, []

    def shot(entry: StoredMessage, at: int, endpoint: str) -> None:
        if len(refused) < 3:
            refused.append(monotonic())
            raise OSError(errno.ENOSPC, "no space")
        record(entry, at, endpoint)

    monkeypatch.setattr(sender.write_ahead_log, "record_attempt", shot)
    entry = sender.admission.parse_request(parsed(request("a", "once", "200", 1)))
    gevent.get_hub().loop.update_now()  # the start took a while, and its timers count from before
    assert sender.admission.admit(entry) == (202, 0) and len(refused) == 1
    until(lambda: world.count("a") == 1 and not sender.write_ahead_log.live)
    assert len(refused) == 3 and refused[2] - refused[0] > 1.5 * LIMITS.retry_s
