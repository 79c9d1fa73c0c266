"""Admission of requests: acceptance, and rejection with its reason."""

from __future__ import annotations

import os
from http import HTTPStatus
from pathlib import Path

import pytest
from support.sender_harness import POLICY_SETTINGS, request
from support.sender_parts import client_listener, read_request

from ashpath.server.delivery.outcome_recorder import SubmitDecision, SubmitResult
from ashpath.server.http.admission import Admission, AdmissionResult
from ashpath.server.storage.disk_account import RESERVE_BYTES
from ashpath.server.storage.write_ahead_log import WriteAheadLog

SAME_TRACE_ID = (request("i", "free", "200", 1), request("i", "once", "500", 1))


def admission_and_log(folder: Path, max_bytes: int = 1 << 20) -> tuple[Admission, WriteAheadLog]:
    """Returns the admission of a new listener, and its write-ahead log."""
    listener, _, write_ahead_log = client_listener(folder, max_bytes)
    return listener.handler.admission, write_ahead_log


def test_trace_id_of_live_message_is_rejected_as_duplicate(tmp_path: Path) -> None:
    """The same trace id from another client creates no second message while the first is unfinished."""
    listener, receiver, write_ahead_log = client_listener(tmp_path)
    admission = listener.handler.admission
    first, second = (read_request(data) for data in SAME_TRACE_ID)
    assert admission.admit(admission.parser.parse(first)) == AdmissionResult(HTTPStatus.ACCEPTED)
    assert admission.admit(admission.parser.parse(second)) == AdmissionResult(HTTPStatus.CONFLICT)
    assert len(write_ahead_log.messages.live) == 1
    assert receiver.events == ["submitted i"]
    write_ahead_log.record_finished(next(iter(write_ahead_log.messages.live.values())))
    assert not write_ahead_log.messages.by_trace_id


REJECTIONS = {
    SubmitResult(SubmitDecision.REJECTED, 2_500_000): AdmissionResult(
        HTTPStatus.SERVICE_UNAVAILABLE, 2_500_000
    ),
    SubmitResult(SubmitDecision.REJECTED): AdmissionResult(HTTPStatus.SERVICE_UNAVAILABLE),
    SubmitResult(SubmitDecision.FAILED): AdmissionResult(HTTPStatus.INTERNAL_SERVER_ERROR),
}


@pytest.mark.parametrize("result", REJECTIONS, ids=repr)
def test_policy_rejection_gives_its_status_and_retry_after(tmp_path: Path, result: SubmitResult) -> None:
    """The response tells the client what the policy decides in the batch of the submission."""
    listener, receiver, _ = client_listener(tmp_path)
    receiver.submit_result = result
    admission = listener.handler.admission
    message = admission.parser.parse(read_request(request("r", "free", "200", 1)))
    assert admission.admit(message) == REJECTIONS[result]


def test_full_write_ahead_log_rejects_messages_and_loses_none(tmp_path: Path) -> None:
    """Guards against a log that outgrows its share of the disk while its old and its new file exist together:
    messages that do not fit are answered 503, and no accepted message is lost."""
    max_bytes = 8 * RESERVE_BYTES
    admission, write_ahead_log = admission_and_log(tmp_path, max_bytes)
    statuses: list[int] = []
    sizes: list[int] = []
    original_replace = os.replace

    def recording_replace(new: Path, old: Path) -> None:
        sizes.append(sum(file.stat().st_size + 512 for file in tmp_path.iterdir()))
        original_replace(new, old)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("ashpath.server.storage.log_file.os.replace", recording_replace)
        for number in range(60):
            data = request(f"f{number}", "free", "200" * 100, 1)
            message = admission.parser.parse(read_request(data))
            statuses.append(admission.admit(message).status)
            if statuses[-1] == 202:
                write_ahead_log.record_attempt(message, 1, "e1")
                write_ahead_log.record_outcome(message, may_have_run=True)
                write_ahead_log.record_attempt(message, 2, "e1")
        assert statuses.count(503) > 20
        assert statuses.count(202) == len(write_ahead_log.messages.live) > 5
        for _ in range(300):
            write_ahead_log.record_outcome(
                message := next(iter(write_ahead_log.messages.live.values())), may_have_run=True
            )
            write_ahead_log.record_attempt(message, 3, "e1")
    assert sizes
    assert max(sizes) <= max_bytes
    write_ahead_log.close()
    reopened = WriteAheadLog(tmp_path, max_bytes)
    assert reopened.messages.live.keys() == write_ahead_log.messages.live.keys()
    assert next(iter(reopened.messages.live.values())).attempts == 302
    for message in list(reopened.messages.live.values()):
        reopened.record_finished(message)
    assert not reopened.messages.live
    assert reopened.messages.reserved_bytes == 0


def test_message_beyond_queue_capacity_is_rejected(tmp_path: Path) -> None:
    listener, receiver, write_ahead_log = client_listener(tmp_path)
    admission = listener.handler.admission
    receiver.messages = dict.fromkeys(range(POLICY_SETTINGS.queue_capacity))
    message = admission.parser.parse(read_request(request("r", "free", "200", 1)))
    assert admission.admit(message) == AdmissionResult(HTTPStatus.SERVICE_UNAVAILABLE)
    assert not write_ahead_log.messages.live
