"""Clients that leave: what becomes of their requests, and of ids that come again."""

from __future__ import annotations

import gevent
from gevent import socket
from support.sender_harness import SenderHarness, request, reset_connection, wait_until
from support.server import terminate

REQUESTS = 30
BATCH = 40  # requests that a client writes at once


def write_and_leave(harness: SenderHarness, data: bytes, *, reset: bool = False) -> None:
    """Writes bytes on a new connection, and leaves without reading."""
    sock = socket.create_connection(harness.address)
    sock.sendall(data)
    if reset:
        reset_connection(sock)
    else:
        sock.close()


def test_requests_that_a_client_left_unread_are_not_sent(harness: SenderHarness) -> None:
    """Guards against requests that run after their client has left with much still unread (report 8f57f7,
    picture (c)): behind the first bytes of one request lie others, so none of them is accepted."""
    harness.start()
    for number in range(REQUESTS):
        batch = b"".join(request(f"m{number}-{each}", "once", "200", each) for each in range(BATCH))
        write_and_leave(harness, batch, reset=number % 2 == 0)
    assert harness.submit("last", "once", "200", 1) == 202
    wait_until(lambda: harness.attempt_count("last"))
    gevent.sleep(0.3)
    assert harness.attempts.keys() == {"last"}


def test_id_of_client_that_left_runs_once_at_both_processes(
    pair: tuple[SenderHarness, SenderHarness],
) -> None:
    """Guards against an id that runs twice when it comes again after its client has left, at either process
    of an upgrade, from the moment in which the new one accepts (report 8f57f7, picture (c))."""
    old, new = pair
    ids = [f"m{number}" for number in range(REQUESTS)]
    starting = gevent.spawn(new.start)
    for _ in range(4):
        for trace_id in ids:
            write_and_leave(old, request(trace_id, "once", "200", 1))
            old.submit(trace_id, "once", "200", 1)
    starting.get()
    for trace_id in ids:
        write_and_leave(old, request(trace_id, "once", "200", 1))
        old.submit(trace_id, "once", "200", 1)
    terminate(old)
    for trace_id in ids:
        old.submit(trace_id, "once", "200", 1)
    wait_until(lambda: all(old.attempt_count(trace_id) for trace_id in ids))
    gevent.sleep(0.3)
    assert {trace_id: old.attempt_count(trace_id) for trace_id in ids} == dict.fromkeys(ids, 1)
