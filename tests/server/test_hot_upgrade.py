"""Two processes of one sender during a hot upgrade."""

from __future__ import annotations

import signal

import gevent
from support.loggers import no_errors
from support.server import READY, terminate
from support.world import World, request, until

from ashpath.server.http.connection import HttpConnection
from ashpath.server.storage.detached_endpoints import DetachedEndpoints


def test_new_process_takes_over_on_inherited_socket(pair: tuple[World, World]) -> None:
    old, new = pair
    client = old.connect()  # a client with its connection open across the upgrade
    assert client is not None
    assert old.submit("u1", "free", "hang", 3, time_left_ms=6000) == 202  # still out when the old one ends
    new.start()  # no second bind: both take from one queue
    terminate(old)
    assert new.submit("u2", "free", "200", 4) == 202
    until(lambda: new.attempt_count("u2") == 1)
    assert client.receive() is False or not len(client.buffer)  # the old one closed it: its client moves on
    assert new.notified("u1") == ["deferred"]  # one end, told once, by whichever process had it


def open_accepted_connection(old: World, silent: bytes = b"") -> HttpConnection:
    """A connection that the old process has, its first request perhaps begun."""
    connection = old.connect()
    assert connection is not None
    connection.write(silent)
    return connection


def test_every_request_during_an_upgrade_gets_a_response(pair: tuple[World, World]) -> None:
    """Guards requests on their way at SIGTERM: on kept connections, first requests not yet begun, and ones
    that come in pieces. Each has its response, which ends its connection."""
    old, new = pair
    kept = [open_accepted_connection(old, READY) for _ in range(4)]
    assert [connection.read_response().status for connection in kept] == [200] * 4
    for connection in kept:
        connection.finish_response()
    slow = open_accepted_connection(old, request("d-slow", "free", "200", 3)[:40])
    silent = open_accepted_connection(old)
    gevent.sleep(0.3)  # the old one has them all
    new.start()
    assert old.process is not None
    old.process.send_signal(signal.SIGTERM)
    responses = []
    for number, connection in enumerate((*kept[:3], silent)):
        gevent.sleep(0.2)
        assert connection.is_idle(), f"connection {number} was closed before it could send a request"
        connection.write(request(f"d{number}", "free", "200", 4))
        responses.append(connection.read_response())
    slow.write(request("d-slow", "free", "200", 3)[40:])
    responses.append(slow.read_response())
    assert [(response.status, response.keep_alive) for response in responses] == [(202, False)] * 5
    assert kept[3].receive() is False  # idle all along: closed in time
    until(lambda: old.process is not None and old.process.poll() is not None)
    until(lambda: all(new.attempt_count(trace) == 1 for trace in ("d0", "d1", "d2", "d3", "d-slow")))
    assert not any(new.notified(trace) for trace in ("d0", "d1", "d2", "d3", "d-slow"))


def test_endpoint_detached_in_one_process_is_detached_in_both(pair: tuple[World, World]) -> None:
    """To operators both processes of a hot upgrade are one sender."""
    old, new = pair
    new.start()
    assert new.operator_command(b"DETACH e5\n").startswith(b"OK")
    assert old.operator_command(b"DETACH e6\n").startswith(b"OK")
    terminate(old)
    assert DetachedEndpoints(old.folder / "state", no_errors()).read() == {"e5", "e6"}
    assert new.submit("b5", "free", "200", 5, time_left_ms=2500) == 202
    assert new.submit("b6", "free", "200", 6, time_left_ms=2500) == 202
    until(lambda: new.notified("b5") and new.notified("b6"))
    assert new.attempt_count("b5") == new.attempt_count("b6") == 0
