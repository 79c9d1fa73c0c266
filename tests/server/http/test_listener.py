"""The listener under load: the status of each kind of request, and clients that do not close."""

from __future__ import annotations

import errno
import os
import resource
from contextlib import suppress
from time import monotonic
from unittest.mock import Mock

import pytest
from gevent import socket
from gevent.server import StreamServer
from support.sender_harness import LIMITS, SenderHarness, free_address, request, reset_connection, wait_until
from support.server import address_of

from ashpath.emulator.fault_injection.call_faults import CallFault, FaultyCall, ProcessFaults
from ashpath.server.http.listener import ClientListener

CHUNKED = b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n%s\r\n"


STATUS_BY_REQUEST = {
    b"POST /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n": 400,
    request("x", "unknown", "200", 1): 400,
    request("x", "free", "200", 1).replace(b"dest=1", b"dest=one"): 400,
    request("x", "free", "200", 1).replace(b"30000", b"soon"): 400,
    request("x", "free", "200", 1).replace(b"30000", b"30_000"): 400,
    request("x", "free", "200", 1).replace(b"30000", b"-1"): 400,
    request("x", "free", "200", 1).replace(b"dest=1", b"dest=+1"): 400,
    request("x", "free", "200", 1).replace(b"X-Qos", b"X-Trace-Id: y\r\nX-Qos"): 400,
    request("\t", "free", "200", 1): 400,
    request("x", "tag", "200", 1).replace(b"Idempotency-Key", b"Key"): 400,
    request("x", "free", "200", 99): 503,  # a destination that is not listed
    request("x", "free", "200", 1) + b"more": 400,
    request("x", "free", "200", 1) + request("hidden", "free", "200", 2): 400,
    request("x", "free", "0\r\n\r\n" + request("hidden", "free", "200", 2).decode(), 1).replace(
        b"X-Qos", b"Transfer-Encoding: chunked\r\nX-Qos"
    ): 400,
    request("x", "free", "200", 1).replace(b"X-Qos", b"Content-Length: 3\r\nX-Qos"): 400,
    CHUNKED.replace(b"chunked", b"gzip, chunked") % b"" + b"0\r\n\r\n": 400,
    b"POST /api HTTP/1.1\r\nContent-Length: -5\r\n\r\n": 400,
    b"POST /api HTTP/1.1\r\nContent-Length: 62914560\r\n\r\n" + b"x" * 1_000_000: 413,
    b"\x00\x01nonsense\r\n\r\n": 400,
    b"POST /api HTTP/1.1\r\nContent-Length: x\r\n\r\n": 400,
    b"GET /health/ready HTTP/1.1\r\nX: " + b"a" * 20_000: 431,
    b"GET /elsewhere HTTP/1.1\r\n\r\n": 404,
    b"GET /api HTTP/1.1\r\n\r\n": 405,
    request("x", "free", "x" * 65_537, 1): 413,
    CHUNKED % b"" + b"10000\r\n" + b"x" * 65_536 + b"\r\n1\r\nx\r\n0\r\n\r\n": 413,
    CHUNKED % b"" + b"zz\r\n": 400,
    CHUNKED % request("c", "free", "", 5).split(b"\r\n", 1)[1][:-21] + b"3\r\n200\r\n0\r\n\r\n": 202,
    request("big", "free", "200 " + "x" * 65_532, 1): 202,
}


def test_requests_get_their_status_beside_stalled_clients(harness: SenderHarness) -> None:
    harness.start()
    stalled = [
        harness.connect() for _ in range(LIMITS.clients.client_connections + 20)
    ]  # more than the process has descriptors for
    for connection in stalled:
        assert connection is not None
        connection.write(b"POST /api HTTP/1.1\r\n")
    for data, status in STATUS_BY_REQUEST.items():
        assert harness.response_status(data) == status, data[:60]
    wait_until(lambda: harness.attempt_count("big") == 1)
    assert not harness.attempt_count("x")
    assert not harness.attempt_count("hidden")
    assert harness.process is not None
    assert harness.process.poll() is None
    for connection in stalled:
        assert connection is not None
        connection.close()


