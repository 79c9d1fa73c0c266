"""Notifications of messages that were accepted and will not be delivered: interface and pending queue.

A message that is rejected or fails after its 202 requires a notification. The message stays in the
write-ahead log until the receiver acknowledges the notification, so that a kill may repeat the notification
but never loses it. There are three notifiers, by receiver: `http_notifier` (the platform's agent or a
configured address), `file_notifier` (a file) and `NullNotifier` (no receiver). Later messages with the same
ordering key wait for a pending notification: see `next_acknowledgement`.
"""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from typing import Protocol

import orjson
from gevent.event import Event

from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog


def encode_notification(message: StoredMessage, status: str, retry_after_ms: int = 0) -> str:
    """Returns the JSON line that reports a final state, with the field names of the protocol.

    >>> encode_notification(StoredMessage(1, "9b1f", 0, 0, None, None, 0, b""), "deferred", 500)
    '{"id":"9b1f","status":"deferred","again_ms":500}'
    """
    fields: dict[str, str | int] = {"id": message.trace_id, "status": status}
    if retry_after_ms:
        fields["again_ms"] = retry_after_ms
    return orjson.dumps(fields).decode()


class Notifier(Protocol):
    """Notifies of messages that ended after their 202, then marks them finished in the write-ahead log."""

    @property
    def has_pending(self) -> bool:
        """Whether any notification is not acknowledged yet."""
        ...

    def add(self, message: StoredMessage) -> None:
        """Adds a message that has ended; its `notice` is the line to send."""
        ...

    def next_acknowledgement(self, message: StoredMessage) -> Event | None:
        """Returns the event of the next acknowledgement if a notification of this ordering key is pending."""
        ...

    def run(self) -> None:
        """Sends pending notifications until the process ends."""
        ...


class PendingNotifications:
    """Messages whose notifications are not acknowledged yet, oldest first.

    Base class of the notifiers that have a receiver; each subclass adds `run`."""

    def __init__(self, write_ahead_log: WriteAheadLog) -> None:
        self.write_ahead_log = write_ahead_log
        self.pending: OrderedDict[StoredMessage, None] = OrderedDict()
        self.not_empty = Event()
        self.acknowledged = Event()  # cleared by `next_acknowledgement`

    @property
    def has_pending(self) -> bool:
        """Whether any notification is not acknowledged yet."""
        return bool(self.pending)

    def add(self, message: StoredMessage) -> None:
        """Adds a message that has ended; does not block."""
        self.pending[message] = None
        self.not_empty.set()

    def wait_for_batch(self, max_messages: int) -> list[StoredMessage]:
        """Waits for a pending message; returns up to `max_messages` of the oldest, which stay pending."""
        while True:
            self.not_empty.wait()
            batch = list(islice(self.pending, max_messages))
            if batch:
                return batch
            self.not_empty.clear()

    def acknowledge(self, batch: list[StoredMessage]) -> None:
        """Removes messages whose notifications the receiver has acknowledged."""
        for message in batch:
            del self.pending[message]
            self.write_ahead_log.record_finished(message)
        self.acknowledged.set()

    def next_acknowledgement(self, message: StoredMessage) -> Event | None:
        """Returns the event of the next acknowledgement if a notification of this ordering key is pending."""
        if any(message.ordering_key == other.ordering_key for other in self.pending):
            self.acknowledged.clear()
            return self.acknowledged
        return None


def encode_batch(batch: list[StoredMessage]) -> bytes:
    """Returns the notifications of the batch, one line for each."""
    return "".join(f"{message.notice}\n" for message in batch).encode()


class NullNotifier:
    """Notifies nobody; clients learn of final states from the status API."""

    has_pending = False

    def __init__(self, write_ahead_log: WriteAheadLog) -> None:
        self.write_ahead_log = write_ahead_log

    def add(self, message: StoredMessage) -> None:
        """Marks the message finished in the write-ahead log at once."""
        self.write_ahead_log.record_finished(message)

    def next_acknowledgement(self, message: StoredMessage) -> None:
        """Returns None: no notification is ever pending."""

    def run(self) -> None:
        """Blocks until the process ends; sends nothing."""
        Event().wait()
