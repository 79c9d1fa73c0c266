"""Notifications of messages that were accepted and will not be delivered: the interface, what is pending.

A message that ends after its 202, rejected or failed, is owed a notification. It stays in the write-ahead log
until its receiver has the notification, so that a kill repeats it and never loses it. Three notifiers differ
in the receiver: `http_notifier` (the platform's agent, or an address), `file_notifier` (a file), and
`NullNotifier` (nobody). Where there is one, messages of the same ordering key wait for it: see
`next_acknowledgement`.
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
    """The line of JSON that notifies of a message's end; its names are those of the protocol.

    >>> encode_notification(StoredMessage(1, "9b1f", 0, 0, None, None, 0, b""), "deferred", 500)
    '{"id":"9b1f","status":"deferred","again_ms":500}'
    """
    fields: dict[str, str | int] = {"id": message.trace_id, "status": status}
    if retry_after_ms:
        fields["again_ms"] = retry_after_ms
    return orjson.dumps(fields).decode()


class Notifier(Protocol):
    """Notifies of messages that ended after their 202, and then lets the write-ahead log forget them."""

    @property
    def has_pending(self) -> bool:
        """Whether a notification is still to be sent, or to be acknowledged."""
        ...

    def add(self, message: StoredMessage) -> None:
        """Takes on a message that has ended; its `notice` is the line to send."""
        ...

    def next_acknowledgement(self, message: StoredMessage) -> Event | None:
        """What the next acknowledgement sets, where a notification of `message`'s ordering key is pending."""
        ...

    def run(self) -> None:
        """Sends until the process ends."""
        ...


class PendingNotifications:
    """What is not acknowledged yet, oldest first: a message leaves as its notification is acknowledged.

    What the notifiers with a receiver have in common: each adds `run`."""

    def __init__(self, write_ahead_log: WriteAheadLog) -> None:
        self.write_ahead_log = write_ahead_log
        self.pending: OrderedDict[StoredMessage, None] = OrderedDict()
        self.not_empty = Event()
        self.acknowledged = Event()  # cleared by who begins to wait for it

    @property
    def has_pending(self) -> bool:
        """Whether one is not acknowledged yet."""
        return bool(self.pending)

    def add(self, message: StoredMessage) -> None:
        """One more; the call does not wait."""
        self.pending[message] = None
        self.not_empty.set()

    def wait_for_batch(self, max_messages: int) -> list[StoredMessage]:
        """The oldest ones, at least one and at most `max_messages`. They stay pending."""
        while True:
            self.not_empty.wait()
            batch = list(islice(self.pending, max_messages))
            if batch:
                return batch
            self.not_empty.clear()

    def acknowledge(self, batch: list[StoredMessage]) -> None:
        """The receiver has them."""
        for message in batch:
            del self.pending[message]
            self.write_ahead_log.record_finished(message)
        self.acknowledged.set()

    def next_acknowledgement(self, message: StoredMessage) -> Event | None:
        """What the next acknowledgement sets, where a notification of `message`'s ordering key is pending."""
        if any(message.ordering_key == other.ordering_key for other in self.pending):
            self.acknowledged.clear()
            return self.acknowledged
        return None


def encode_batch(batch: list[StoredMessage]) -> bytes:
    """A line for each."""
    return "".join(f"{message.notice}\n" for message in batch).encode()


class NullNotifier:
    """Nobody is notified: the status API answers who asks for a message's end."""

    has_pending = False

    def __init__(self, write_ahead_log: WriteAheadLog) -> None:
        self.write_ahead_log = write_ahead_log

    def add(self, message: StoredMessage) -> None:
        """Lets the write-ahead log forget it at once."""
        self.write_ahead_log.record_finished(message)

    def next_acknowledgement(self, message: StoredMessage) -> None:
        """Nothing is ever waited for."""

    def run(self) -> None:
        """Nothing is ever sent."""
        Event().wait()
