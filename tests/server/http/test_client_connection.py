"""A client connection: late, truncated and excess requests, and closes that lose no response."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path

import gevent
import pytest
from gevent import Timeout, socket
from support.sender_harness import request, reset_connection, wait_until
from support.sender_parts import SocketPairConnection, client_listener
from support.server import receive_all, serve, tcp_pair

from ashpath.server.http.connection_table import ConnectionState
from ashpath.server.http.errors import ConnectionClosedError


def test_departed_client_is_not_submitted_or_is_reported_disconnected(tmp_path: Path) -> None:
    """A client that leaves before its request is read submits nothing; one that leaves before its response is
    written is reported as disconnected."""
    listener, receiver, write_ahead_log = client_listener(tmp_path)
    near, far = socket.socketpair()
    far.sendall(request("g0", "free", "200", 1))
    far.close()
    listener.serve(SocketPairConnection(near))
    assert receiver.events == []
    assert not write_ahead_log.messages.live
    near, far = socket.socketpair()
    receiver.on_submit = far.close
    far.sendall(request("g1", "free", "200", 1))
    listener.serve(SocketPairConnection(near))
    assert receiver.events == ["submitted g1", "disconnected g1"]


def test_stalled_connections_end_and_leave_the_table(tmp_path: Path) -> None:
    """Connections that are silent, stalled within a request or idle for too long end, and keep no state."""
    listener, receiver, _ = client_listener(tmp_path, request_s=0.05, client_idle_s=0.05)
    for data, statuses in ((b"", []), (b"POST /api", [408]), (request("q", "free", "200", 1), [202])):
        near, far = socket.socketpair()
        far.sendall(data)
        gevent.spawn(listener.serve, SocketPairConnection(near))
        client = SocketPairConnection(far)
        seen: list[int] = []
        with Timeout(20), suppress(ConnectionClosedError):
            while True:
                seen.append(client.read_response().status)
                client.finish_response()
        assert seen == statuses
        client.close()
        wait_until(
            lambda: (
                not listener.table.count(
                    ConnectionState.AWAITING_FIRST_REQUEST, ConnectionState.IDLE, ConnectionState.READING
                )
            )
        )
    assert receiver.events == ["submitted q"]


def test_bytes_after_last_request_do_not_reset_its_response(tmp_path: Path) -> None:
    """Guards against a lost last response: a close with unread bytes resets the connection."""
    listener, receiver, _ = client_listener(tmp_path)
    listener.begin_shutdown(respond_by=float("inf"))
    near, far = tcp_pair()
    receiver.on_submit = lambda: far.sendall(request("b", "free", "200", 1))
    far.sendall(request("a", "free", "200", 1))
    serve(listener, near)
    data = receive_all(far)
    assert data.startswith(b"HTTP/1.1 202 ")
    assert data.count(b"HTTP/1.1") == 1
    assert receiver.events == ["submitted a"]
    far.close()
    wait_until(lambda: not listener.table.count(ConnectionState.HALF_CLOSED))


@pytest.mark.parametrize("size", [3, 60_000], ids=["short", "long"])
@pytest.mark.parametrize("first", [True, False], ids=["first", "idle"])
def test_request_sent_during_drain_is_not_submitted_or_reset(tmp_path: Path, first: bool, size: int) -> None:
    """Guards against a message accepted without a response, and against a reset: a request that arrives just
    after the half-close of a shutdown is not submitted, and its client reads an orderly end and retries at
    another sender."""
    listener, receiver, _ = client_listener(tmp_path)
    near, far = tcp_pair()
    served = serve(listener, near)
    if not first:
        far.sendall(request("a", "free", "200", 1))
        wait_until(lambda: listener.table.count(ConnectionState.IDLE))
        assert far.recv(999).startswith(b"HTTP/1.1 202 ")
    else:
        wait_until(lambda: listener.table.count(ConnectionState.AWAITING_FIRST_REQUEST))
    listener.close_idle()
    far.sendall(request("b", "free", "2" * size, 1))  # no greenlet runs between the two
    assert receive_all(far) == b""
    assert receiver.events == ["submitted a"] * (not first)
    gevent.sleep(0.05)
    assert not far.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)  # no reset after the end
    far.close()
    served.join(20)
    assert served.dead
    assert not listener.table.count(*ConnectionState)


def test_truncated_request_is_answered_400_and_not_submitted(tmp_path: Path) -> None:
    """A client that half-closes within a request reads a 400, and nothing is submitted."""
    listener, receiver, _ = client_listener(tmp_path)
    data = request("a", "free", "200 " + "x" * 300, 1)
    for cut in (1, 30, data.index(b"\r\n\r\n"), len(data) - 1):
        near, far = tcp_pair()
        far.sendall(data[:cut])
        far.shutdown(socket.SHUT_WR)
        serve(listener, near)
        assert receive_all(far).startswith(b"HTTP/1.1 400 ")
    assert not receiver.events


def test_flooding_client_that_resets_frees_its_connection_slot(tmp_path: Path) -> None:
    """Guards against a leak of the connection count: a client that pipelines requests and resets frees its
    slot, and nothing is submitted."""
    listener, receiver, _ = client_listener(tmp_path)
    near, far = tcp_pair()
    listener.connection_count = 1
    served = serve(listener, near)
    far.sendall(request("a", "free", "200", 1) * 400)
    reset_connection(far)
    served.join(20)
    assert served.dead
    assert receiver.events == []
    assert listener.connection_count == 0
