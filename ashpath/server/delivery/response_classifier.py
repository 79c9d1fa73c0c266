"""Maps the response to an attempt, or its failure, to an outcome of the policy's interface.

The classifier is stateless and has no side effects: the same attempt always has the same result.

| response | outcome |
| --- | --- |
| a response | by its status, `STATUS_OUTCOMES`; any other status: ERROR |
| 503 with `x-egress-full: 1` | NOT_SENT: the request was not forwarded |
| 503 that answers the first request on a connection and closes the connection | CONNECTION_TABLE_FULL |
| none | by the type of the failure, `FAILURE_OUTCOMES` |
"""

from __future__ import annotations

from ashpath.core.interface import AttemptOutcome, LoadReport
from ashpath.server import wire_names
from ashpath.server.delivery.attempts import Attempt, AttemptResult
from ashpath.server.delivery.errors import (
    AttemptCancelledError,
    AttemptError,
    LocalFaultError,
    NotSentError,
    RequestNotWrittenError,
    ResponseError,
    ResponseTimeoutError,
)
from ashpath.server.delivery.retry_after import retry_after
from ashpath.server.http.messages import HttpResponse

# A status that the protocol does not define does not tell whether the request ran, and counts as ERROR.
STATUS_OUTCOMES = {
    200: AttemptOutcome.DELIVERED,
    410: AttemptOutcome.NOT_SENT,
    429: AttemptOutcome.OVERLOADED,
    503: AttemptOutcome.OVERLOADED,
    504: AttemptOutcome.NOT_SENT,
}
FAILURE_OUTCOMES: tuple[tuple[type[AttemptError], AttemptOutcome], ...] = (
    (AttemptCancelledError, AttemptOutcome.CANCELLED),
    (NotSentError, AttemptOutcome.NOT_SENT),
    (LocalFaultError, AttemptOutcome.LOCAL_FAULT),
    (RequestNotWrittenError, AttemptOutcome.CONNECT_FAILED),
    (ResponseTimeoutError, AttemptOutcome.TIMED_OUT),
    (ResponseError, AttemptOutcome.CONNECTION_RESET),
)
FINAL_STATUSES = (200, 410)
SERVICE_UNAVAILABLE = 503
REMAINING_QUOTA_FIELD = b"x0"
RATE_LIMIT_FIELD = b"x1"
HEADER_NUMBER_LIMIT = 1e6  # this or a larger number in a header counts as invalid


def parse_number(text: bytes | None) -> float | None:
    """Parses a number in a header or load report; returns None if absent, not a number or out of range.

    >>> [parse_number(text) for text in (b"0.25", b"soon", None, b"nan", b"-1")]
    [0.25, None, None, None, None]
    """
    try:
        value = float(text or b"")
    except ValueError:
        return None
    return value if 0 <= value < HEADER_NUMBER_LIMIT else None


class ResponseClassifier:
    """Classifies attempts. `has_load_reports`: responses may report the rate limit of their destination."""

    def __init__(self, *, has_load_reports: bool) -> None:
        self.has_load_reports = has_load_reports

    def classify(self, attempt: Attempt) -> AttemptResult:
        """Returns the result of an attempt that has ended. A response takes precedence over a failure."""
        response = attempt.response
        if response is None:
            return AttemptResult(self._failure_outcome(attempt.failure))
        outcome = self._response_outcome(response, new_connection=attempt.new_connection)
        wait = retry_after(response) if outcome is AttemptOutcome.OVERLOADED else 0
        final = response.status in FINAL_STATUSES
        return AttemptResult(outcome, wait, final, self.load_report(response), attempt.provisional)

    @staticmethod
    def _failure_outcome(failure: AttemptError | None) -> AttemptOutcome:
        for error_type, outcome in FAILURE_OUTCOMES:
            if isinstance(failure, error_type):
                return outcome
        reason = f"no outcome defined for failure {failure!r}"
        raise TypeError(reason)

    @staticmethod
    def _response_outcome(response: HttpResponse, *, new_connection: bool) -> AttemptOutcome:
        if response.status == SERVICE_UNAVAILABLE:
            if response.headers.get(wire_names.EGRESS_FULL_HEADER, b"") == b"1":
                return AttemptOutcome.NOT_SENT
            if new_connection and not response.keep_alive:
                # An endpoint with a full connection table rejects the first request on a connection and
                # closes the connection: neither a concurrency limit nor an outage of the destination.
                return AttemptOutcome.CONNECTION_TABLE_FULL
        return STATUS_OUTCOMES.get(response.status, AttemptOutcome.ERROR)

    def load_report(self, response: HttpResponse) -> LoadReport | None:
        """Parses a report such as `TEXT x0=0.4, x1=25`; None if absent, incomplete or with a rate of 0."""
        report = response.headers.get(wire_names.LOAD_REPORT_HEADER)
        if not self.has_load_reports or report is None:
            return None
        pairs = (field.strip(b", ").partition(b"=") for field in report.replace(b",", b" ").split())
        values = {name: parse_number(value) for name, _, value in pairs}
        remaining_quota = values.get(REMAINING_QUOTA_FIELD)
        rate_limit = values.get(RATE_LIMIT_FIELD)
        if remaining_quota is None or not rate_limit:
            return None  # if a missing quota counted as 0, all attempts would stop
        return LoadReport(min(remaining_quota, 1.0), rate_limit)
