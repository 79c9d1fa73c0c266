"""Attempts: connecting, request, response, cancellation, and reuse of the connection."""

from __future__ import annotations

import errno

import gevent
import pytest
from gevent import Timeout, socket
from support.limits import limits_with
from support.sender_harness import LIMITS, SenderHarness, wait_until
from support.sender_parts import DeliverySetup

from ashpath.core.interface import AttemptOutcome
from ashpath.policy.response_trust import ResponseTrust
from ashpath.server.addresses import Address
from ashpath.server.delivery.errors import AttemptCancelledError
from ashpath.server.http.connection import HttpConnection

OK = b"HTTP/1.1 200 OK\r\n"
FULL = b"HTTP/1.1 429 Full\r\nContent-Length: 2\r\n"
CHUNKS = OK + b"Transfer-Encoding: chunked\r\n\r\n"

# Bytes that an endpoint writes, the expected outcome, and whether the connection is reused.
RESPONSES = {
    OK + b"Content-Length: 2\r\n\r\nok": (AttemptOutcome.DELIVERED, True),
    OK + b"Content-Length: 2\r\n\r\nok" + FULL + b"\r\nno": (AttemptOutcome.DELIVERED, False),
    b"HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100\r\n\r\n" + OK + b"Content-Length: 0\r\n\r\n": (
        AttemptOutcome.DELIVERED,
        True,
    ),
    OK + b"Endpoint-Load-Metrics: TEXT ?\r\nContent-Length: 0\r\n\r\n": (AttemptOutcome.DELIVERED, True),
    OK: (AttemptOutcome.DELIVERED, False),
    OK + b"no colon\r\n\r\n": (AttemptOutcome.DELIVERED, False),
    OK + b"Content-Length: -3\r\n\r\n": (AttemptOutcome.DELIVERED, False),
    OK + b"Content-Length: three\r\n\r\n": (AttemptOutcome.DELIVERED, False),
    OK + b"Content-Length: 3000000000\r\n\r\nabc": (AttemptOutcome.DELIVERED, False),
    OK + b"X: " + b"p" * 20_000: (AttemptOutcome.DELIVERED, False),
    b"HTTP/1.1 103 Hints\r\n\r\n" * 50: (AttemptOutcome.CONNECTION_RESET, False),
    # Chunked responses: the connection is kept if the body ends correctly, which saves a new connection.
    CHUNKS + b"2\r\nok\r\n0\r\n\r\n": (AttemptOutcome.DELIVERED, True),
    CHUNKS + b"2;a=b\r\nok\r\n0\r\nX: y\r\n\r\n": (AttemptOutcome.DELIVERED, True),
    CHUNKS + b"2\r\nok\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n": (AttemptOutcome.DELIVERED, False),
    CHUNKS + b"3\r\nok\r\n0\r\n\r\n": (AttemptOutcome.DELIVERED, False),
    CHUNKS + b"-2\r\nok\r\n0\r\n\r\n": (AttemptOutcome.DELIVERED, False),
    CHUNKS + b"ffffffff\r\nok": (AttemptOutcome.DELIVERED, False),
    CHUNKS + b"2;" + b"a" * 3000: (AttemptOutcome.DELIVERED, False),
    CHUNKS.replace(b"200", b"503") + b"2\r\nok\r\n0\r\n\r\n": (AttemptOutcome.OVERLOADED, True),
    CHUNKS.replace(b"200", b"503") + b"2\r\nok\r\n0\r\n": (AttemptOutcome.CONNECTION_RESET, False),
    FULL + b"\r\nno": (AttemptOutcome.OVERLOADED, True),
    FULL + b"\r\nno" + FULL: (AttemptOutcome.OVERLOADED, False),
    FULL + b"\r\nn": (AttemptOutcome.CONNECTION_RESET, False),
    FULL + b"no colon\r\n\r\nno": (AttemptOutcome.CONNECTION_RESET, False),
    FULL + b"Content-Length: 3\r\n\r\nno": (AttemptOutcome.CONNECTION_RESET, False),
    FULL: (AttemptOutcome.CONNECTION_RESET, False),
    b"HTTP/1.1 503 X\r\nContent-Length: 3000000000\r\n\r\nabc": (AttemptOutcome.CONNECTION_RESET, False),
    b"HTTP/1.1 504 X\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n": (AttemptOutcome.CONNECTION_RESET, False),
    b"HTTP/1.1 410 X\r\nContent-Length: -1\r\n\r\n": (AttemptOutcome.CONNECTION_RESET, False),
    b"HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n": (AttemptOutcome.CONNECTION_RESET, False),
    b"HTTP/1.1 OK 200\r\nContent-Length: 0\r\n\r\n": (AttemptOutcome.CONNECTION_RESET, False),
    b"\x10\x98\x80\r\n\r\n": (AttemptOutcome.CONNECTION_RESET, False),
    b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n": (AttemptOutcome.ERROR, True),
}


