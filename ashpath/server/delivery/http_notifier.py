"""Sends notifications by POST to the platform's agent or to a configured address, until acknowledged.

Each call carries a batch of lines, the oldest first, over a connection of its own (`agent_client`).

| response of the receiver    | action of the notifier                                                    |
| --------------------------- | ------------------------------------------------------------------------- |
| 204 or 200                  | acknowledges the batch                                                    |
| 400 to a batch of several   | sends each line alone until one is acknowledged: one line that the        |
|                             | receiver cannot read must not block the others                            |
| 400 to a single line        | logs the line, and drops it as if it were acknowledged                    |
| another status, or none     | sends the batch again after a backoff; the backoff is short, as a         |
|                             | notification is due within a time limit                                   |
"""

from __future__ import annotations

import gevent
from msgspec import Struct

from ashpath.server import wire_names
from ashpath.server.addresses import Address
from ashpath.server.agent_client import AgentConnection, Headers
from ashpath.server.backoff import Backoff
from ashpath.server.delivery.notifier import PendingNotifications, encode_batch
from ashpath.server.http.messages import HttpResponse
from ashpath.server.limits.http import HttpLimits
from ashpath.server.limits.notifications import NotificationLimits
from ashpath.server.logs import Logger
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog

ACKNOWLEDGED_STATUSES = frozenset({204, 200})  # the platform answers 204; other receivers may answer 200
UNREADABLE_STATUS = 400


class NotificationReceiver(Struct, frozen=True):
    """The address, path and headers to which notifications are sent."""

    address: Address
    path: bytes = wire_names.NOTIFICATION_PATH
    headers: Headers = ()  # credentials, sent with each call in addition to `Host`


class HttpNotifier(PendingNotifications):
    """A `Notifier` whose receiver is called over HTTP."""

    def __init__(
        self,
        receiver: NotificationReceiver,
        limits: NotificationLimits,
        http_limits: HttpLimits,
        write_ahead_log: WriteAheadLog,
        logger: Logger,
        backoff: Backoff,
    ) -> None:
        super().__init__(write_ahead_log)
        self.receiver = receiver
        self.connection = AgentConnection(receiver.address, http_limits)
        self.limits = limits
        self.logger = logger
        self.backoff = backoff
        self.max_batch = limits.notification_batch  # messages; 1 after a 400, to isolate the unreadable line

    def change_receiver(self, receiver: NotificationReceiver) -> None:
        """Replaces the receiver; a call in flight fails and is repeated at the new receiver."""
        self.receiver = receiver
        self.connection.change_address(receiver.address)

    def run(self) -> None:
        """Sends pending notifications until the process ends."""
        self.max_batch = self.limits.notification_batch
        while True:
            batch = self.wait_for_batch(self.max_batch)
            self.handle_response(self.post(batch), batch)

    def post(self, batch: list[StoredMessage]) -> HttpResponse | None:
        """Sends the batch; returns the response, or None if none arrived within `notification_s`."""
        request_line = b"POST %s HTTP/1.1" % self.receiver.path
        body = encode_batch(batch)
        return self.connection.call(request_line, body, self.limits.notification_s, self.receiver.headers)

    def handle_response(self, response: HttpResponse | None, batch: list[StoredMessage]) -> None:
        """Handles the response to a batch as the table of this module says."""
        if response is not None and response.status in ACKNOWLEDGED_STATUSES:
            self.batch_acknowledged(batch)
        elif response is None or response.status != UNREADABLE_STATUS:
            gevent.sleep(self.backoff.next_pause())
        elif len(batch) > 1:
            self.max_batch = 1
        else:
            self.logger.error("notification not accepted", line=batch[0].notice)
            self.batch_acknowledged(batch)

    def batch_acknowledged(self, batch: list[StoredMessage]) -> None:
        """Acknowledges the batch; restores the batch size and resets the backoff."""
        self.acknowledge(batch)
        self.max_batch = self.limits.notification_batch
        self.backoff.reset()
