"""Batches of the policy: recording of attempts, ordering keys, duplicate submissions."""

from __future__ import annotations

import errno
from http import HTTPStatus
from time import monotonic, sleep

import gevent
import pytest
from support.sender_harness import LIMITS, SenderHarness, request, wait_until
from support.sender_parts import read_request

from ashpath.server.delivery.attempts import Attempt
from ashpath.server.delivery.notifier import encode_batch
from ashpath.server.delivery.response_notices import RetryAfterNotice
from ashpath.server.http.admission import AdmissionResult
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.messages import HttpRequest
from ashpath.server.platform_deployment import create_runtime
from ashpath.server.self_checks import Check
from ashpath.server.sender import Sender
from ashpath.server.storage.shared_memory_layout import read_notices
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.timers import stored_time


@pytest.fixture
def sender(harness: SenderHarness, monkeypatch: pytest.MonkeyPatch) -> Sender:
    """A sender in this process, restored from its state directory; it does not listen."""
    for name, value in harness.environment().items():
        monkeypatch.setenv(name, value)
    sender = create_runtime()[0].sender
    sender.delivery.policy_runner.restore(list(sender.delivery.registry.records.values()))
    return sender


def submit(sender: Sender, data: bytes) -> tuple[StoredMessage, AdmissionResult]:
    """Submits a request; returns its message and the result of its admission."""
    admission = sender.clients.admission
    message = admission.parser.parse(read_request(data))
    return message, admission.admit(message)


def test_resubmission_during_an_attempt_starts_no_second_attempt(
    harness: SenderHarness, sender: Sender
) -> None:
    """Guards against concurrent attempts of one message: a client disconnects before its 202 is sent, and
    submits the message again. No second attempt starts beside the first, also after a kill, as the
    write-ahead log keeps the attempt until its outcome is known."""
    runner = sender.delivery.policy_runner
    live = sender.delivery.write_ahead_log.messages.live
    data = request("a", "once", "slow 200", 1)
    message, result = submit(sender, data)
    assert result.status is HTTPStatus.ACCEPTED
    wait_until(lambda: harness.attempt_count("a") == 1)
    runner.client_disconnected(message)
    assert submit(sender, data)[1] == AdmissionResult(HTTPStatus.CONFLICT)
    assert live[message.message_id].in_flight_since is not None
    assert not runner.messages
    wait_until(lambda: not runner.attempts)
    assert not live
    assert not runner.abandoned
    assert submit(sender, data)[1] == AdmissionResult(HTTPStatus.CONFLICT)  # it ran, and must not run twice
    assert not runner.attempts
    assert harness.attempt_count("a") == 1


@pytest.mark.parametrize("retry_after", [None, 0, 1_500_000])
def test_final_state_in_the_submission_batch_is_returned_to_the_client(
    sender: Sender, monkeypatch: pytest.MonkeyPatch, retry_after: int | None
) -> None:
    """The waiting client gets the final state as its response; no notification is sent, and nothing of the
    message is kept. The present policy reaches a final state in later batches only, but its interface
    allows it in any batch."""
    runner = sender.delivery.policy_runner

    def decide(message_id: int, *_: object) -> None:
        if retry_after is None:
            runner.actions.fail(message_id)
        else:
            runner.actions.reject(message_id, retry_after)

    monkeypatch.setattr(runner.policy, "submit", decide)
    _, result = submit(sender, request("a", "free", "200", 1))
    if retry_after is None:
        assert result == AdmissionResult(HTTPStatus.INTERNAL_SERVER_ERROR)
    else:
        assert result == AdmissionResult(HTTPStatus.SERVICE_UNAVAILABLE, retry_after)
    assert not runner.messages
    assert not sender.delivery.write_ahead_log.messages.live
    assert not sender.delivery.notifier.has_pending