def test_malformed_responses_have_expected_outcome_and_connection_reuse(harness: SenderHarness) -> None:
    """After a malformed response the request may have run, whatever the status, and its connection is closed.

    A reused connection with unread bytes would deliver them as the response to the next request."""

    def serve(sock: socket.socket, _: object) -> None:
        connection = HttpConnection(sock, LIMITS.http)
        connection.read_request()
        connection.write(data)
        connection.receive()  # keeps the connection open until the runner closes it

    harness.servers[0].set_handle(serve)
    delivery_setup = DeliverySetup(harness)
    delivery_setup.pool.http_limits = limits_with(response_rest_s=0.05).http
    for count, (data, (outcome, kept)) in enumerate(RESPONSES.items(), 1):
        delivery_setup.pool.attribution.trust = ResponseTrust()  # no row affects the next one
        delivery_setup.start("s", b"")
        wait_until(lambda count=count: len(delivery_setup.outcomes) == count)  # type: ignore[misc]  # bound in the loop
        assert delivery_setup.outcomes[-1] is outcome, data
        wait_until(lambda kept=kept: delivery_setup.pool.open == kept)  # type: ignore[misc]  # bound in the loop
        delivery_setup.pool.close_idle("e1")


def test_attempt_invalidated_while_connecting_is_not_sent(harness: SenderHarness) -> None:
    """Validity is checked once the connection is established. A drain closes idle connections and ends the
    address of the endpoint, so that the next attempt is not sent."""
    delivery_setup = DeliverySetup(harness)
    delivery_setup.start("a", b"200")
    wait_until(lambda: delivery_setup.outcomes == [AttemptOutcome.DELIVERED])
    delivery_setup.invalid.add("b")
    delivery_setup.start("b", b"200")
    wait_until(lambda: delivery_setup.outcomes == [AttemptOutcome.DELIVERED, AttemptOutcome.NOT_SENT])
    delivery_setup.start("c", b"200")
    wait_until(lambda: delivery_setup.outcomes[2:] == [AttemptOutcome.DELIVERED])
    assert not harness.attempt_count("b")
    assert delivery_setup.pool.idle
    delivery_setup.registry.apply_members(
        [{**row, "phase": "draining"} for row in harness.members], complete=False
    )
    assert not delivery_setup.pool.idle
    assert delivery_setup.pool.open == 0
    delivery_setup.start("d", b"200")
    wait_until(lambda: delivery_setup.outcomes[3:] == [AttemptOutcome.NOT_SENT])


def test_cancelled_attempt_has_exactly_one_outcome(harness: SenderHarness) -> None:
    """An attempt is cancelled before it starts, while it waits for the response, or after it has ended. The
    connection of a cancelled attempt is closed; an attempt that has ended keeps its outcome."""
    delivery_setup = DeliverySetup(harness)
    delivery_setup.start("a", b"hang").cancel()
    wait_until(lambda: delivery_setup.outcomes == [AttemptOutcome.CANCELLED])
    attempt = delivery_setup.start("b", b"hang")
    wait_until(lambda: harness.attempt_count("b") > 0)
    attempt.cancel()
    wait_until(lambda: delivery_setup.outcomes == [AttemptOutcome.CANCELLED] * 2)
    assert not harness.attempt_count("a")
    assert delivery_setup.pool.open == 0
    attempt = delivery_setup.start("c", b"200")
    wait_until(lambda: delivery_setup.outcomes[2:] == [AttemptOutcome.DELIVERED])
    attempt.cancel()
    assert delivery_setup.pool.open == 1


# Exception that interrupts an attempt, and the resulting outcome.
INTERRUPTIONS = {AttemptCancelledError: AttemptOutcome.CANCELLED, Timeout: AttemptOutcome.TIMED_OUT}
# Bytes in the socket at the interruption, and whether the message counts as delivered.
BYTES_BEFORE_INTERRUPTION = {
    b"": False,
    b"HTTP/1.1 20": False,
    OK: True,
    OK + b"Content-Length: 2\r\n\r\nok": True,
    b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n": False,
    b"HTTP/1.1 503 X\r\nContent-Length: 99\r\n\r\n"
    + OK
    + OK: False,  # a status line within a body does not count
    b"x" * 40_000: False,
}


@pytest.mark.parametrize("error", INTERRUPTIONS, ids=lambda error: error.__name__)
@pytest.mark.parametrize("data", BYTES_BEFORE_INTERRUPTION, ids=lambda data: str(data[:40]))
def test_success_received_before_interruption_counts_as_delivered(
    harness: SenderHarness, monkeypatch: pytest.MonkeyPatch, error: type[BaseException], data: bytes
) -> None:
    """A 200 whose status line is in the socket at the interruption counts as delivered.

    If it did not, a delivered message would be retried, or would get a false final state."""
    delivery_setup = DeliverySetup(harness)
    connections: list[HttpConnection] = []
    connect = delivery_setup.pool.connect

    def record_connection(address: Address) -> HttpConnection:
        connections.append(connect(address))
        return connections[-1]

    def serve(sock: socket.socket, _: object) -> None:
        connection = HttpConnection(sock, LIMITS.http)
        connection.read_request()
        if b"99" in data:  # the runner reads this head first
            connection.write(data[: -2 * len(OK)])
            wait_until(lambda: connections[0].status_line_read)
            sock.send(data[-2 * len(OK) :])
        else:
            sock.send(data)
        assert attempt.greenlet is not None
        attempt.greenlet.kill(error(), block=False)  # raised before the runner reads these bytes
        gevent.sleep(0.05)

    monkeypatch.setattr(delivery_setup.pool, "connect", record_connection)
    harness.servers[0].set_handle(serve)
    attempt = delivery_setup.start("a", b"")
    wait_until(lambda: bool(delivery_setup.outcomes))
    assert delivery_setup.outcomes == [
        AttemptOutcome.DELIVERED if BYTES_BEFORE_INTERRUPTION[data] else INTERRUPTIONS[error]
    ]
    assert delivery_setup.pool.open == 0


