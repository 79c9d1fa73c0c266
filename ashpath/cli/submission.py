"""Submits one message to a sender, and follows it to its outcome."""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass

from ashpath.cli.errors import CommandError, SenderUnreachableError
from ashpath.cli.status_client import StatusClient
from ashpath.core.json_types import JsonObject
from ashpath.core.time_units import SECOND

FIRST_POLL_S = 0.05  # pause before the first poll of the message's state; doubles after each poll
MAX_POLL_S = 0.5  # upper bound of that pause
RESTART_GRACE_S = 5.0  # polling time after the message's deadline, for a sender that is restarting

LIVE_STATES = ("held", "out")
UNKNOWN_STATE = "unknown"
NOT_ACCEPTED = "not accepted"
REJECTION_REASONS = {
    409: "a message with this id is live",
    413: "the body is too long",
    400: "see --track and --key",
}


@dataclass(frozen=True, slots=True)
class Submission:
    """A message that a user submits."""

    trace_id: str
    destination: int
    traffic_class: str
    idempotency_key: str | None
    ordering_key: str | None
    lifetime_us: int
    """The time until the deadline, in microseconds."""
    body: bytes

    def headers(self) -> dict[str, str]:
        """Returns the headers of the request; generates an idempotency key if none is given."""
        headers = {
            "X-Trace-Id": self.trace_id,
            "X-Qos": self.traffic_class,
            "X-Expires-In-Ms": str(max(1, self.lifetime_us // 1000)),
            "X-Route-To": f"dest={self.destination}",
            "Idempotency-Key": self.idempotency_key or uuid.uuid4().hex,
        }
        if self.ordering_key:
            headers["Cookie"] = f"about={self.ordering_key}"
        return headers


def submit_message(client: StatusClient, submission: Submission, *, wait: bool) -> JsonObject:
    """Submits a message and returns its id, status and state, and other fields from the sender.

    Raises CommandError if the sender returns an unexpected status or does not respond.
    """
    response = client.submit(submission.headers(), submission.body)
    status = response.status
    row: JsonObject = {"id": submission.trace_id, "status": status}
    if status in (200, 202):
        return row | (wait_for_outcome(client, submission) if wait else {"state": "taken on"})
    if status in (429, 503):
        seconds = response.retry_after_s
        return row | {"state": "bounced", "again_ms": seconds and round(seconds * 1000)}
    if status == 500:
        return row | {"state": "aborted"}
    reason = REJECTION_REASONS.get(status, "unexpected response")
    problem = f"status {status}, {reason}"
    raise CommandError(client.url, NOT_ACCEPTED, problem)


def wait_for_outcome(client: StatusClient, submission: Submission) -> JsonObject:
    """Polls the sender until the message has a final state, and returns that state.

    A sender that does not respond may be restarting, so polling goes on until RESTART_GRACE_S after the
    deadline. The state is unknown if that time ends or the sender does not know the message.
    """
    poll_until = time.monotonic() + submission.lifetime_us / SECOND + RESTART_GRACE_S
    pause = FIRST_POLL_S
    while time.monotonic() < poll_until:
        time.sleep(pause)
        pause = min(2 * pause, MAX_POLL_S)
        try:
            message = client.message_state(submission.trace_id)
        except SenderUnreachableError:
            continue
        if message is None:
            break
        if message["state"] not in LIVE_STATES:
            return message
    return {"state": UNKNOWN_STATE}
