"""Calls to the platform's agent, each on a connection of its own."""

from __future__ import annotations

from contextlib import suppress

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from support.sender_harness import LIMITS, SenderHarness
from support.server import address_of

from ashpath.server.addresses import Address
from ashpath.server.agent_client import AgentConnection
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError

POLL = b"GET /registry/instances HTTP/1.1"
CHUNKED = b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"


@pytest.fixture
def address(harness: SenderHarness) -> Address:
    return address_of(harness.servers[1])


def test_timed_out_agent_call_is_followed_by_a_new_connection(
    harness: SenderHarness, address: Address
) -> None:
    agent = AgentConnection(address, LIMITS.http)
    harness.servers[1].set_handle(lambda *_: gevent.sleep(9))
    assert agent.call(POLL, b"", 0.05) is None
    assert agent.connection is None
    harness.servers[1].set_handle(harness.serve_platform)
    response = agent.call(POLL, b"", 9)
    assert response is not None
    assert response.status == 200
    assert agent.connection is None


def test_each_call_has_a_connection_of_its_own(harness: SenderHarness, address: Address) -> None:
    connections: list[socket.socket] = []

    def serve(sock: socket.socket, _: object) -> None:
        connections.append(sock)
        sock.sendall(CHUNKED)

    agent = AgentConnection(address, LIMITS.http)
    harness.servers[1].set_handle(serve)
    for count in (1, 2):
        response = agent.call(POLL, b"", 9)
        assert response is not None
        assert response.body == b"abc"
        assert agent.connection is None
        assert len(connections) == count


def test_unexpected_error_closes_the_connection(
    harness: SenderHarness, address: Address, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A response that was read in part must not precede the response to the next call."""
    agent = AgentConnection(address, LIMITS.http)
    harness.servers[1].set_handle(lambda sock, _: sock.sendall(CHUNKED))
    opened: list[HttpConnection] = []

    def fail(connection: HttpConnection) -> None:
        opened.append(connection)
        raise ArithmeticError

    monkeypatch.setattr(HttpConnection, "finish_response", fail)
    with pytest.raises(ArithmeticError):
        agent.call(POLL, b"", 9)
    assert agent.connection is None
    assert opened[0].unusable


# A repeated 204 acknowledged the next batch of notices too: the platform refused it, and it was lost.
def test_repeated_response_is_not_taken_for_that_of_the_next_call() -> None:
    statuses = iter((b"204", b"503"))

    def serve(sock: socket.socket, _: object) -> None:
        connection = HttpConnection(sock, LIMITS.http)
        with suppress(OSError, ConnectionClosedError):
            while connection.read_request():
                response = encode_message(b"HTTP/1.1 %s X" % next(statuses), [], b"")
                if b"503" in response:
                    gevent.sleep(0.05)
                else:
                    gevent.spawn_later(0.005, connection.sock.sendall, response)
                connection.write(response)
        connection.close()

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    agent = AgentConnection(address_of(server), LIMITS.http)
    responses = [agent.call(b"POST /v1/notices HTTP/1.1", b"{}", 1.0) for _ in range(2)]
    server.stop(timeout=0)
    assert [response and response.status for response in responses] == [204, 503]
