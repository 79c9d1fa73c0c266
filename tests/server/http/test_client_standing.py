"""Clients with an accepted message beside clients without one: room for connections, and turns."""

from __future__ import annotations

from pathlib import Path

import pytest
from gevent import socket
from support.limits import connection_pool
from support.sender_harness import LIMITS, request, wait_until
from support.sender_parts import ListenerSetup, client_listener
from support.server import receive_all, serve, tcp_pair

from ashpath.policy.memory_budget import MemoryShares
from ashpath.server.delivery.endpoint_connection import EndpointConnection
from ashpath.server.http.admission import RefusalCause
from ashpath.server.http.connection_table import ConnectionState
from ashpath.server.http.errors import MemoryBudgetError

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


def test_idle_client_is_evicted_once_new_connection_has_waited(tmp_path: Path) -> None:
    """Guards against requests in progress that keep a new client out for as long as they last."""
    setup = client_listener(tmp_path, stalled_request_s=60.0, idle_eviction_s=60.0, eviction_patience_s=0.2)
    client = answered(setup, request("a", "free", "200", 1), b"202")
    near, reading = tcp_pair()
    serve(setup.listener, near)
    reading.sendall(b"POST /api HTTP/1.1\r\n")
    wait_until(lambda: setup.listener.table.count(ConnectionState.READING))
    assert not setup.listener.table.evict_one(waited_s=0.1)
    assert setup.listener.table.evict_one(waited_s=0.2)
    assert receive_all(client) == b""
    reading.close()


@pytest.mark.parametrize(("share", "held"), [(0, 0), (1 << 20, 1 << 20)])
def test_message_without_memory_is_refused(tmp_path: Path, share: int, held: int) -> None:
    """Guards against accepted messages, and delivered ones that are not certain yet, beyond their share."""
    setup = client_listener(tmp_path)
    admission = setup.listener.handler.admission
    admission.memory_shares = MemoryShares(1, 0, 0, message_bytes=share)
    admission.registry.pool.attribution.held_bytes = held
    answered(setup, request("a", "free", "200", 1), b"503")
    assert admission.refusals == {RefusalCause.MEMORY: 1}
    assert not setup.receiver.events


def test_response_buffer_of_endpoint_is_reserved() -> None:
    """Guards against endpoints whose large responses no account counts."""
    near, far = tcp_pair()
    pool = connection_pool()
    pool.memory.shares = MemoryShares(1, 0, response_bytes=20_000, message_bytes=0)
    connection = EndpointConnection(near, LIMITS.http, 1, pool.notices, pool.memory)
    connection.buffer.free_space(10_000).release()
    assert pool.memory.reserved_bytes > 0
    with pytest.raises(MemoryBudgetError):
        connection.buffer.free_space(40_000)
    connection.close()
    assert pool.memory.reserved_bytes == 0
    far.close()
