"""Dispatch of requests by path, and the effect of a lost response."""

from __future__ import annotations

from pathlib import Path

import pytest
from gevent import socket
from support.stages import ListenerStages, SocketPairConnection, client_listener
from support.world import request

from ashpath.server.http.request_handler import Reply

READY = b"GET /health/ready HTTP/1.1\r\n\r\n"


@pytest.fixture
def stages(tmp_path: Path) -> ListenerStages:
    return client_listener(tmp_path)


def handle(stages: ListenerStages, data: bytes, *, left: bool = False) -> Reply:
    """Returns the reply to a request whose client is connected, or has left."""
    near, far = socket.socketpair()
    far.sendall(data)
    if left:
        far.close()
    connection = SocketPairConnection(near)
    return stages.listener.handler.handle(connection.read_request(), connection)


def test_readiness_is_503_in_lame_duck_and_shutdown(stages: ListenerStages) -> None:
    assert handle(stages, READY).status == 200
    stages.listener.availability.lame_duck = True
    assert handle(stages, READY).status == 503
    stages.listener.availability.lame_duck = False
    assert handle(stages, READY).status == 200
    stages.listener.begin_shutdown(respond_by=0.0)
    assert handle(stages, READY).status == 503


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /other HTTP/1.1\r\n\r\n", 404),
        (b"GET /api HTTP/1.1\r\n\r\n", 405),
        (request("a", "x", "", 1), 400),
    ],
)
def test_unserved_request_gets_error_status(stages: ListenerStages, data: bytes, status: int) -> None:
    assert handle(stages, data).status == status
    assert not stages.receiver.events


def test_nothing_is_submitted_for_a_client_that_left(stages: ListenerStages) -> None:
    assert handle(stages, request("a", "free", "200", 1), left=True).status == 503
    assert not stages.receiver.events


def test_nothing_is_submitted_once_admission_rejects_all(stages: ListenerStages) -> None:
    stages.listener.handler.admission.rejecting_all = True
    assert handle(stages, request("a", "free", "200", 1)).status == 503
    assert not stages.receiver.events


def test_a_lost_response_disconnects_the_client_of_an_accepted_message(stages: ListenerStages) -> None:
    handler = stages.listener.handler
    handler.response_lost(handle(stages, request("a", "free", "200", 1)))
    handler.response_lost(handle(stages, request("a", "free", "200", 1)))  # 409: nothing was accepted
    assert stages.receiver.events == ["submitted a", "disconnected a"]
