"""Sends notifications by POST until the receiver has them: the platform's agent, or a configured address.

Each call carries a batch of lines, the oldest ones first, over one kept connection.

| the receiver's answer         | what is done                                                         |
| ----------------------------- | -------------------------------------------------------------------- |
| 204 or 200                    | the batch is acknowledged                                            |
| 400 to a batch of several     | each line goes alone, until one is acknowledged: one that cannot be  |
|                               | read must not hold up the rest                                       |
| 400 to a line that goes alone | it is logged, and dropped as if it were acknowledged                 |
| anything else, or none        | the batch is sent again after a backoff, a short one: a notification |
|                               | is due within a time                                                 |
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
from ashpath.server.limits import ServerLimits
from ashpath.server.logs import Logger
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog

ACKNOWLEDGED_STATUSES = frozenset({204, 200})  # the platform answers 204; other receivers may answer 200
UNREADABLE_STATUS = 400


class NotificationReceiver(Struct, frozen=True):
    """Where notifications are sent."""

    address: Address
    path: bytes = wire_names.NOTIFICATION_PATH
    headers: Headers = ()  # of each call, beside `Host`: credentials


class HttpNotifier(PendingNotifications):
    """A `Notifier` whose receiver is called over HTTP."""

    def __init__(
        self,
        receiver: NotificationReceiver,
        limits: ServerLimits,
        write_ahead_log: WriteAheadLog,
        logger: Logger,
        backoff: Backoff,
    ) -> None:
        super().__init__(write_ahead_log)
        self.receiver = receiver
        self.connection = AgentConnection(receiver.address, limits)
        self.limits = limits
        self.logger = logger
        self.backoff = backoff
        self.max_batch = limits.notification_batch  # messages; 1 while a line that cannot be read is sought

    def move(self, receiver: NotificationReceiver) -> None:
        """Sends there from now on: a call that is in flight fails, and is made again there."""
        self.receiver = receiver
        self.connection.move(receiver.address)

    def run(self) -> None:
        """Sends until the process ends."""
        self.max_batch = self.limits.notification_batch
        while True:
            batch = self.wait_for_batch(self.max_batch)
            self.handle_response(self.post(batch), batch)

    def post(self, batch: list[StoredMessage]) -> HttpResponse | None:
        """The receiver's answer, or None where none came in time."""
        request_line = b"POST %s HTTP/1.1" % self.receiver.path
        body = encode_batch(batch)
        return self.connection.call(request_line, body, self.limits.notification_s, self.receiver.headers)

    def handle_response(self, response: HttpResponse | None, batch: list[StoredMessage]) -> None:
        """See the table above."""
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
        """Lets go of the batch; the next may be a whole one again."""
        self.acknowledge(batch)
        self.max_batch = self.limits.notification_batch
        self.backoff.reset()
