"""Shutdown at SIGTERM: which requests are finished, which are rejected, and when the process ends."""

from __future__ import annotations

import signal
from time import monotonic

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer
from support.sender_harness import LIMITS, SETTINGS, SenderHarness, request, reset_connection, wait_until
from support.server import live_messages

from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message


def test_sigterm_finishes_accepted_requests_and_exits(harness: SenderHarness) -> None:
    harness.start()
    kept, idle = harness.connect(), harness.connect()
    assert kept is not None
    assert idle is not None
    assert harness.process is not None
    kept.write(request("t0", "once", "slow", 0))
    assert kept.read_response().status == 202
    kept.finish_response()
    harness.submit("t1", "tag", "hang 200", 1)
    wait_until(lambda: harness.attempt_count("t0") and harness.attempt_count("t1"))
    harness.process.send_signal(signal.SIGTERM)
    wait_until(lambda: harness.response_status(encode_message(b"GET /health/ready HTTP/1.1", [], b"")) == 503)
    kept.write(request("t2", "free", "200", 2))  # requests are still accepted for a limited time
    response = kept.read_response()
    assert response.status == 202
    assert not response.keep_alive
    assert response.headers[b"connection"] == b"close"
    assert not idle.receive()  # closed at the end of that time
    assert harness.submit("t3", "free", "200", 3) == 503
    wait_until(lambda: harness.process is None or harness.process.poll() is not None)
    assert harness.process.returncode == 0
    assert harness.attempt_count("t2") == 1
    assert not harness.attempt_count("t3")
    assert [entry.trace_id for entry in live_messages(harness).values()] == ["t1"]
    harness.start()
    wait_until(lambda: harness.attempt_count("t1") == 2)
    wait_until(lambda: not live_messages(harness))
    assert harness.attempt_count("t0") == 1
    assert not harness.notifications


def test_second_sigterm_does_not_extend_the_shutdown(harness: SenderHarness) -> None:
    """The deadlines of the first SIGTERM stay in force: a client in the middle of a request gets its
    response by then."""
    harness.start()
    assert harness.process is not None
    hanging_request = request("out", "once", "hang", 1)
    assert harness.response_status(hanging_request) == 202
    wait_until(lambda: harness.attempt_count("out"))
    started_at = monotonic()
    harness.process.send_signal(signal.SIGTERM)
    gevent.sleep(1.2)
    harness.process.send_signal(signal.SIGTERM)
    connection = harness.connect()
    assert connection is not None
    connection.write(b"POST /api HTTP/1.1\r\n")
    assert connection.read_response().status == 503
    assert monotonic() - started_at < 3.45
    wait_until(lambda: harness.process is None or harness.process.poll() is not None)
    assert harness.process.returncode == 0
    assert monotonic() - started_at < 3.7


def test_queued_attempt_avoids_endpoint_drained_during_shutdown(harness: SenderHarness) -> None:
    """A message that is queued at SIGTERM still has its attempt, but not at an endpoint that begins to
    drain meanwhile. A notification that the platform rejects is sent by the next incarnation."""
    received_requests: list[object] = []
    release = Event()

    def hang(sock: socket.socket, _: object) -> None:
        received_requests.append(HttpConnection(sock, LIMITS.http).read_request())
        release.wait()
        reset_connection(sock)

    draining_server = StreamServer(("127.0.0.1", 0), hang)
    draining_server.start()
    harness.members[1]["host_port"] = f"127.0.0.1:{draining_server.server_port}"
    harness.members[1]["id"] = "old"
    harness.config["settings"] = {**SETTINGS, "contract": {"drain-grace": 0.0, "order-settle": 200.0}}
    harness.configure()
    harness.start()
    assert harness.process is not None
    for trace in ("first", "second"):
        assert harness.submit(trace, "tag", "200", 1, ordering_key="k") == 202
    wait_until(lambda: received_requests)  # the first message hangs; the second waits for it
    harness.notifications_to_reject = 10**6
    assert harness.submit("given-up", "once", "hang", 2, time_left_ms=300) == 202
    harness.process.send_signal(signal.SIGTERM)
    successor = {**harness.members[1], "id": "e1", "host_port": harness.members[2]["host_port"]}
    listed_members = [*harness.members, {**harness.members[1], "phase": "draining"}, successor]
    harness.config["known"] = {"revision": 9, "complete": True, "members": listed_members}
    before = sum(harness.poll_counts.values())
    wait_until(lambda: sum(harness.poll_counts.values()) > before + 1)  # the sender has polled the new list
    release.set()  # the hanging attempt ends, and may be retried
    wait_until(lambda: harness.process is None or harness.process.poll() is not None)
    assert len(received_requests) == 1
    harness.notifications_to_reject = 0
    harness.configure()
    harness.start()
    wait_until(lambda: harness.attempt_count("second") == 1 and harness.notified("given-up"))
    assert len(received_requests) == 1
    draining_server.stop(timeout=0)
