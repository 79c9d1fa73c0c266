"""Clients with an accepted message beside clients without one: room for connections, and turns."""

from __future__ import annotations

from pathlib import Path

import pytest
from gevent import socket
from support.sender_harness import request, wait_until
from support.sender_parts import ListenerSetup, client_listener
from support.server import receive_all, serve, tcp_pair

from ashpath.server.http.connection_table import ConnectionState

UNKNOWN_PATH = b"GET /nowhere HTTP/1.1\r\n\r\n"


def answered(setup: ListenerSetup, data: bytes, status: bytes) -> socket.socket:
    """Returns a client whose request has been answered, and whose connection is idle."""
    idle = setup.listener.table.count(ConnectionState.IDLE)
    near, far = tcp_pair()
    serve(setup.listener, near)
    far.sendall(data)
    assert far.recv(999).startswith(b"HTTP/1.1 " + status)
    wait_until(lambda: setup.listener.table.count(ConnectionState.IDLE) > idle)
    return far


def test_stalled_stranger_makes_room_before_idle_client_with_accepted_message(tmp_path: Path) -> None:
    """Guards against a crowd of half requests that costs ordinary clients their connections."""
    setup = client_listener(tmp_path, stalled_request_s=0.0, idle_eviction_s=60.0)
    client = answered(setup, request("a", "free", "200", 1), b"202")
    near, stalled = tcp_pair()
    serve(setup.listener, near)
    stalled.sendall(b"POST /api HTTP/1.1\r\n")
    wait_until(lambda: setup.listener.table.count(ConnectionState.READING))
    assert not setup.listener.table.evict_one()
    assert receive_all(stalled).startswith(b"HTTP/1.1 503 ")
    client.sendall(request("b", "free", "200", 1))
    assert client.recv(999).startswith(b"HTTP/1.1 202 ")


def test_idle_stranger_makes_room_before_longer_idle_client_with_accepted_message(tmp_path: Path) -> None:
    setup = client_listener(tmp_path, idle_eviction_s=60.0)
    client = answered(setup, request("a", "free", "200", 1), b"202")
    stranger = answered(setup, UNKNOWN_PATH, b"404")
    assert setup.listener.table.evict_one()
    assert receive_all(stranger) == b""
    client.sendall(request("b", "free", "200", 1))
    assert client.recv(999).startswith(b"HTTP/1.1 202 ")


@pytest.mark.parametrize(("data", "ends"), [(UNKNOWN_PATH, True), (request("a", "free", "200", 1), False)])
def test_response_ends_stranger_connection_while_another_one_waits(
    tmp_path: Path, data: bytes, *, ends: bool
) -> None:
    """Guards against strangers whose connections always have a next request, and so keep their places."""
    setup = client_listener(tmp_path)
    setup.listener.table.needs_room = True
    near, far = tcp_pair()
    serve(setup.listener, near)
    far.sendall(data)
    assert (b"connection: close" in far.recv(999)) is ends


def test_client_waits_for_shared_turns_until_message_is_accepted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a crowd whose readable connections all come before an ordinary client's request."""
    setup = client_listener(tmp_path)
    waits: list[None] = []
    monkeypatch.setattr(setup.listener.turns, "wait", lambda: waits.append(None))
    client = answered(setup, request("a", "free", "200", 1), b"202")
    assert len(waits) == 1
    client.sendall(request("b", "free", "200", 1))
    assert client.recv(999).startswith(b"HTTP/1.1 202 ")
    assert len(waits) == 1
