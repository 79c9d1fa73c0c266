"""Submits one message to a sender, and follows it to its outcome."""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass

from ashpath.cli.errors import CommandError, SenderUnreachableError
from ashpath.cli.status_client import StatusClient
from ashpath.core.json_types import JsonObject

FIRST_POLL_S = 0.05  # until the first look at the message's state; doubled up to
MAX_POLL_S = 0.5
RESTART_GRACE_S = 5.0  # past its deadline, in which the sender may be starting anew

LIVE_STATES = ("held", "out")
UNKNOWN_STATE = "unknown"
NOT_ACCEPTED = "not taken on"
REJECTION_REASONS = {
    409: "an envelope with this id is held",
    413: "the body is too long",
    400: "see --track and --key",
}


@dataclass(frozen=True, slots=True)
class Submission:
    """What a user submits."""

    trace_id: str
    destination: int
    traffic_class: str
    idempotency_key: str | None
    ordering_key: str | None
    lifetime_us: int
    """Until the deadline."""
    body: bytes

    def headers(self) -> dict[str, str]:
        """As the protocol has them; an idempotency key is drawn where none is given."""
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
    """The row that the command prints: id, status and state, and what the sender says besides.

    Raises CommandError where the message was neither accepted nor rejected.
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
    reason = REJECTION_REASONS.get(status, "not an envelope")
    problem = f"status {status}, {reason}"
    raise CommandError(client.url, NOT_ACCEPTED, problem)


def wait_for_outcome(client: StatusClient, submission: Submission) -> JsonObject:
    """Its final state. A sender that does not respond may be starting anew: it is polled until the end."""
    poll_until = time.monotonic() + submission.lifetime_us / 1e6 + RESTART_GRACE_S
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
