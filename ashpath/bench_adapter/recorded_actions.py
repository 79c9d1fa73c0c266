"""The policy's actions as rows of the bench's wire."""

from __future__ import annotations

from ashpath.bench_adapter.wire_names import ALL_SENDERS, ActionName, Row
from ashpath.core.time_units import milliseconds


class RecordedActions:
    """The `PolicyActions` of one instance: `rows` has those of the present batch, in order."""

    def __init__(self) -> None:
        self.rows: list[Row] = []

    def take(self) -> list[Row]:
        """The rows of the batch that ends; the next one begins without any."""
        rows = self.rows
        self.rows = []
        return rows

    def start_attempt(self, message_id: int, endpoint_id: str, timeout: int) -> None:
        """Sends a message to an endpoint."""
        body = {"rid": message_id, "endpoint": endpoint_id, "allow-for": milliseconds(timeout)}
        self.rows.append({ActionName.START_ATTEMPT: body})

    def reject(self, message_id: int, retry_after: int) -> None:
        """Final: harmless to submit again."""
        self.rows.append({ActionName.REJECT: {"rid": message_id, "retry-in": milliseconds(retry_after)}})

    def fail(self, message_id: int) -> None:
        """Final: not to be submitted again."""
        self.rows.append({ActionName.FAIL: {"rid": message_id}})

    def cancel_attempt(self, message_id: int, attempt: int) -> None:
        """Cancels an attempt, by its number from 0."""
        self.rows.append({ActionName.CANCEL_ATTEMPT: {"rid": message_id, "go": attempt}})

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Closes connections that carry no call."""
        self.rows.append({ActionName.CLOSE_IDLE_CONNECTIONS: {"endpoint": endpoint_id}})

    def schedule_timer(self, at: int, token: str) -> None:
        """The token comes back then."""
        self.rows.append({ActionName.SCHEDULE_TIMER: {"due-at": milliseconds(at), "ref": token}})

    def poll_endpoints(self) -> None:
        """Asks for the endpoint list."""
        self.rows.append({ActionName.POLL_ENDPOINTS: {"active": True}})

    def publish(self, message: bytes) -> None:
        """Gossips to all other senders."""
        self.rows.append({ActionName.PUBLISH: {"neighbour-id": ALL_SENDERS, "contents": message.hex()}})

    def mode_changed(self, text: str, destination: int, endpoint_id: str, down: bool, rate: float) -> None:
        """A change of mode, for the bench's log; nothing outlives a restart there."""
        self.rows.append({ActionName.LOG: {"what": text}})

    def report_fault(self, text: str) -> None:
        """The policy raised an exception: this instance does nothing any more."""
        self.rows.append({ActionName.FAULT: {"what": text}})