def test_endpoint_moved_while_connecting_gets_no_request(
    harness: SenderHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The endpoint leaves its address, and another endpoint takes it over, while the connection is being
    established. A request written then would reach an endpoint of another destination."""
    delivery_setup = DeliverySetup(harness)
    connect = delivery_setup.pool.connect
    moved = {**harness.members[1], "host_port": "127.0.0.1:1"}
    successor = {**harness.members[1], "id": "new", "cell": 9}

    def connect_and_move_endpoint(address: Address) -> HttpConnection:
        connection = connect(address)
        delivery_setup.registry.apply_members([moved, successor], complete=False)
        return connection

    monkeypatch.setattr(delivery_setup.pool, "connect", connect_and_move_endpoint)
    delivery_setup.start("a", b"200")
    wait_until(lambda: bool(delivery_setup.outcomes))
    assert delivery_setup.outcomes == [AttemptOutcome.NOT_SENT]
    assert not harness.attempt_count("a")


# Errors of a connect, and the outcome: local faults must not count against the endpoint.
CONNECT_ERRORS = {
    OSError(errno.EMFILE, "out of descriptors"): AttemptOutcome.LOCAL_FAULT,
    OSError(errno.ENFILE, "out of descriptors"): AttemptOutcome.LOCAL_FAULT,
    OSError(errno.ENOBUFS, "no buffer"): AttemptOutcome.LOCAL_FAULT,
    OSError(errno.EADDRNOTAVAIL, "no local address"): AttemptOutcome.LOCAL_FAULT,
    OSError(errno.EINTR, "interrupted"): AttemptOutcome.LOCAL_FAULT,
    OSError(errno.ENETUNREACH, "no route"): AttemptOutcome.LOCAL_FAULT,
    OSError(errno.ECONNREFUSED, "refused"): AttemptOutcome.CONNECT_FAILED,
    OSError(errno.EHOSTUNREACH, "no such host"): AttemptOutcome.CONNECT_FAILED,
    OSError(errno.ETIMEDOUT, "timed out"): AttemptOutcome.CONNECT_FAILED,
    OverflowError("port must be 0-65535"): AttemptOutcome.CONNECT_FAILED,
    ValueError("embedded null character"): AttemptOutcome.CONNECT_FAILED,
}


@pytest.mark.parametrize("error", CONNECT_ERRORS, ids=repr)
def test_connect_error_maps_to_one_outcome(
    harness: SenderHarness, monkeypatch: pytest.MonkeyPatch, error: Exception
) -> None:
    """Any error of a connect ends the attempt with exactly one outcome.

    Without an outcome the concurrency slot of the attempt would be lost; a wrong outcome would treat a local
    fault as an outage of the endpoint, or the reverse."""
    delivery_setup = DeliverySetup(harness)

    def connect(_: Address) -> HttpConnection:
        raise error

    monkeypatch.setattr(delivery_setup.pool, "connect", connect)
    delivery_setup.start("a", b"200")
    wait_until(lambda: bool(delivery_setup.outcomes))
    assert delivery_setup.outcomes == [CONNECT_ERRORS[error]]


def test_deadline_before_connect_counts_as_not_sent(
    harness: SenderHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A message's deadline passes while its connection is being established. This says nothing about the
    endpoint; counted as a refused connection, it would look like an outage of a healthy endpoint."""
    delivery_setup = DeliverySetup(harness)
    monkeypatch.setattr(delivery_setup.pool, "connect", lambda _: gevent.sleep(9))
    delivery_setup.start("a", b"200", timeout=30_000)
    wait_until(lambda: bool(delivery_setup.outcomes))
    assert delivery_setup.outcomes == [AttemptOutcome.NOT_SENT]


def test_exhausted_connection_pool_is_a_local_fault(harness: SenderHarness) -> None:
    """The attempt is not sent because all connections are in use, which is a local fault."""
    delivery_setup = DeliverySetup(harness)
    delivery_setup.pool.limits = limits_with(endpoint_connections=0).endpoints
    delivery_setup.start("a", b"200")
    wait_until(lambda: bool(delivery_setup.outcomes))
    assert delivery_setup.outcomes == [AttemptOutcome.LOCAL_FAULT]
    assert not harness.attempt_count("a")
