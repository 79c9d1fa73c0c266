"""Messages whose final outcome is to be notified."""

from __future__ import annotations

from ashpath.server.delivery.notifier import encode_notification
from ashpath.server.storage.stored_message import StoredMessage


def ended_message(trace_id: str, ordering_key: int | None = None) -> StoredMessage:
    """Returns a message that failed after its client had received 202."""
    message = StoredMessage(1, trace_id, 0, 0, ordering_key, None, 0, b"")
    message.notice = encode_notification(message, "undeliverable")
    return message
