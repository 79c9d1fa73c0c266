"""Response classifier: outcome, Retry-After and load report of a response or of a failure."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from support.sender_harness import SenderHarness, wait_until
from support.server import live_messages

from ashpath.core.interface import AttemptOutcome, LoadReport
from ashpath.server.delivery.attempts import Attempt, AttemptResult
from ashpath.server.delivery.errors import (
    AttemptCancelledError,
    AttemptError,
    AttemptNotValidError,
    ConnectError,
    ConnectionLostError,
    ConnectionPoolFullError,
    DeadlineBeforeConnectError,
    EndpointNotListedError,
    InvalidResponseError,
    LocalResourceError,
    PendingNotificationError,
    ResponseTimeoutError,
    WriteError,
    WriteTimeoutError,
)
from ashpath.server.delivery.response_classifier import ResponseClassifier
from ashpath.server.http.messages import HttpResponse
from ashpath.server.storage.stored_message import StoredMessage


class DeliveryCase(NamedTuple):
    """Endpoint behaviors by attempt, traffic class, expected number of attempts and expected notification."""

    behaviors: str
    traffic_class: str
    attempts: int
    notification: str | None = None


DELIVERY_CASES = [
    DeliveryCase("200", "once", 1),
    DeliveryCase("stray", "once", 1),
    DeliveryCase("line", "once", 1),
    DeliveryCase("slow", "once", 1),
    DeliveryCase("500 200", "free", 2),
    DeliveryCase("500 200", "tag", 2),
    DeliveryCase("500", "once", 1, "undeliverable"),
    DeliveryCase("418", "once", 1, "undeliverable"),
    DeliveryCase("429 200", "once", 2),
    DeliveryCase("503 200", "once", 2),
    DeliveryCase("egress 200", "once", 2),
    DeliveryCase("504 200", "once", 2),
    DeliveryCase("410", "once", 1),
    DeliveryCase("reset 200", "free", 2),
    DeliveryCase("reset 200", "tag", 2),
    DeliveryCase("reset", "once", 1, "undeliverable"),
    DeliveryCase("hang", "once", 1, "undeliverable"),
    DeliveryCase("refused", "free", 0, "deferred"),
    DeliveryCase("refused", "once", 0, "deferred"),
    DeliveryCase("hang", "free", 1, "deferred"),
    DeliveryCase("hang", "tag", 1, "undeliverable"),
]


def attempt_with(**state: object) -> Attempt:
    """An attempt that has ended, with the given fields."""
    message = StoredMessage(1, "t", 0, 1, None, None, 0, b"")
    attempt = Attempt(message, "e1", 0, 0)
    for name, value in state.items():
        setattr(attempt, name, value)
    return attempt


def test_endpoint_behavior_determines_attempts_and_notification(harness: SenderHarness) -> None:
    """Checks the number of attempts, their headers and the notification for each endpoint behavior."""
    for number, case in enumerate(DELIVERY_CASES):
        if case.behaviors == "refused":
            harness.members[number]["host_port"] = "127.0.0.1:1"
    harness.configure()
    harness.start()
    for number, case in enumerate(DELIVERY_CASES):
        time_left = 30000 if "200" in case.behaviors or case.behaviors == "slow" else 1500
        assert harness.submit(f"r{number}", case.traffic_class, case.behaviors, number, time_left) == 202
    for number, case in enumerate(DELIVERY_CASES):
        trace_id = f"r{number}"
        wait_until(lambda trace_id=trace_id, case=case: harness.attempt_count(trace_id) >= case.attempts)  # type: ignore[misc]
        if case.notification is not None:
            expected = [case.notification]
            wait_until(lambda trace_id=trace_id, expected=expected: harness.notified(trace_id) == expected)  # type: ignore[misc]
        assert harness.attempt_count(trace_id) == case.attempts, case
        for call in harness.attempts.get(trace_id, ()):
            assert call.headers[b"idempotency-key"] == b"tag-r%d" % number
            assert call.path == b"/hook"
            assert 0 < int(call.headers[b"x-expires-in-ms"]) <= 30000
    wait_until(lambda: not live_messages(harness))
    assert len(harness.notifications) == sum(case.notification is not None for case in DELIVERY_CASES)


@pytest.mark.parametrize(
    ("report", "expected"),
    [(b"TEXT x0=0.5, x1=20", LoadReport(0.5, 20.0)), (b"TEXT x0=?, x1=20", None), (b"%%", None)],
)
def test_unreadable_load_report_is_ignored(report: bytes, expected: LoadReport | None) -> None:
    """An unreadable load report counts as absent: a remaining quota of 0 would stop all attempts."""
    response = HttpResponse()
    response.headers = {b"endpoint-load-metrics": report}
    assert ResponseClassifier(has_load_reports=True).load_report(response) == expected
    assert ResponseClassifier(has_load_reports=False).load_report(response) is None


@pytest.mark.parametrize("new_connection", [True, False])
@pytest.mark.parametrize("closes", [True, False])
@pytest.mark.parametrize("status", [503, 429, 500])
def test_full_connection_table_is_not_an_overload(new_connection: bool, closes: bool, status: int) -> None:
    """Idle connections of a fleet fill the connection tables of endpoints, which then answer the first
    request on a new connection with 503 and close the connection. Counted as an overload, this lowered rates
    and opened circuit breakers, and no sender closed idle connections."""
    response = HttpResponse()
    response.status = status
    response.keep_alive = not closes
    attempt = attempt_with(written=True, new_connection=new_connection, response=response)
    expected = AttemptOutcome.ERROR if status == 500 else AttemptOutcome.OVERLOADED
    if new_connection and closes and status == 503:
        expected = AttemptOutcome.CONNECTION_TABLE_FULL
    assert ResponseClassifier(has_load_reports=True).classify(attempt).outcome is expected


FAILURES: dict[type[AttemptError], AttemptOutcome] = {
    AttemptCancelledError: AttemptOutcome.CANCELLED,
    EndpointNotListedError: AttemptOutcome.NOT_SENT,
    AttemptNotValidError: AttemptOutcome.NOT_SENT,
    PendingNotificationError: AttemptOutcome.NOT_SENT,
    ConnectionPoolFullError: AttemptOutcome.LOCAL_FAULT,
    LocalResourceError: AttemptOutcome.LOCAL_FAULT,
    DeadlineBeforeConnectError: AttemptOutcome.NOT_SENT,
    ConnectError: AttemptOutcome.CONNECT_FAILED,
    WriteError: AttemptOutcome.CONNECT_FAILED,
    WriteTimeoutError: AttemptOutcome.CONNECT_FAILED,
    ResponseTimeoutError: AttemptOutcome.TIMED_OUT,
    ConnectionLostError: AttemptOutcome.CONNECTION_RESET,
    InvalidResponseError: AttemptOutcome.CONNECTION_RESET,
}


@pytest.mark.parametrize("failure", FAILURES, ids=lambda failure: failure.__name__)
def test_each_failure_without_response_has_its_outcome(failure: type[AttemptError]) -> None:
    """Each type of failure maps to one outcome, which is not final and has no Retry-After."""
    result = ResponseClassifier(has_load_reports=True).classify(attempt_with(failure=failure()))
    assert result == AttemptResult(FAILURES[failure])


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, {}, AttemptResult(AttemptOutcome.DELIVERED, final=True)),
        (200, {b"retry-after": b"2"}, AttemptResult(AttemptOutcome.DELIVERED, final=True)),
        (410, {}, AttemptResult(AttemptOutcome.NOT_SENT, final=True)),
        (429, {b"retry-after": b"0.25"}, AttemptResult(AttemptOutcome.OVERLOADED, retry_after=250_000)),
        (429, {b"retry-after": b"soon"}, AttemptResult(AttemptOutcome.OVERLOADED)),
        (503, {b"retry-after": b"2"}, AttemptResult(AttemptOutcome.OVERLOADED, retry_after=2_000_000)),
        (503, {b"retry-after": b"2", b"x-egress-full": b"1"}, AttemptResult(AttemptOutcome.NOT_SENT)),
        (504, {b"retry-after": b"2"}, AttemptResult(AttemptOutcome.NOT_SENT)),
        (418, {b"retry-after": b"2"}, AttemptResult(AttemptOutcome.ERROR)),
    ],
)
def test_response_status_determines_attempt_result(
    status: int, headers: dict[bytes, bytes], expected: AttemptResult
) -> None:
    """Retry-After applies only to an overload. A response takes precedence over a timeout."""
    response = HttpResponse()
    response.status = status
    response.headers = headers
    attempt = attempt_with(written=True, response=response, failure=ResponseTimeoutError())
    assert ResponseClassifier(has_load_reports=True).classify(attempt) == expected
