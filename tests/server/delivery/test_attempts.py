"""One attempt: dial, request, response, cancellation."""

from __future__ import annotations

import errno
from dataclasses import replace
from typing import Any

import gevent
import pytest
from gevent import Timeout, socket
from support.stages import Outward
from support.world import LIMITS, World, until

from ashpath.core.interface import AttemptOutcome
from ashpath.server.delivery.errors import AttemptCancelledError
from ashpath.server.http.connection import HttpConnection

OK, FULL = b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 429 Full\r\nContent-Length: 2\r\n"


CHUNKS = OK + b"Transfer-Encoding: chunked\r\n\r\n"


# What an endpoint writes, how the shot ended, and whether its connection may carry another.
ANSWERS = {
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
    # In chunks: kept where they end as they should, so that no call pays for a new connection.
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


def test_spoilt_answers(world: World) -> None:
    """What is not sound may have run, whatever its status, and its connection carries no other call."""

    def serve(sock: socket.socket, _: object) -> None:
        wire = HttpConnection(sock, LIMITS)
        wire.read_request()
        wire.write(data)
        wire.receive()  # it stays open, until the far end has enough

    world.servers[0].set_handle(serve)
    outward, limits = Outward(world), replace(LIMITS, response_rest_s=0.05)
    outward.pool.limits = limits
    for data, (ending, kept) in ANSWERS.items():
        before = len(outward.endings)
        outward.begin("s", b"")
        until(lambda before=before: len(outward.endings) > before)
        assert outward.endings[-1] is ending, data
        until(lambda kept=kept: outward.pool.open == kept)
        outward.pool.close_idle("e1")


def test_halted_before_the_first_byte(world: World) -> None:
    """What stands no more once its connection is up is not sent; a drain closes idle connections."""
    outward = Outward(world)
    outward.begin("a", b"200")
    until(lambda: outward.endings == [AttemptOutcome.DELIVERED])
    outward.invalid.add("b")
    outward.begin("b", b"200")
    until(lambda: outward.endings == [AttemptOutcome.DELIVERED, AttemptOutcome.NOT_SENT])
    outward.begin("c", b"200")
    until(lambda: outward.endings[2:] == [AttemptOutcome.DELIVERED])
    assert not world.count("b") and outward.pool.idle
    outward.route.apply_members([{**row, "phase": "draining"} for row in world.members], whole=False)
    assert not outward.pool.idle and outward.pool.open == 0
    outward.begin("d", b"200")
    until(lambda: outward.endings[3:] == [AttemptOutcome.NOT_SENT])


def test_called_off(world: World) -> None:
    """Whenever a shot is called off, it has one outcome, and its connection carries no other."""
    outward = Outward(world)
    outward.begin("a", b"hang").cancel()
    until(lambda: outward.endings == [AttemptOutcome.CANCELLED])
    flight = outward.begin("b", b"hang")
    until(lambda: world.count("b"))
    flight.cancel()
    until(lambda: outward.endings == [AttemptOutcome.CANCELLED] * 2)
    assert not world.count("a") and outward.pool.open == 0
    flight = outward.begin("c", b"200")
    until(lambda: outward.endings[2:] == [AttemptOutcome.DELIVERED])
    flight.cancel()
    assert outward.pool.open == 1


OK = b"HTTP/1.1 200 OK\r\n"


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
            until(lambda: wires[0].status_line_read)
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
