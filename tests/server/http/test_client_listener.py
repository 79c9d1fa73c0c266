"""Connections of clients: eviction, half close, drain, floods."""

from __future__ import annotations

import os
import resource
import socket as plain
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from time import monotonic

import gevent
import pytest
from gevent import Timeout, socket
from gevent.server import StreamServer
from support.server import serve
from support.stages import Pair, desk
from support.world import LIMITS, World, abandon, request, until

from ashpath.server.http.errors import ConnectionClosedError


def test_clients_that_leave(tmp_path: Path) -> None:
    """Before it is read: never taken. Before the answer is out: gone."""
    take_in, host, ledger = desk(tmp_path)
    near, far = socket.socketpair()
    far.sendall(request("g0", "free", "200", 1))
    far.close()
    take_in.serve(Pair(near))
    assert host.seen == [] and not ledger.live
    near, far = socket.socketpair()
    take, host.submit = host.submit, lambda entry: (take(entry), far.close())
    far.sendall(request("g1", "free", "200", 1))
    take_in.serve(Pair(near))
    assert host.seen == ["take g1", "gone g1"]


def test_clients_that_stall(tmp_path: Path) -> None:
    """Silent, dripping or idle for too long: each connection ends, and nothing of it is kept."""
    take_in, host, _ = desk(tmp_path)
    take_in.limits = replace(LIMITS, request_s=0.05, client_idle_s=0.05)
    for data, statuses in ((b"", []), (b"POST /api", [408]), (request("q", "free", "200", 1), [202])):
        near, far = socket.socketpair()
        far.sendall(data)
        gevent.spawn(take_in.serve, Pair(near))
        end, seen = Pair(far), []
        with Timeout(20), suppress(ConnectionClosedError):
            while True:
                seen.append(end.read_response().status)
                end.finish_response()
        assert seen == statuses
        end.close()
        until(lambda: not (take_in.silent or take_in.idle or take_in.reading))
    assert host.seen == ["take q"]


def test_clients_that_ask_once_and_stay(tmp_path: Path) -> None:
    """Those idle longest are closed, so that others find a connection; whose request has just come is not."""
    take_in, host, _ = desk(tmp_path)
    take_in.limits = replace(LIMITS, idle_client_connections=2, client_idle_s=60.0)
    ends = []
    for number in range(5):
        near, far = socket.socketpair()
        far.sendall(request(f"s{number}", "free", "200", 1))
        gevent.spawn(take_in.serve, Pair(near))
        ends.append(Pair(far))
        until(lambda number=number: len(host.seen) > number)
    until(lambda: [end.closed_by_peer() for end in ends if end.read_response()] == [True] * 3 + [False] * 2)
    ends[3].write(request("s5", "free", "200", 1))
    assert not take_in.shut(take_in.idle)  # the longest idle one, whose request is not read yet
    until(lambda: len(host.seen) == 6)


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
    until(lambda: "event=discovery now=silent" in (world.folder / "log").read_text())
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
    assert "unexpected error" not in log and "Too many open files" not in log and world.process.poll() is None
    for wire in clients:
        assert wire is not None
        wire.close()
