"""Converts the policy's actions to rows of the bench's protocol."""

from __future__ import annotations

from ashpath.bench_adapter.wire_names import ALL_SENDERS, ActionName, Row
from ashpath.core.time_units import milliseconds


class RecordedActions:
    """The `PolicyActions` of one instance; `rows` holds the actions of the current batch in order."""

    def __init__(self) -> None:
        self.rows: list[Row] = []

    def take(self) -> list[Row]:
        """Returns the rows of the current batch and clears them."""
        rows = self.rows
        self.rows = []
        return rows

    def start_attempt(self, message_id: int, endpoint_id: str, timeout: int) -> None:
        """Sends a message to an endpoint; `timeout` is in microseconds."""
        body = {"rid": message_id, "endpoint": endpoint_id, "allow-for": milliseconds(timeout)}
        self.rows.append({ActionName.START_ATTEMPT: body})

    def reject(self, message_id: int, retry_after: int) -> None:
        """Finishes a message that is safe to submit again after `retry_after` microseconds."""
        self.rows.append({ActionName.REJECT: {"rid": message_id, "retry-in": milliseconds(retry_after)}})

    def fail(self, message_id: int) -> None:
        """Finishes a message that must not be submitted again."""
        self.rows.append({ActionName.FAIL: {"rid": message_id}})

    def cancel_attempt(self, message_id: int, attempt: int) -> None:
        """Cancels an attempt of a message; attempts are numbered from 0."""
        self.rows.append({ActionName.CANCEL_ATTEMPT: {"rid": message_id, "go": attempt}})

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Closes the idle connections to an endpoint."""
        self.rows.append({ActionName.CLOSE_IDLE_CONNECTIONS: {"endpoint": endpoint_id}})

    def schedule_timer(self, at: int, token: str) -> None:
        """Requests an event with the token at time `at`, in microseconds."""
        self.rows.append({ActionName.SCHEDULE_TIMER: {"due-at": milliseconds(at), "ref": token}})

    def poll_endpoints(self) -> None:
        """Requests the endpoint list."""
        self.rows.append({ActionName.POLL_ENDPOINTS: {"active": True}})

    def publish(self, message: bytes) -> None:
        """Sends a gossip message to all other senders."""
        self.rows.append({ActionName.PUBLISH: {"neighbour-id": ALL_SENDERS, "contents": message.hex()}})

    def mode_changed(self, text: str, destination: int, endpoint_id: str, down: bool, rate: float) -> None:
        """Logs a change of mode; the bench stores no state over a restart, so only the text is used."""
        self.rows.append({ActionName.LOG: {"what": text}})

    def report_fault(self, text: str) -> None:
        """Reports an exception of the policy, after which the instance ignores all events."""
        self.rows.append({ActionName.FAULT: {"what": text}})