def test_actions_of_failed_batch_are_performed_with_the_next(
    sender: Sender, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A batch that an exception leaves performs no action; the next batch performs the actions queued by
    then."""
    runner = sender.delivery.policy_runner
    submit_to_policy = runner.policy.submit

    def fail_after_submission(*arguments: int) -> None:
        submit_to_policy(*arguments)
        runner.actions.publish(b"back 1 e1")
        raise ZeroDivisionError

    published: list[bytes] = []
    monkeypatch.setattr(sender.delivery.gossip_link, "publish", published.append)
    with monkeypatch.context() as patch:
        patch.setattr(runner.policy, "submit", fail_after_submission)
        with pytest.raises(ZeroDivisionError):
            submit(sender, request("a", "free", "200", 1))
    assert not published
    assert not runner.attempts
    assert submit(sender, request("b", "free", "200", 2))[1].status is HTTPStatus.ACCEPTED
    assert published == [b"back 1 e1"]
    wait_until(lambda: not runner.attempts)


def test_ordered_message_waits_for_notification_of_its_predecessor(
    harness: SenderHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the order of an ordering key: a message that was given up is finished only once the platform
    has accepted its notification, also when a restart finds the notification pending."""
    attempts_seen: list[tuple[str, bool]] = []
    respond = harness.respond

    def record(connection: HttpConnection, call: HttpRequest) -> bool:
        attempts_seen.append((call.headers[b"x-trace-id"].decode(), bool(harness.notified("one"))))
        return respond(connection, call)

    monkeypatch.setattr(harness, "respond", record)
    harness.notifications_to_reject = 10**6
    harness.start()
    assert harness.submit("one", "tag", "hang", 1, time_left_ms=700, ordering_key="k") == 202
    assert harness.submit("two", "tag", "200", 1, ordering_key="k") == 202
    assert harness.submit("other", "tag", "200", 2, ordering_key="j") == 202
    # Its notification is pending, and was rejected.
    wait_until(lambda: harness.notifications_to_reject < 10**6 - 2)
    wait_until(lambda: harness.attempt_count("other") > 0)
    harness.kill()
    harness.start()
    wait_until(lambda: harness.notifications_to_reject < 10**6 - 6)
    assert not harness.attempt_count("two")
    harness.notifications_to_reject = 0
    wait_until(lambda: harness.attempt_count("two") > 0)
    assert ("two", True) in attempts_seen
    assert ("two", False) not in attempts_seen


def test_full_disk_delays_the_attempt_until_recorded(
    harness: SenderHarness, sender: Sender, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against unrecorded attempts, which could run twice after a restart, and against retries
    within the same batch, which would use up all attempts."""
    write_ahead_log = sender.delivery.write_ahead_log
    record_attempt = write_ahead_log.record_attempt
    failure_times: list[float] = []

    def fail_then_record(message: StoredMessage, at: int, endpoint_id: str) -> None:
        if len(failure_times) < 3:
            failure_times.append(monotonic())
            raise OSError(errno.ENOSPC, "no space")
        record_attempt(message, at, endpoint_id)

    monkeypatch.setattr(write_ahead_log, "record_attempt", fail_then_record)
    gevent.get_hub().loop.update_now()  # startup took time, and timers start from the loop's time
    assert submit(sender, request("a", "once", "200", 1))[1].status is HTTPStatus.ACCEPTED
    wait_until(lambda: len(failure_times) == 1)
    wait_until(lambda: harness.attempt_count("a") == 1 and not write_ahead_log.messages.live)
    assert len(failure_times) == 3
    assert failure_times[2] - failure_times[0] > 1.5 * LIMITS.services.retry_s


# A wait that arrived while the disk took the record of an attempt did not bind that attempt.
def test_attempt_whose_record_took_long_is_checked_again(
    harness: SenderHarness, sender: Sender, monkeypatch: pytest.MonkeyPatch
) -> None:
    runner = sender.delivery.policy_runner
    record = runner.record_attempt

    def record_slowly(attempt: Attempt) -> bool:
        monkeypatch.setattr(runner, "record_attempt", record)
        sleep(0.1)  # the whole process is held up
        gevent.spawn(runner.retry_after_noticed, RetryAfterNotice(1, "e1", 600_000, outcome_follows=False))
        return record(attempt)

    monkeypatch.setattr(runner, "record_attempt", record_slowly)
    message, _ = submit(sender, request("a", "once", "200", 1))
    wait_until(lambda: not runner.attempts)
    assert not harness.attempts
    assert message.in_flight_since is None  # recorded as not sent


# The recordings of report 55d9f2 did not say whether the sender knew of the wait in which it called.
def test_call_during_known_wait_fails_self_check(harness: SenderHarness, sender: Sender) -> None:
    runner = sender.delivery.policy_runner
    checks = runner.checks
    runner.attempt_runner.pool.notices.waits.add(1, "another endpoint", 0.2)
    for number, failures in ((1, 1), (2, 1)):  # of destination 1, and of another one
        submit(sender, request(f"m{number}", "once", "200", number))
        wait_until(lambda number=number: harness.attempt_count(f"m{number}"))  # type: ignore[misc]  # bound in the loop
        assert checks.failures[Check.NO_RETRY_AFTER] == failures


# A wait that one process of a hot upgrade hears in a response that does not count binds the other one too.
def test_wait_without_outcome_is_published_for_the_other_process(sender: Sender) -> None:
    runner = sender.delivery.policy_runner
    runner.retry_after_noticed(RetryAfterNotice(1, "e1", 600_000, outcome_follows=False))
    assert runner.shared_memory.own is not None
    (published,) = read_notices(runner.shared_memory.own).values()
    assert (published.destination, published.endpoint) == (1, "e1")
    assert 0 < published.end - stored_time() <= 600_000


# A delivery that was put in doubt while the disk took no records was notified by the line "None", which no
# receiver accepts: its notice, and with some receivers all behind it, never arrived.
def test_delivery_in_doubt_is_notified_while_the_log_takes_no_records(
    sender: Sender, monkeypatch: pytest.MonkeyPatch
) -> None:
    runner = sender.delivery.policy_runner
    monkeypatch.setattr(sender.delivery.write_ahead_log, "record_submitted", lambda _: False)
    message = StoredMessage(99, "in-doubt", 0, 1, None, None, 0, b"", finished=True)
    runner.delivery_in_doubt(message)
    assert encode_batch([message]) == b'{"id":"in-doubt","status":"undeliverable"}\n'
