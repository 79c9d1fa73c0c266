"""Which requests are accepted, and which are rejected and why."""

from __future__ import annotations

import os
from http import HTTPStatus
from pathlib import Path

import pytest
from support.stages import client_listener, read_request
from support.world import POLICY_SETTINGS, request

from ashpath.server.delivery.outcome_recorder import SubmitDecision, SubmitResult
from ashpath.server.http.admission import Admission, AdmissionResult
from ashpath.server.storage.log_directory import BLOCK_BYTES
from ashpath.server.storage.write_ahead_log import WriteAheadLog

SAME_ID = (request("i", "free", "200", 1), request("i", "once", "500", 1))


def admission_and_log(folder: Path, max_bytes: int = 1 << 20) -> tuple[Admission, WriteAheadLog]:
    """An admission behind a listener of its own."""
    listener, _, write_ahead_log = client_listener(folder, max_bytes)
    return listener.handler.admission, write_ahead_log


def test_a_trace_id_that_is_in_use(tmp_path: Path) -> None:
    """The same id from another client meets no second message, until the first is over."""
    listener, receiver, write_ahead_log = client_listener(tmp_path)
    admission = listener.handler.admission
    first, second = (read_request(data) for data in SAME_ID)
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
def test_the_policy_does_not_accept(tmp_path: Path, result: SubmitResult) -> None:
    """What the policy decides in the batch of the submission is what the client reads."""
    listener, receiver, _ = client_listener(tmp_path)
    receiver.submit_result = result
    admission = listener.handler.admission
    message = admission.parser.parse(read_request(request("r", "free", "200", 1)))
    assert admission.admit(message) == REJECTIONS[result]


def test_ledger_full(tmp_path: Path) -> None:
    """Never more than the disk holds, old and new file together; a 503 where there is no room, none lost."""
    most = 8 * BLOCK_BYTES
    admission, ledger = admission_and_log(tmp_path, most)
    statuses: list[int] = []
    sizes: list[int] = []
    put = os.replace

    def replacing(new: Path, old: Path) -> None:
        sizes.append(sum(file.stat().st_size + 512 for file in tmp_path.iterdir()))
        put(new, old)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("ashpath.server.storage.log_file.os.replace", replacing)
        for number in range(60):
            data = request(f"f{number}", "free", "200" * 100, 1)
            entry = admission.parser.parse(read_request(data))
            statuses.append(admission.admit(entry).status)
            if statuses[-1] == 202:
                ledger.record_attempt(entry, 1, "e1")
                ledger.record_outcome(entry, may_have_run=True)
                ledger.record_attempt(entry, 2, "e1")
        assert statuses.count(503) > 20
        assert statuses.count(202) == len(ledger.messages.live) > 5
        for _ in range(300):
            ledger.record_outcome(entry := next(iter(ledger.messages.live.values())), may_have_run=True)
            ledger.record_attempt(entry, 3, "e1")
    assert sizes
    assert max(sizes) <= most
    ledger.close()
    again = WriteAheadLog(tmp_path, most)
    assert again.messages.live.keys() == ledger.messages.live.keys()
    assert next(iter(again.messages.live.values())).attempts == 302
    for entry in list(again.messages.live.values()):
        again.record_finished(entry)
    assert not again.messages.live
    assert again.messages.reserved_bytes == 0


def test_queue_capacity(tmp_path: Path) -> None:
    listener, receiver, write_ahead_log = client_listener(tmp_path)
    admission = listener.handler.admission
    receiver.messages = dict.fromkeys(range(POLICY_SETTINGS.queue_capacity))
    message = admission.parser.parse(read_request(request("r", "free", "200", 1)))
    assert admission.admit(message) == AdmissionResult(HTTPStatus.SERVICE_UNAVAILABLE)
    assert not write_ahead_log.messages.live
