"""Each kind of stream fault reaches the caller of a proxy, on the schedule of its seed."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from ashpath.emulator.fault_injection.discovery_agent import reset_connection
from ashpath.emulator.fault_injection.stream_faults import (
    PreferringInjector,
    StreamFault,
    StreamFaultInjector,
    StreamFaults,
)
from ashpath.emulator.fault_injection.tcp_proxy import FaultProxy
from ashpath.server.addresses import parse_address

RESPONSE = b"HTTP/1.1 200 OK\r\n\r\n"
OTHER = b"HTTP/1.1 503 OK\r\n\r\n"
SETTLED_S = 0.15  # by then all extra writes have arrived
DELAY_S = 0.03

# The bytes that a caller receives in response to one request, and to a second one.
EXPECTED = {
    StreamFault.REPEAT: (RESPONSE * 2, RESPONSE * 2),
    StreamFault.REPEAT_IN_HALVES: (RESPONSE * 2, RESPONSE * 2),
    StreamFault.OTHER_STATUS: (RESPONSE + OTHER, RESPONSE + OTHER),
    StreamFault.PRECEDE: (RESPONSE, RESPONSE * 2),
    StreamFault.INVENT: (RESPONSE + b"invented", RESPONSE + b"invented"),
    StreamFault.DELAY: (RESPONSE, RESPONSE),
    StreamFault.REPEAT_JOINED: (RESPONSE * 2, RESPONSE * 2),
    StreamFault.INVENT_IN_HALVES: (RESPONSE + b"invented", RESPONSE + b"invented"),
    StreamFault.PRECEDE_DATA: (b"invented" + RESPONSE, b"invented" + RESPONSE),
    StreamFault.REPLACE_AND_END: (b"invented", b""),
}
# The part of them that comes at once.
EARLY = {
    StreamFault.DELAY: (b"", b""),
    StreamFault.PRECEDE: (RESPONSE, RESPONSE * 2),
    StreamFault.REPEAT_JOINED: (RESPONSE * 2, RESPONSE * 2),
    StreamFault.PRECEDE_DATA: (b"invented", b"invented"),
    StreamFault.REPLACE_AND_END: (b"invented", b""),
}


class CountingTarget:
    """Answers each request with `RESPONSE`, and counts requests and connections."""

    def __init__(self) -> None:
        self.requests = 0
        self.connections = 0
        self.resets = 0
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.proxy = FaultProxy(("127.0.0.1", int(self.server.server_port or 0)))

    def serve(self, sock: socket.socket, _: object) -> None:
        self.connections += 1
        try:
            while sock.recv(99):
                self.requests += 1
                sock.sendall(RESPONSE)
        except ConnectionResetError:
            self.resets += 1


@pytest.fixture
def target() -> Iterator[CountingTarget]:
    made = CountingTarget()
    yield made
    made.proxy.stop()
    made.server.stop(timeout=0)


def received(connection: socket.socket, for_s: float) -> bytes:
    data = b""
    with gevent.Timeout(for_s, False):  # type: ignore[arg-type]  # False: the block just ends
        while chunk := connection.recv(999):
            data += chunk
    return data


@pytest.mark.parametrize("fault", StreamFault, ids=lambda fault: fault.value)
def test_response_fault_reaches_caller(target: CountingTarget, fault: StreamFault) -> None:
    faults = StreamFaults(fault, 1.0, (DELAY_S,), data=b"invented")
    target.proxy.response_faults = StreamFaultInjector(faults, "seed")
    connection = socket.create_connection(parse_address(target.proxy.address))
    for expected, at_once in zip(EXPECTED[fault], EARLY.get(fault, (RESPONSE, RESPONSE)), strict=True):
        connection.sendall(b"request")
        early = received(connection, DELAY_S / 2)
        assert early == at_once
        assert early + received(connection, SETTLED_S) == expected
    connection.close()


def test_repeated_request_reaches_target_on_another_connection(target: CountingTarget) -> None:
    target.proxy.request_faults = StreamFaultInjector(StreamFaults(StreamFault.REPEAT, 1.0, (0.02,)), "seed")
    connection = socket.create_connection(parse_address(target.proxy.address))
    connection.sendall(b"request")
    assert received(connection, SETTLED_S) == RESPONSE
    assert (target.requests, target.connections) == (2, 2)
    connection.close()


def test_same_seed_affects_same_messages_after_quiet_time() -> None:
    faults = StreamFaults(StreamFault.REPEAT, 0.5, (0.01,))
    drawn = []
    for _ in range(2):
        injector = StreamFaultInjector(faults, "seed")
        drawn.append([len(injector.writes(b"m", b"")) for _ in range(50)])
    assert drawn[0] == drawn[1]
    assert set(drawn[0]) == {1, 2}
    quiet = StreamFaultInjector(StreamFaults(StreamFault.REPEAT, 1.0, quiet_s=60.0), "seed")
    assert len(quiet.writes(b"m", b"")) == 1


def test_reset_by_caller_reaches_target(target: CountingTarget) -> None:
    """A process that is killed with an unread response resets its connection: the response was lost."""
    connection = socket.create_connection(parse_address(target.proxy.address))
    connection.sendall(b"request")
    assert received(connection, 0.05) == RESPONSE
    reset_connection(connection)
    gevent.sleep(0.05)
    assert target.resets == 1


class RecordingObserver:
    """Records what a proxy writes to its callers."""

    def __init__(self) -> None:
        self.written = b""
        self.resets = 0

    def response_written(self, caller: socket.socket, data: bytes) -> None:
        self.written += data

    def connection_reset(self, caller: socket.socket) -> None:
        self.resets += 1


def test_observer_sees_what_is_written_and_reset(target: CountingTarget) -> None:
    observer = target.proxy.observer = RecordingObserver()
    faults = StreamFaults(StreamFault.INVENT, 1.0, (DELAY_S,), data=b"invented")
    target.proxy.response_faults = StreamFaultInjector(faults, "seed")
    connection = socket.create_connection(parse_address(target.proxy.address))
    connection.sendall(b"request")
    assert received(connection, SETTLED_S) == observer.written == RESPONSE + b"invented"
    target.proxy.reset_connections()
    assert observer.resets == 1


def test_preferred_faults_leave_schedule_of_others_unchanged() -> None:
    others = StreamFaults(StreamFault.REPEAT, 0.3)
    preferred = StreamFaults(StreamFault.REPLACE_AND_END, 0.3, data=b"preferred")
    alone = StreamFaultInjector(others, "seed")
    both = PreferringInjector(StreamFaultInjector(preferred, "first"), StreamFaultInjector(others, "seed"))
    seen = set()
    for _ in range(100):
        expected = alone.writes(b"m", b"")
        found = both.writes(b"m", b"")
        is_preferred = found[0].data == b"preferred"
        assert is_preferred or found == expected
        seen.add((is_preferred, len(expected)))
    assert seen == {(False, 1), (False, 2), (True, 1), (True, 2)}
