"""Two processes of one sender during a hot upgrade."""

from __future__ import annotations

import os
import signal
from functools import partial
from time import monotonic

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from support.loggers import error_raising_logger
from support.sender_harness import SenderHarness, free_address, request, wait_until
from support.server import READINESS_REQUEST, terminate

from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.storage.detached_endpoints import DetachedEndpoints
from ashpath.server.storage.file_lock import try_lock

UNLOCK_CHECK_INTERVAL_S = 0.0002
TIME_SLACK_S = 0.05  # of each limit of time (PROTOCOL)


def test_new_process_takes_over_on_inherited_socket(pair: tuple[SenderHarness, SenderHarness]) -> None:
    old, new = pair
    client = old.connect()  # a client with its connection open across the upgrade
    assert client is not None
    assert old.submit("u1", "free", "hang", 3, time_left_ms=6000) == 202  # in flight as the old process ends
    new.start()  # no second bind: both processes accept from one listening socket
    terminate(old)
    assert new.submit("u2", "free", "200", 4) == 202
    wait_until(lambda: new.attempt_count("u2") == 1)
    assert client.receive() is False or not len(client.buffer)  # closed by the old process
    assert new.notified("u1") == ["deferred"]  # one notification, from either process


def begin_shutdown(old: SenderHarness) -> None:
    """Sends SIGTERM, and waits until the shutdown has begun."""
    assert old.process is not None
    old.process.send_signal(signal.SIGTERM)
    wait_until(lambda: 'event="shutdown started"' in (old.folder / "log").read_text())


def open_accepted_connection(old: SenderHarness, data: bytes = b"") -> HttpConnection:
    """Opens a connection to the old process and writes `data`, which may be part of a request."""
    connection = old.connect()
    assert connection is not None
    connection.write(data)
    return connection


def test_every_request_during_an_upgrade_gets_a_response(pair: tuple[SenderHarness, SenderHarness]) -> None:
    """Guards against requests lost at SIGTERM: requests on kept connections, the first request of an
    accepted connection, and a request sent in pieces. Each gets its response, which closes its connection."""
    old, new = pair
    kept = [open_accepted_connection(old, READINESS_REQUEST) for _ in range(4)]
    assert [connection.read_response().status for connection in kept] == [200] * 4
    for connection in kept:
        connection.finish_response()
    slow = open_accepted_connection(old, request("d-slow", "free", "200", 3)[:40])
    silent = open_accepted_connection(old)
    gevent.sleep(0.3)  # by now the old process has accepted all connections
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
    assert kept[3].receive() is False  # a connection that stays idle is closed
    wait_until(lambda: old.process is not None and old.process.poll() is not None)
    wait_until(lambda: all(new.attempt_count(trace) == 1 for trace in ("d0", "d1", "d2", "d3", "d-slow")))
    assert not any(new.notified(trace) for trace in ("d0", "d1", "d2", "d3", "d-slow"))


def test_endpoint_detached_in_one_process_is_detached_in_both(
    pair: tuple[SenderHarness, SenderHarness],
) -> None:
    """DETACH at either process of a hot upgrade applies to both: to operators they are one sender."""
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


def test_recovering_destination_gets_no_attempt_of_the_process_that_hands_over(
    pair: tuple[SenderHarness, SenderHarness],
) -> None:
    """Guards a recovering destination against both processes of a sender, each with the sender's whole
    budget. The process that takes over adopts the message and delivers it."""
    old, new = pair
    old.kill()
    address = free_address()  # no server listens on this address yet
    old.members[3]["host_port"] = f"127.0.0.1:{address[1]}"
    rule = {"cold-from": 0.9, "ramp-time": 10000.0, "fall-multiple": 20.0, "fall": 3000.0}
    settings = old.config["settings"]
    old.config["settings"] = settings | {"contract": settings["contract"] | rule}
    old.configure()
    old.start()
    gevent.sleep(1.6)  # an outage begins only after this long without a success
    assert old.submit("held", "free", "200", 3) == 202
    log = old.folder / "log"
    wait_until(lambda: "destination 3 ailing" in log.read_text())
    new.start()
    assert old.process is not None
    old.process.send_signal(signal.SIGTERM)
    wait_until(lambda: "shutdown started" in log.read_text())
    recovered_endpoint = StreamServer(address, old.serve_endpoint)
    recovered_endpoint.start()
    attempts = 0
    while old.process.poll() is None:  # read after the count: the other process adopts after the exit only
        assert not attempts
        attempts = old.attempt_count("held")
        gevent.sleep(0.02)
    wait_until(lambda: new.attempt_count("held") == 1)
    recovered_endpoint.stop()


