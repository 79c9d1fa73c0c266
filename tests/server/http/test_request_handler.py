"""Dispatch of requests by path, and the effect of a lost response."""

from __future__ import annotations

from pathlib import Path

import pytest
from gevent import socket
from support.sender_harness import request
from support.sender_parts import ListenerSetup, SocketPairConnection, client_listener

from ashpath.server.http.request_handler import Reply

READY = b"GET /health/ready HTTP/1.1\r\n\r\n"


@pytest.fixture
def listener_setup(tmp_path: Path) -> ListenerSetup:
    return client_listener(tmp_path)


def handle(listener_setup: ListenerSetup, data: bytes, *, left: bool = False) -> Reply:
    """Returns the reply to a request whose client is connected, or has left."""
    near, far = socket.socketpair()
    far.sendall(data)
    if left:
        far.close()
    connection = SocketPairConnection(near)
    return listener_setup.listener.handler.handle(connection.read_request(), connection)


def test_readiness_is_503_in_lame_duck_and_shutdown(listener_setup: ListenerSetup) -> None:
    assert handle(listener_setup, READY).status == 200
    listener_setup.listener.availability.lame_duck = True
    assert handle(listener_setup, READY).status == 503
    listener_setup.listener.availability.lame_duck = False
    assert handle(listener_setup, READY).status == 200
    listener_setup.listener.begin_shutdown(respond_by=0.0)
    assert handle(listener_setup, READY).status == 503


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /other HTTP/1.1\r\n\r\n", 404),
        (b"GET /api HTTP/1.1\r\n\r\n", 405),
        (request("a", "x", "", 1), 400),
    ],
)
def test_unserved_request_gets_error_status(listener_setup: ListenerSetup, data: bytes, status: int) -> None:
    assert handle(listener_setup, data).status == status
    assert not listener_setup.receiver.events


def test_nothing_is_submitted_for_a_client_that_left(listener_setup: ListenerSetup) -> None:
    assert handle(listener_setup, request("a", "free", "200", 1), left=True).status == 503
    assert not listener_setup.receiver.events


def test_nothing_is_submitted_once_admission_rejects_all(listener_setup: ListenerSetup) -> None:
    listener_setup.listener.handler.admission.rejecting_all = True
    assert handle(listener_setup, request("a", "free", "200", 1)).status == 503
    assert not listener_setup.receiver.events


def test_a_lost_response_disconnects_the_client_of_an_accepted_message(listener_setup: ListenerSetup) -> None:
    handler = listener_setup.listener.handler
    handler.response_lost(handle(listener_setup, request("a", "free", "200", 1)))
    handler.response_lost(handle(listener_setup, request("a", "free", "200", 1)))  # 409: nothing was accepted
    assert listener_setup.receiver.events == ["submitted a", "disconnected a"]
