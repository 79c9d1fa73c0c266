"""The choice of the client connections that are closed, at a limit or at the end of the process."""

from __future__ import annotations

from pathlib import Path

import gevent
from gevent import socket
from support.sender_harness import request, wait_until
from support.sender_parts import SocketPairConnection, client_listener
from support.server import receive_all, serve, tcp_pair

from ashpath.server.http.connection_table import ConnectionState


def test_longest_idle_clients_are_closed_beyond_idle_limit(tmp_path: Path) -> None:
    """Guards against idle clients that use up all connections: the longest idle ones are closed, except one
    whose next request waits to be read."""
    listener, receiver, _ = client_listener(tmp_path, idle_client_connections=2, client_idle_s=60.0)
    clients = []
    for number in range(5):
        near, far = socket.socketpair()
        far.sendall(request(f"s{number}", "free", "200", 1))
        gevent.spawn(listener.serve, SocketPairConnection(near))
        clients.append(SocketPairConnection(far))
        wait_until(lambda number=number: len(receiver.events) > number)  # type: ignore[misc]  # bound in the loop
    closed = [True] * 3 + [False] * 2
    wait_until(lambda: [client.closed_by_peer() for client in clients if client.read_response()] == closed)
    clients[3].write(request("s5", "free", "200", 1))
    assert not listener.table.evict(ConnectionState.IDLE)  # the longest idle one has an unread request
    wait_until(lambda: len(receiver.events) == 6)


def test_half_closed_client_is_evicted_before_active_ones(tmp_path: Path) -> None:
    """A drained client that does not close is evicted before a client within a request."""
    listener, _, _ = client_listener(tmp_path, silent_eviction_s=0.0, stalled_request_s=0.0)
    (near, far), (other, asks) = tcp_pair(), tcp_pair()
    staying = serve(listener, near)
    wait_until(lambda: listener.table.count(ConnectionState.AWAITING_FIRST_REQUEST))
    listener.close_idle()
    asking = serve(listener, other)
    asks.sendall(b"POST /api HTTP/1.1\r\n")
    wait_until(lambda: listener.table.count(ConnectionState.READING))
    assert listener.table.count(ConnectionState.HALF_CLOSED)
    assert listener.table.evict_one()
    wait_until(lambda: staying.dead)
    assert not asking.dead
    assert listener.table.count(ConnectionState.READING)
    assert not listener.table.count(ConnectionState.HALF_CLOSED)
    for end in (far, asks):
        end.close()
    wait_until(lambda: asking.dead)


def test_request_with_unread_bytes_is_not_evicted_as_stalled(tmp_path: Path) -> None:
    """Guards against the loss of a request whose last bytes wait to be read: the next stalled connection is
    given up in its place, and its client is told to come back."""
    listener, receiver, _ = client_listener(tmp_path, stalled_request_s=0.0)
    (near, far), (other, stalled) = tcp_pair(), tcp_pair()
    data = request("a", "free", "200", 1)
    for end in (far, stalled):
        end.sendall(data[:40])
    served, evicted = serve(listener, near), serve(listener, other)
    wait_until(lambda: listener.table.count(ConnectionState.READING) == 2)
    far.sendall(data[40:])
    assert listener.table.give_up_stalled_requests() == 1
    assert far.recv(999).startswith(b"HTTP/1.1 202 ")
    assert receiver.events == ["submitted a"]
    answer = receive_all(stalled)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert answer.count(b"HTTP/1.1") == 1
    assert b"retry-after: 1.000" in answer
    stalled.close()
    wait_until(lambda: evicted.dead)
    far.close()
    wait_until(lambda: served.dead)


def test_unread_bytes_at_exit_do_not_reset_client(tmp_path: Path) -> None:
    """Guards against resets at exit, when the kernel closes connections with half a request unread."""
    listener, receiver, _ = client_listener(tmp_path)
    near, far = tcp_pair()
    served = serve(listener, near)
    wait_until(lambda: listener.table.count(ConnectionState.AWAITING_FIRST_REQUEST))
    far.sendall(b"POST /api HT")
    connection = listener.table.connections(ConnectionState.AWAITING_FIRST_REQUEST)[0]
    listener.close_all()
    connection.sock.close()  # as at the exit, without a greenlet switch before
    assert receive_all(far) == b""
    assert not receiver.events
    served.join(20)
