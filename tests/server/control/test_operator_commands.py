"""Commands at the control address, over sockets."""

from __future__ import annotations

import signal

import pytest
from gevent import socket
from support.sender_harness import SenderHarness, wait_until
from support.server import READINESS_REQUEST

ANSWERS = [  # a command and the start of its answer
    (b"PING\n", b"OK\n"),
    (b"DETACH nobody\n", b"ERR unknown endpoint"),
    (b"FLY\n", b"ERR unknown call"),
    (b"PING \xff\n", b"ERR line is not ASCII"),
    (b"p" * 400, b"ERR line longer"),
]


@pytest.fixture
def started(harness: SenderHarness) -> SenderHarness:
    harness.start()
    return harness


def test_commands_are_answered_beside_silent_operators(started: SenderHarness) -> None:
    with (
        socket.create_connection(started.control_address) as half,
        socket.create_connection(started.control_address) as silent,
    ):
        half.sendall(b"DETA")  # half a command, and the connection stays open
        for command, answer in ANSWERS:
            assert started.operator_command(command).startswith(answer)
        assert started.response_status(READINESS_REQUEST) == 200
        assert half.recv(100).startswith(b"ERR no whole line")  # at its own time limit
        assert silent.recv(100).startswith(b"ERR no whole line")


def test_lame_duck_is_not_ready_and_serves_requests(started: SenderHarness) -> None:
    assert started.response_status(READINESS_REQUEST) == 200
    idle = started.connect()
    assert idle is not None
    assert started.operator_command(b"LAMEDUCK\n").startswith(b"OK")
    wait_until(lambda: started.response_status(READINESS_REQUEST) == 503)
    assert idle.receive() is False or not len(idle.buffer)  # closed by the sender
    assert started.submit("l1", "free", "200", 4) == 202
    wait_until(lambda: started.attempt_count("l1") == 1)
    assert started.operator_command(b"REJOIN\n").startswith(b"OK")
    wait_until(lambda: started.response_status(READINESS_REQUEST) == 200)


def test_silent_operators_do_not_block_other_operators(started: SenderHarness) -> None:
    """Guards against silent connections that use up the limit: the longest silent ones are evicted."""
    connections = [socket.create_connection(started.control_address) for _ in range(500)]
    connections[0].sendall(b"PI")
    for _ in range(10):
        assert started.operator_command(b"PING\n") == b"OK\n"
        connections += [socket.create_connection(started.control_address) for _ in range(20)]
    assert started.response_status(READINESS_REQUEST) == 200
    for connection in connections:
        connection.close()


def test_detached_endpoint_stays_detached_after_new_list_and_restart(started: SenderHarness) -> None:
    for _ in range(2):  # one ATTACH undoes both
        assert started.operator_command(b"DETACH e5\n").startswith(b"OK")
    assert started.submit("h1", "free", "200", 5, time_left_ms=3000) == 202
    # Service discovery lists the endpoint as up again in the meantime.
    started.config["known"] = {"revision": 2, "complete": True, "members": started.members}
    started.kill(signal.SIGKILL)
    started.start()
    assert started.submit("h2", "free", "200", 5, time_left_ms=30000) == 202
    wait_until(lambda: started.notified("h1") != [])
    assert started.attempt_count("h1") == 0
    assert started.attempt_count("h2") == 0
    assert started.operator_command(b"ATTACH e5\n").startswith(b"OK")
    wait_until(lambda: started.attempt_count("h2") == 1)
    assert started.operator_command(b"ATTACH e5\n").startswith(b"OK")
