"""Two processes of one sender during a hot upgrade."""

from __future__ import annotations

import signal

import gevent
from support.loggers import error_raising_logger
from support.server import READINESS_REQUEST, terminate
from support.world import World, request, wait_until

from ashpath.server.http.connection import HttpConnection
from ashpath.server.storage.detached_endpoints import DetachedEndpoints


def test_hand_over_on_an_inherited_socket(pair: tuple[World, World]) -> None:
    old, new = pair
    live = old.connect()  # a client with its connection open across the upgrade
    assert live is not None
    assert old.submit("u1", "free", "hang", 3, time_left_ms=6000) == 202  # still out when the old one ends
    new.start()  # no second bind: both take from one queue
    terminate(old)
    assert new.submit("u2", "free", "200", 4) == 202
    wait_until(lambda: new.attempt_count("u2") == 1)
    assert live.receive() is False or not len(live.buffer)  # the old one closed it: its client moves on
    assert new.notified("u1") == ["deferred"]  # one end, told once, by whichever process had it


def accepted(old: World, silent: bytes = b"") -> HttpConnection:
    """A connection that the old process has, its first request perhaps begun."""
    wire = old.connect()
    assert wire is not None
    wire.write(silent)
    return wire


def test_no_client_goes_without_a_response_in_an_upgrade(pair: tuple[World, World]) -> None:
    """Guards requests on their way at SIGTERM: on kept connections, first requests not yet begun, and ones
    that come in pieces. Each has its response, which ends its connection."""
    old, new = pair
    kept = [accepted(old, READINESS_REQUEST) for _ in range(4)]
    assert [wire.read_response().status for wire in kept] == [200] * 4
    for wire in kept:
        wire.finish_response()
    slow = accepted(old, request("d-slow", "free", "200", 3)[:40])
    silent = accepted(old)
    gevent.sleep(0.3)  # the old one has them all
    new.start()
    assert old.process is not None
    old.process.send_signal(signal.SIGTERM)
    asked = []
    for number, wire in enumerate((*kept[:3], silent)):
        gevent.sleep(0.2)
        assert wire.is_idle(), f"connection {number} was closed before it could ask"
        wire.write(request(f"d{number}", "free", "200", 4))
        asked.append(wire.read_response())
    slow.write(request("d-slow", "free", "200", 3)[40:])
    asked.append(slow.read_response())
    assert [(answer.status, answer.keep_alive) for answer in asked] == [(202, False)] * 5
    assert kept[3].receive() is False  # idle all along: closed in time
    wait_until(lambda: old.process is not None and old.process.poll() is not None)
    wait_until(lambda: all(new.attempt_count(trace) == 1 for trace in ("d0", "d1", "d2", "d3", "d-slow")))
    assert not any(new.notified(trace) for trace in ("d0", "d1", "d2", "d3", "d-slow"))


def test_a_detached_endpoint_of_one_process_is_detached_in_the_other(pair: tuple[World, World]) -> None:
    """To operators both processes of a hot upgrade are one sender."""
    old, new = pair
    new.start()
    assert new.operator_command(b"DETACH e5\n").startswith(b"OK")
    assert old.operator_command(b"DETACH e6\n").startswith(b"OK")
    terminate(old)
    assert DetachedEndpoints(old.folder / "state", error_raising_logger()).read() == {"e5", "e6"}
    assert new.submit("b5", "free", "200", 5, time_left_ms=2500) == 202
    assert new.submit("b6", "free", "200", 6, time_left_ms=2500) == 202
    wait_until(lambda: new.notified("b5") and new.notified("b6"))
    assert new.attempt_count("b5") == new.attempt_count("b6") == 0