# The log was unlocked some 10 ms before the process ended: the other process adopted and delivered a message
# while the attempt of this one was out.
@pytest.mark.parametrize("with_inherited_socket", [True, False], ids=["hot upgrade", "restart"])
def test_log_is_unlocked_after_attempts_have_ended(
    pair: tuple[SenderHarness, SenderHarness], *, with_inherited_socket: bool
) -> None:
    old, _ = pair
    old.kill()
    if not with_inherited_socket:
        old.inherited, old.address = None, free_address()
    connections: list[socket.socket] = []

    def respond_late_then_hang(connection: socket.socket, _: object) -> None:
        while connection.recv(1 << 16):
            connections.append(connection)
            gevent.sleep(1.8 if len(connections) == 1 else 60.0)  # 60 s: until after the process's end
            connection.sendall(encode_message(b"HTTP/1.1 200 OK", [], b""))

    endpoint = StreamServer(("127.0.0.1", 0), respond_late_then_hang)
    endpoint.start()
    old.members[3]["host_port"] = f"127.0.0.1:{endpoint.server_port}"
    old.configure()
    old.start()
    assert old.submit("first", "tag", "", 3, ordering_key="k") == 202
    assert old.submit("out", "tag", "", 3, ordering_key="k") == 202
    wait_until(lambda: connections)
    log_lock = os.open(old.folder / "state" / "journal.lock", os.O_RDWR)
    assert old.process is not None
    old.process.send_signal(signal.SIGTERM)
    while not try_lock(log_lock):
        gevent.sleep(UNLOCK_CHECK_INTERVAL_S)
    assert len(connections) == 2
    connections[1].settimeout(0)
    assert connections[1].recv(1, socket.MSG_PEEK) == b""  # raises BlockingIOError while the attempt is out
    os.close(log_lock)
    endpoint.stop()


# A copy of a request that reached the other process was delivered a second time (soak seeds 3 and 46).
def test_copy_that_reaches_the_other_process_is_recognized(
    pair: tuple[SenderHarness, SenderHarness],
) -> None:
    old, new = pair
    assert old.submit("done", "once", "200", 1) == 202
    assert old.submit("out", "free", "hang", 2, time_left_ms=3000) == 202
    wait_until(lambda: old.attempt_count("done") and old.attempt_count("out"))
    new.start()
    begin_shutdown(old)
    assert new.submit("done", "once", "200", 1) == 409
    assert new.submit("out", "free", "200", 2) == 409
    assert new.attempt_count("done") == new.attempt_count("out") == 1


def test_message_waits_for_predecessor_of_its_key_in_old_process(
    pair: tuple[SenderHarness, SenderHarness],
) -> None:
    """The two processes are one sender: the new one does not call a message before the outcome of an earlier
    message with its key, which the old process still has."""
    old, new = pair
    assert old.submit("o1", "tag", "hang", 3, time_left_ms=3000, ordering_key="k") == 202
    wait_until(lambda: old.attempt_count("o1"))
    new.start()
    begin_shutdown(old)
    assert new.submit("o2", "tag", "200", 3, ordering_key="k") == 202
    wait_until(lambda: new.attempt_count("o2"))
    assert new.notified("o1")


# The old process's message went out beside the earlier one of its key, whose endpoint hung at the new process
# (review/9).
def test_adopted_message_waits_for_the_earlier_one_of_its_key_that_is_in_flight(
    pair: tuple[SenderHarness, SenderHarness],
) -> None:
    old, new = pair
    client_of_old = open_accepted_connection(old, READINESS_REQUEST)
    client_of_old.read_response()
    client_of_old.finish_response()
    new.start()
    begin_shutdown(old)
    for number in range(3):  # the new process learns that the destination is well
        assert new.submit(f"warm-{number}", "tag", "200", 3) == 202
        wait_until(partial(new.attempt_count, f"warm-{number}"))
    assert new.submit("first", "tag", "hang", 3, time_left_ms=5500, ordering_key="k") == 202
    wait_until(lambda: new.attempt_count("first"))
    client_of_old.write(request("second", "tag", "200", 3, ordering_key="k"))
    assert client_of_old.read_response().status == 202
    assert new.submit("third", "tag", "200", 3, ordering_key="k") == 202
    wait_until(lambda: 'event="write-ahead log adopted" messages=1' in (old.folder / "log").read_text())
    while not new.notified("first"):
        assert not new.attempt_count("second")
        assert not new.attempt_count("third")
        gevent.sleep(0.01)
    wait_until(lambda: new.attempt_count("third"))
    assert list(new.attempts)[-3:] == ["first", "second", "third"]


# The next message of a key went out 3 to 25 ms after the other process gave up its call (review/10).
def test_key_rests_after_a_call_that_the_other_process_gave_up(
    pair: tuple[SenderHarness, SenderHarness],
) -> None:
    old, new = pair
    settle_s = old.config["settings"]["contract"]["order-settle"] / 1000
    assert old.submit("given-up", "tag", "hang", 3, time_left_ms=2000, ordering_key="k") == 202
    wait_until(lambda: old.attempt_count("given-up"))
    new.start()
    begin_shutdown(old)
    assert new.submit("next", "tag", "200", 3, ordering_key="k") == 202
    wait_until(lambda: new.notified("given-up"))  # some ms after the call was given up
    given_up_at = monotonic()
    wait_until(lambda: new.attempt_count("next"))
    assert monotonic() - given_up_at >= settle_s - TIME_SLACK_S
