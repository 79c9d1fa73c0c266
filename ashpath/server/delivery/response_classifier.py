"""The stage that puts what came back, or did not, into the module's words."""

from __future__ import annotations

from collections.abc import Callable

from gevent import Timeout

from ashpath.core.interface import AttemptOutcome, LoadReport
from ashpath.policy.tuning import NEVER_RAN
from ashpath.server import wire_names
from ashpath.server.delivery.attempts import Attempt, AttemptCancelledError, NotSentError
from ashpath.server.delivery.outcome_recorder import OutcomeRecorder
from ashpath.server.http.messages import HttpResponse

# A status that the protocol does not name says nothing of whether the call ran: an error.
ENDINGS = {
    200: AttemptOutcome.DELIVERED,
    410: AttemptOutcome.NOT_SENT,
    429: AttemptOutcome.OVERLOADED,
    503: AttemptOutcome.OVERLOADED,
    504: AttemptOutcome.NOT_SENT,
}


def number(text: bytes | None) -> float | None:
    """A number of a header or a report; none where there is none, or one that cannot be meant.

    >>> number(b"0.25"), number(b"soon"), number(None), number(b"nan"), number(b"-1")
    (0.25, None, None, None, None)
    """
    try:
        value = float(text or b"")
    except ValueError:
        return None
    return value if 0 <= value < 1e6 else None


class ResponseClassifier:
    def __init__(self, book: OutcomeRecorder, reports: bool) -> None:
        self.recorder, self.has_load_reports = book, reports
        self.on_outcome: Callable[[Attempt, AttemptOutcome, int, bool, LoadReport | None], None] = (
            lambda *_: None
        )

    def __call__(self, flight: Attempt) -> None:
        ending, wait, closed, told = self.outcome(flight)
        completed = ending is AttemptOutcome.DELIVERED
        self.recorder.attempt_finished(flight.message, ending not in NEVER_RAN, closed, completed)
        self.on_outcome(flight, ending, wait, closed, told)

    def outcome(self, flight: Attempt) -> tuple[AttemptOutcome, int, bool, LoadReport | None]:
        """The ending, a wait that was told, whether the envelope is over, and what was told of the limit."""
        answer, failure = flight.response, flight.failure
        if answer is None:
            if isinstance(failure, AttemptCancelledError):
                return AttemptOutcome.CANCELLED, 0, False, None
            if isinstance(failure, NotSentError):
                return AttemptOutcome.NOT_SENT, 0, False, None
            if not flight.written:
                return AttemptOutcome.CONNECT_FAILED, 0, False, None
            return (
                AttemptOutcome.TIMED_OUT if isinstance(failure, Timeout) else AttemptOutcome.CONNECTION_RESET,
                0,
                False,
                None,
            )
        status, headers = answer.status, answer.headers
        ending = ENDINGS.get(status, AttemptOutcome.ERROR)
        if status == 503 and headers.get(wire_names.EGRESS_FULL_HEADER, b"") == b"1":
            ending = AttemptOutcome.NOT_SENT
        elif status == 503 and flight.new_connection and not answer.keep_alive:
            # Guards against a full table of connections taken for a limit or a shut destination: the first
            # call on a connection is turned away with it.
            ending = AttemptOutcome.CONNECTION_TABLE_FULL
        wait = (
            round((number(headers.get(wire_names.RETRY_AFTER_HEADER)) or 0.0) * 1e6)
            if ending is AttemptOutcome.OVERLOADED
            else 0
        )
        return ending, wait, status in (200, 410), self.load_report(answer)

    def load_report(self, answer: HttpResponse) -> LoadReport | None:
        """What `TEXT x0=0.4, x1=25` tells of the limit; a rate of 0 stands for none."""
        report = answer.headers.get(wire_names.LOAD_REPORT_HEADER)
        if not self.has_load_reports or report is None:
            return None
        pairs = (word.strip(b", ").partition(b"=") for word in report.replace(b",", b" ").split())
        values = {name: number(value) for name, _, value in pairs}
        left, rate = values.get(b"x0"), values.get(b"x1")
        if left is None or not rate:
            return None  # half a report tells nothing: a share of 0 would stop all calls
        return LoadReport(min(left, 1.0), rate)
