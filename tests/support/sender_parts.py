"""Parts of a sender without a process, with test doubles for the others, for tests that control the order of
concurrent events.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import NamedTuple

import pytest
import structlog
from gevent import socket

from ashpath.core.interface import AttemptOutcome
from ashpath.server.backoff import Backoff
from ashpath.server.delivery.attempt_log import AttemptLog
from ashpath.server.delivery.attempt_runner import AttemptRunner
from ashpath.server.delivery.attempts import Attempt, AttemptResult
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.delivery.http_notifier import HttpNotifier, NotificationReceiver
from ashpath.server.delivery.outcome_recorder import ACCEPTED, OutcomeRecorder, SubmitResult
from ashpath.server.delivery.response_classifier import ResponseClassifier
from ashpath.server.http.admission import Admission
from ashpath.server.http.buffer_memory import RequestMemory
from ashpath.server.http.client_socket import ClientSocket
from ashpath.server.http.listener import ClientListener
from ashpath.server.http.messages import HttpRequest
from ashpath.server.http.turn_queue import TurnQueue
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.timers import now
from support.limits import connection_pool, limits_with
from support.sender_harness import LIMITS, POLICY_SETTINGS, TRAFFIC_CLASSES, SenderHarness


def unreachable_notifier(write_ahead_log: WriteAheadLog) -> HttpNotifier:
    """Returns a notifier that is never started, so its notifications stay pending."""
    receiver = NotificationReceiver(("127.0.0.1", 1))
    backoff = Backoff(Random(0), LIMITS.services.retry_s, LIMITS.notifications.notification_backoff_s)
    return HttpNotifier(
        receiver, LIMITS.notifications, LIMITS.http, write_ahead_log, structlog.get_logger(), backoff
    )


class RecordingReceiver:
    """A test double of the policy runner that records the events. Each submission returns `submit_result`."""

    def __init__(self) -> None:
        self.messages: dict[int, StoredMessage | None] = {}
        self.events: list[str] = []
        self.on_submit: Callable[[], None] | None = None  # called during each submission
        self.submit_result = ACCEPTED

    def submit(self, message: StoredMessage) -> SubmitResult:
        self.events.append(f"submitted {message.trace_id}")
        if self.on_submit is not None:
            self.on_submit()
        return self.submit_result

    def client_disconnected(self, message: StoredMessage) -> None:
        self.events.append(f"disconnected {message.trace_id}")


class ListenerSetup(NamedTuple):
    """A client listener, the receiver of its messages, and its write-ahead log."""

    listener: ClientListener
    receiver: RecordingReceiver
    write_ahead_log: WriteAheadLog


def client_listener(folder: Path, max_bytes: int = 1 << 20, **limits: float) -> ListenerSetup:
    """Returns a listener for destination 1, not bound to a socket. `limits` replace the defaults."""
    server_limits = limits_with(**limits)
    log = WriteAheadLog(folder, max_bytes)
    receiver = RecordingReceiver()
    logger = structlog.get_logger()
    registry = EndpointRegistry(["plain"], ["here"], connection_pool(server_limits), logger)
    registry.apply_members(
        [{"id": "e1", "cell": 1, "phase": "up", "host_port": "127.0.0.1:1"}], complete=True
    )
    class_ids = {name: number for number, name in enumerate(TRAFFIC_CLASSES)}
    admission = Admission(POLICY_SETTINGS, class_ids, registry, receiver, log, logger)
    listener = ClientListener(("127.0.0.1", 1), server_limits.clients, server_limits.http, admission, logger)
    return ListenerSetup(listener, receiver, log)


class SocketPairConnection(ClientSocket):
    """A connection over one of a pair of Unix sockets, which do not support TCP options."""

    def __init__(self, sock: socket.socket) -> None:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(socket.socket, "setsockopt", lambda *_: None)
            super().__init__(sock, LIMITS.http, RequestMemory(), TurnQueue(LIMITS.clients.turn_s))


def read_request(data: bytes) -> HttpRequest:
    """Returns the request that the bytes encode."""
    local_end, remote_end = socket.socketpair()
    remote_end.sendall(data)
    return SocketPairConnection(local_end).read_request()


class DeliverySetup:
    """The parts that run attempts, and a test double of the policy runner that records their outcomes."""

    def __init__(self, harness: SenderHarness) -> None:
        logger = structlog.get_logger()
        write_ahead_log = WriteAheadLog(harness.folder, LIMITS.storage.disk_bytes)
        notifier = unreachable_notifier(write_ahead_log)
        self.pool = connection_pool()
        self.registry = EndpointRegistry(["plain"], ["here"], self.pool, logger)
        self.registry.apply_members(harness.members, complete=True)
        self.recorder = OutcomeRecorder(write_ahead_log, notifier, uncertain_messages=self.pool.attribution)
        classifier = ResponseClassifier(has_load_reports=True)
        self.runner = AttemptRunner(
            self.pool,
            self.registry,
            classifier,
            notifier,
            write_ahead_log.predecessors,
            AttemptLog(logger),
            logger,
        )
        self.outcomes: list[AttemptOutcome] = []
        self.confirmed: list[str] = []  # trace ids of provisional deliveries
        self.doubtful: list[str] = []
        self.invalid: set[str] = set()  # trace ids of messages for which `still_valid` returns False

    def still_valid(self, message: StoredMessage) -> bool:
        return message.trace_id not in self.invalid

    def record_attempt(self, attempt: Attempt) -> bool:
        return True

    def before_first_byte(self, attempt: Attempt) -> None:
        pass

    def attempt_finished(self, attempt: Attempt, result: AttemptResult) -> None:
        self.recorder.record_attempt(attempt.message, result)
        self.outcomes.append(result.outcome)

    def refusal_confirmed(self, message: StoredMessage) -> None:
        self.confirmed.append(f"{message.trace_id} refused")

    def delivery_in_doubt(self, message: StoredMessage) -> None:
        self.doubtful.append(message.trace_id)

    def start(self, trace_id: str, body: bytes, endpoint_id: str = "e1", timeout: int = 5_000_000) -> Attempt:
        """Starts an attempt at an endpoint with a time-out in microseconds."""
        self.last_message = StoredMessage(1, trace_id, 0, 1, None, None, 0, body)
        return self.retry(self.last_message, endpoint_id, timeout)

    def retry(self, message: StoredMessage, endpoint_id: str = "e1", timeout: int = 5_000_000) -> Attempt:
        """Starts another attempt of a message."""
        attempt = Attempt(message, endpoint_id, now() + timeout, timeout)
        self.runner.start(attempt, self)
        return attempt