def test_discovery_reconnects_while_idle_clients_fill_descriptors(harness: SenderHarness) -> None:
    """Guards against clients that use up the descriptors: discovery, notifications and the control address
    connect anew with those that remain."""
    held: list[socket.socket] = []

    def hold(sock: socket.socket, address: object) -> None:
        held.append(sock)
        harness.serve_platform(sock, address)

    harness.servers[1].set_handle(hold)
    harness.start()
    assert harness.process is not None
    resource.prlimit(harness.process.pid, resource.RLIMIT_NOFILE, (256, 256))
    platform = harness.servers[1]
    _, port = address_of(platform)
    platform.stop(timeout=0)
    for sock in held:
        with suppress(OSError):  # the connection of a call that has ended
            reset_connection(sock)
    clients = [harness.connect() for _ in range(LIMITS.clients.client_connections + 40)]
    for connection in clients[::2]:
        assert connection is not None
        connection.sock.sendall(b"GET /health/ready HTTP/1.1\r\n\r\n")
    assert (
        harness.submit("owed", "once", "hang", 1, time_left_ms=300) == 202
    )  # its notification cannot be delivered yet
    assert harness.operator_command(b"PING\n") == b"OK\n"
    wait_until(lambda: "event=discovery now=silent" in (harness.folder / "log").read_text())
    descriptors = len(os.listdir(f"/proc/{harness.process.pid}/fd"))
    assert descriptors <= 256
    before = harness.poll_counts.get(port, 0)
    harness.servers[1] = StreamServer(("127.0.0.1", port), harness.serve_platform)
    harness.servers[1].start()
    began = monotonic()
    wait_until(lambda: harness.poll_counts.get(port, 0) > before and harness.notified("owed"))
    assert monotonic() - began < 6
    assert harness.operator_command(b"PING\n") == b"OK\n"
    assert harness.submit("new", "free", "200", 2) == 202
    wait_until(lambda: harness.attempt_count("new"))
    log = (harness.folder / "log").read_text()
    assert "unexpected error" not in log
    assert "Too many open files" not in log
    assert harness.process.poll() is None
    for connection in clients:
        assert connection is not None
        connection.close()


def test_lost_listening_socket_is_reopened(harness: SenderHarness) -> None:
    """Guards against an endless retry of accept on a descriptor that fails permanently."""
    harness.faults = ProcessFaults((CallFault(FaultyCall.ACCEPT, "EINVAL", skip=3, count=3),))
    harness.start()
    statuses = [harness.submit(f"m{number}", "free", "200", 1) for number in range(8)]
    wait_until(lambda: "listening socket lost" in (harness.folder / "log").read_text())
    assert harness.submit("later", "free", "200", 1) == 202
    assert statuses.count(202) >= 5  # those in the lost socket's backlog are reset, and retried


def test_lost_listening_socket_refuses_no_client_while_it_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client connects at the moment at which the lost socket closes: the replacement already listens."""
    address = free_address()
    listener = ClientListener(address, LIMITS.clients, LIMITS.http, Mock(), Mock())
    listener.listen()
    lost = listener.socket
    clients: list[socket.socket] = []
    close = socket.socket.close

    def connect_after_close(closed: socket.socket) -> None:
        close(closed)
        if closed is lost:
            clients.append(socket.create_connection(address, timeout=3))

    monkeypatch.setattr(socket.socket, "close", connect_after_close)
    listener.listen_again(OSError(errno.EINVAL, "injected"))
    assert clients  # otherwise refused
    listener.socket.settimeout(3)
    assert listener.socket.accept()[1] == clients[0].getsockname()
    listener.socket.close()


def test_replacement_of_lost_socket_excludes_other_senders() -> None:
    """A second sender at the same address fails at its start, also after a replacement."""
    address = free_address()
    listener = ClientListener(address, LIMITS.clients, LIMITS.http, Mock(), Mock())
    listener.listen()
    listener.listen_again(OSError(errno.EINVAL, "injected"))
    with pytest.raises(OSError, match="in use"):
        ClientListener(address, LIMITS.clients, LIMITS.http, Mock(), Mock()).listen()
    listener.socket.close()
