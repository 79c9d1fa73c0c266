"""The clients of a run on loopback, in a separate process:

    python -m ashpath.emulator.loopback.client_process JOB

JOB is a file with a `ClientsJob` in JSON. Each request is submitted at its time, whatever the outcomes of
other requests. Each event of a request is a `ClientEvent` in JSON on a line of standard output.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path
from random import Random

import gevent
import msgspec

from ashpath.core.time_units import SECOND
from ashpath.emulator.errors import NotSentError, UnansweredError
from ashpath.emulator.final_outcomes import FinalOutcome
from ashpath.emulator.http_client import HttpClient
from ashpath.emulator.loopback.clients_job import (
    ATTEMPT_SEPARATOR,
    ClientEvent,
    ClientEventKind,
    ClientsJob,
    PlannedRequest,
)
from ashpath.emulator.notice_receiver import Notice, NoticeReceiver
from ashpath.emulator.run_clock import RunClock
from ashpath.emulator.stand_ins import STAND_IN_LIMITS
from ashpath.server import wire_names
from ashpath.server.http.messages import HttpResponse

RESPONSE_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.1  # before a client whose sender does not respond tries another sender
MIN_TIME_LEFT = 1000  # microseconds; with no more left until its deadline, a request is not submitted
FOREVER_S = 1e9
SUBMIT = b"POST %s HTTP/1.1" % wire_names.SUBMIT_PATH
ACCEPTED = (200, 202)
REJECTED = (429, 503)


class Submission:
    """A request, and the number of its resubmissions so far."""

    __slots__ = ("request", "resubmissions")

    def __init__(self, request: PlannedRequest, resubmissions: int) -> None:
        self.request = request
        self.resubmissions = resubmissions

    @property
    def message_id(self) -> str:
        """The id of the message that carries the request in this submission."""
        if not self.resubmissions:
            return self.request.id
        return f"{self.request.id}{ATTEMPT_SEPARATOR}{self.resubmissions}"

    def headers(self, left: int) -> list[tuple[bytes, bytes]]:
        """Returns the headers of the submission, `left` microseconds before its deadline."""
        request = self.request
        headers = [
            (b"X-Trace-Id", self.message_id.encode()),
            (b"X-Qos", request.traffic_class_name.encode()),
            (b"X-Expires-In-Ms", b"%d" % (left // 1000)),
            (b"X-Route-To", b"dest=%d" % request.destination),
            (b"Idempotency-Key", b"k" + request.id.encode()),
        ]
        if request.ordering_key is not None:
            headers.append((b"Cookie", b"%s=%d" % (wire_names.ORDERING_KEY_COOKIE, request.ordering_key)))
        return headers


class Clients:
    """Submits the requests of a job. `_open`: submissions that may still be rejected or fail, by id."""

    def __init__(self, job: ClientsJob) -> None:
        self._job = job
        self._clock = RunClock(job.began)
        self._random = Random(f"{job.seed} clients' choices")
        self._senders = [HttpClient(address, STAND_IN_LIMITS, RESPONSE_TIMEOUT_S) for address in job.senders]
        self._open: dict[str, Submission] = {}
        self._receiver = NoticeReceiver(self, STAND_IN_LIMITS, job.notice_port)

    def run(self) -> None:
        """Submits all requests at their times, and receives notices until the process is ended."""
        for request in self._job.requests:
            gevent.sleep(max(0.0, (request.at - self._clock.now()) / SECOND))
            self._write_event(request.at, ClientEventKind.REQUESTED, request.id)
            gevent.spawn(self._submit, Submission(request, 0))
        gevent.sleep(FOREVER_S)

    def _submit(self, submission: Submission) -> None:
        """Tries randomly chosen senders until a sender responds or the deadline has passed."""
        request = submission.request
        message_id = submission.message_id
        self._open[message_id] = submission
        while True:
            left = request.at + request.deadline - self._clock.now()
            if left <= MIN_TIME_LEFT:
                self._open.pop(message_id, None)
                self._write_event(self._clock.now(), ClientEventKind.GIVEN_UP, request.id)
                return
            sender = self._random.randrange(len(self._senders))
            headers = submission.headers(left)
            sent_at = self._clock.now()
            try:
                response = self._senders[sender].request(SUBMIT, headers, b"%d " % request.traffic_class)
            except NotSentError:
                gevent.sleep(RETRY_INTERVAL_S)
            except UnansweredError:
                self._write_event(sent_at, ClientEventKind.UNANSWERED, message_id, sender)
                gevent.sleep(RETRY_INTERVAL_S)
            else:
                self._write_event(sent_at, ClientEventKind.ANSWERED, message_id, sender)
                self._handle_response(message_id, response, sender)
                return

    def _handle_response(self, message_id: str, response: HttpResponse, sender: int) -> None:
        if response.status not in ACCEPTED:
            outcome = FinalOutcome.REJECTED if response.status in REJECTED else FinalOutcome.FAILED
            retry_after_s = float(response.headers.get(wire_names.RETRY_AFTER_HEADER, b"0"))
            self._handle_outcome(message_id, outcome, retry_after_s, sender)

    def notified(self, notice: Notice) -> None:
        """Handles the notice of a message that a sender accepted but could not deliver."""
        self._handle_outcome(notice.message_id, notice.outcome, notice.retry_after_s)

    def _handle_outcome(
        self, message_id: str, outcome: FinalOutcome, retry_after_s: float, sender: int = -1
    ) -> None:
        """Records that a message was rejected or failed; a rejected request may be submitted again."""
        submission = self._open.pop(message_id, None)
        if submission is None:
            return
        job = self._job
        request = submission.request
        failed = outcome is FinalOutcome.FAILED
        kind = ClientEventKind.FAILED if failed else ClientEventKind.REJECTED
        self._write_event(self._clock.now(), kind, message_id, sender)
        backoff_s = job.backoff * 2**submission.resubmissions / SECOND
        if retry_after_s and self._random.random() < job.retry_after_share:
            backoff_s = retry_after_s
        backoff_s *= self._random.uniform(0.8, 1.2)
        too_late = self._clock.now() + backoff_s * SECOND > request.at + request.deadline
        if failed or submission.resubmissions >= job.max_resubmissions or too_late:
            self._write_event(self._clock.now(), ClientEventKind.GIVEN_UP, request.id)
            return
        gevent.spawn_later(backoff_s, self._submit, Submission(request, submission.resubmissions + 1))

    @staticmethod
    def _write_event(at: int, kind: ClientEventKind, message_id: str, sender: int = -1) -> None:
        event = ClientEvent(at, kind, message_id, sender)
        os.write(sys.stdout.fileno(), msgspec.json.encode(event) + b"\n")


if __name__ == "__main__":
    Clients(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ClientsJob)).run()
