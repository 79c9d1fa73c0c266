"""HTTP notifier, against a receiver with scripted responses."""

from __future__ import annotations

from random import Random
from unittest.mock import Mock

import gevent
import pytest
from support.notifications import ended_message
from support.sender_harness import LIMITS, wait_until

from ashpath.server.agent_client import Headers
from ashpath.server.backoff import Backoff
from ashpath.server.delivery.http_notifier import HttpNotifier, NotificationReceiver
from ashpath.server.http.messages import HttpResponse

RECEIVER = NotificationReceiver(("127.0.0.1", 1), b"/ends", [(b"authorization", b"Bearer x")])


class ScriptedReceiver:
    """Returns the next status for each call (0: no response), the last one repeatedly; records the ids."""

    def __init__(self, statuses: list[int]) -> None:
        self.statuses = statuses
        self.batches: list[list[str]] = []
        self.request_lines: set[bytes] = set()
        self.headers: list[Headers] = []

    def call(
        self, request_line: bytes, body: bytes, timeout_s: float, headers: Headers
    ) -> HttpResponse | None:
        gevent.sleep(0)
        self.request_lines.add(request_line)
        self.headers.append(headers)
        self.batches.append([line.split('"')[3] for line in body.decode().splitlines()])
        status = self.statuses.pop(0) if len(self.statuses) > 1 else self.statuses[0]
        if not status:
            return None
        response = HttpResponse()
        response.status = status
        return response


def notify(monkeypatch: pytest.MonkeyPatch, statuses: list[int], logger: Mock) -> ScriptedReceiver:
    """Sends notifications of the messages a, b, c until all are acknowledged; returns the receiver."""
    receiver = ScriptedReceiver(statuses)
    backoff = Backoff(Random(0), min_s=0.001, max_s=0.002)
    notifier = HttpNotifier(RECEIVER, LIMITS.notifications, LIMITS.http, Mock(), logger, backoff)
    monkeypatch.setattr(notifier.connection, "call", receiver.call)
    for trace_id in "abc":
        notifier.add(ended_message(trace_id))
    running = gevent.spawn(notifier.run)
    wait_until(lambda: not notifier.has_pending)
    running.kill()
    return receiver


@pytest.mark.parametrize("status", [204, 200])
def test_acknowledged_batch_is_sent_once(monkeypatch: pytest.MonkeyPatch, status: int) -> None:
    receiver = notify(monkeypatch, [status], Mock())
    assert receiver.batches == [["a", "b", "c"]]
    assert receiver.request_lines == {b"POST /ends HTTP/1.1"}
    assert receiver.headers == [RECEIVER.headers]


@pytest.mark.parametrize("status", [0, 503, 500, 404])
def test_batch_is_resent_until_acknowledged(monkeypatch: pytest.MonkeyPatch, status: int) -> None:
    receiver = notify(monkeypatch, [status, status, 204], Mock())
    assert receiver.batches == [["a", "b", "c"]] * 3


def test_rejected_line_does_not_block_other_lines(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a 400 to a batch, lines are sent alone. A line that is rejected alone is logged and dropped, and
    the remaining lines are sent as a batch again."""
    logger = Mock()
    receiver = notify(monkeypatch, [400, 400, 204], logger)
    assert receiver.batches == [["a", "b", "c"], ["a"], ["b", "c"]]
    logger.error.assert_called_once_with(
        "notification not accepted", line='{"id":"a","status":"undeliverable"}'
    )


def test_move_changes_address_path_and_headers(monkeypatch: pytest.MonkeyPatch) -> None:
    receiver = ScriptedReceiver([204])
    notifier = HttpNotifier(
        RECEIVER, LIMITS.notifications, LIMITS.http, Mock(), Mock(), Backoff(Random(0), 0.1, 0.2)
    )
    monkeypatch.setattr(notifier.connection, "call", receiver.call)
    notifier.change_receiver(NotificationReceiver(("127.0.0.1", 2), b"/moved"))
    notifier.add(ended_message("a"))
    running = gevent.spawn(notifier.run)
    wait_until(lambda: not notifier.has_pending)
    running.kill()
    assert receiver.request_lines == {b"POST /moved HTTP/1.1"}
    assert receiver.headers == [()]
    assert notifier.connection.address == ("127.0.0.1", 2)
