"""Connections that the sender has given up: what is heard on them, and for how long they are kept."""

from __future__ import annotations

from collections.abc import Iterator
from time import monotonic

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from support.limits import connection_pool, limits_with
from support.sender_harness import wait_until

from ashpath.core.time_units import SECOND
from ashpath.policy import tuning
from ashpath.server.addresses import Address
from ashpath.server.delivery.closing_connections import MAX_SCANNED_BYTES
from ashpath.server.delivery.connection_pool import ConnectionPool
from ashpath.server.delivery.endpoint_connection import CloseReason, EndpointConnection
from ashpath.server.delivery.response_notices import NoticeSource, RetryAfterNotice

REFUSED = b"HTTP/1.1 429 X\r\nRetry-After: 2\r\nRetry-After: 7.5\r\n\r\n"
DELIVERED = b"HTTP/1.1 200 OK\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"


class RecordingReceiver:
    """Records the notices."""

    def __init__(self) -> None:
        self.notices: list[RetryAfterNotice] = []

    def retry_after_noticed(self, notice: RetryAfterNotice) -> int:
        self.notices.append(notice)
        return notice.retry_after


class Endpoint:
    """Accepts connections and keeps their other ends; `ended` counts those whose end was read."""

    def __init__(self) -> None:
        self.connections: list[socket.socket] = []
        self.ended = 0
        self.closes_at_end = False
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self) -> Address:
        return "127.0.0.1", int(self.server.server_port or 0)

    def _serve(self, sock: socket.socket, _: object) -> None:
        self.connections.append(sock)
        while sock.recv(99):
            pass
        self.ended += 1
        while not self.closes_at_end:
            gevent.sleep(0.01)
        sock.close()


@pytest.fixture
def endpoint() -> Iterator[Endpoint]:
    made = Endpoint()
    yield made
    made.closes_at_end = True
    made.server.stop(timeout=0)


@pytest.fixture
def receiver() -> RecordingReceiver:
    return RecordingReceiver()


@pytest.fixture
def pool(receiver: RecordingReceiver) -> ConnectionPool:
    made = connection_pool()
    made.notices.subscribe(receiver)
    return made


def given_up(pool: ConnectionPool, endpoint: Endpoint) -> EndpointConnection:
    """Returns a connection whose request has no response, which the pool has closed."""
    connection = pool.connect(endpoint.address)
    connection.use_for("e1", 7)
    connection.write(b"request")
    connection.request_written("m")
    pool.close(connection, CloseReason.ATTEMPT_FAILED)
    return connection


def write_endlessly(sock: socket.socket) -> None:
    for _ in range(20):
        sock.sendall(b"?" * (MAX_SCANNED_BYTES // 4))
        gevent.sleep(0.01)


def test_endpoint_reads_end_and_is_heard_until_it_closes(
    pool: ConnectionPool, endpoint: Endpoint, receiver: RecordingReceiver
) -> None:
    given_up(pool, endpoint)
    wait_until(lambda: endpoint.ended == 1)
    assert (pool.open, len(pool.closing)) == (0, 1)
    for piece in (DELIVERED + REFUSED[:20], REFUSED[20:]):
        endpoint.connections[0].sendall(piece)
        gevent.sleep(0.02)
    assert receiver.notices == [RetryAfterNotice(7, "e1", 7_500_000, outcome_follows=False)]
    assert pool.notices.heard[NoticeSource.GIVEN_UP] == 1
    endpoint.closes_at_end = True
    wait_until(lambda: not len(pool.closing))
    assert pool.notices.dropped == 0


def test_listening_ends_in_time_and_cut_head_is_counted(
    pool: ConnectionPool, endpoint: Endpoint, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(tuning, "RESERVATION_TIME", SECOND // 10)
    given_up(pool, endpoint)
    wait_until(lambda: endpoint.connections)
    endpoint.connections[0].sendall(REFUSED[:-2])
    pool.sweep()
    assert len(pool.closing) == 1
    gevent.sleep(0.12)
    pool.sweep()
    assert len(pool.closing) == 0
    assert pool.notices.dropped == 1


def test_endless_bytes_end_the_listening(pool: ConnectionPool, endpoint: Endpoint) -> None:
    given_up(pool, endpoint)
    wait_until(lambda: endpoint.connections)
    with pytest.raises(OSError, match=r"reset|Broken pipe"):
        write_endlessly(endpoint.connections[0])
    assert len(pool.closing) == 0


def test_unused_connection_and_one_that_was_quiet_for_long_are_not_listened_to(
    pool: ConnectionPool, endpoint: Endpoint
) -> None:
    unused, quiet = pool.connect(endpoint.address), pool.connect(endpoint.address)
    quiet.request_written("m")
    quiet.awaits_response = False
    quiet.answered_at = monotonic() - 1.01 * tuning.RESPONSE_LATENESS / SECOND
    for connection in (unused, quiet):
        pool.close(connection, CloseReason.IDLE_LIMIT)
    assert len(pool.closing) == 0


def test_new_connections_displace_those_that_are_listened_to(endpoint: Endpoint) -> None:
    pool = connection_pool(limits_with(endpoint_connections=8))
    assert pool.limits.closing_connections == 2
    for _ in range(4):
        given_up(pool, endpoint)
        assert len(pool.closing) <= 2
    in_use = [pool.acquire("e1", endpoint.address) for _ in range(8)]
    assert len(pool.closing) == 0
    assert not pool.make_room()
    assert len(in_use) == pool.open == 8


def test_connection_that_failed_is_closed_at_once(pool: ConnectionPool, endpoint: Endpoint) -> None:
    connection = pool.connect(endpoint.address)
    connection.request_written("m")
    connection.sock.close()
    pool.close(connection, CloseReason.ATTEMPT_FAILED)
    assert len(pool.closing) == 0
