"""Tells the platform of envelopes that were taken on and will not be delivered, until it has heard."""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from random import Random
from typing import Any

import gevent
import orjson
from gevent.event import Event

from ashpath.server import wire_names
from ashpath.server.agent_client import AgentConnection
from ashpath.server.backoff import Backoff
from ashpath.server.delivery.connection_pool import Address
from ashpath.server.limits import ServerLimits
from ashpath.server.storage.write_ahead_log import StoredMessage, WriteAheadLog

TAKEN = (204, 200)  # the platform answers the first; other receivers may answer the second


def notice(entry: StoredMessage, status: str, again_ms: int = 0) -> str:
    """One line.

    >>> notice(StoredMessage(1, "9b1f", 0, 0, None, None, 0, b""), "deferred", 500)
    '{"id":"9b1f","status":"deferred","again_ms":500}'
    """
    told = {"id": entry.trace_id, "status": status}
    return orjson.dumps(told | {"again_ms": again_ms} if again_ms else told).decode()


class PendingNotifications:
    """Ends that are not told yet: `waiting` is emptied as they have been."""

    def __init__(self) -> None:
        self.pending: OrderedDict[StoredMessage, None] = OrderedDict()
        self.has_pending, self.delivered = (
            Event(),
            Event(),
        )  # the second is set as it is waited for, by the next one told

    def add(self, entry: StoredMessage) -> None:
        self.pending[entry] = None
        self.has_pending.set()

    def acknowledged(self, batch: list[StoredMessage], ledger: WriteAheadLog) -> None:
        for entry in batch:
            del self.pending[entry]
            ledger.record_finished(entry)
        self.delivered.set()

    def pending_for(self, entry: StoredMessage) -> Event | None:
        """What tells of the next end heard, if one of the same key is still to be."""
        if any(entry.ordering_key == other.ordering_key for other in self.pending):
            self.delivered.clear()
            return self.delivered
        return None


class HttpNotifier(PendingNotifications):
    def __init__(self, address: Address, limits: ServerLimits, ledger: WriteAheadLog, log: Any) -> None:
        super().__init__()
        self.path, self.headers = wire_names.NOTIFICATION_PATH, list[tuple[bytes, bytes]]()
        self.connection, self.limits, self.write_ahead_log, self.log = (
            AgentConnection(address, limits),
            limits,
            ledger,
            log,
        )
        self.backoff = Backoff(
            Random(0), limits.retry_s, limits.notification_backoff_s
        )  # the start seeds its own

    def move(self, address: Address) -> None:
        self.connection.move(address)

    def run(self) -> None:
        most = self.limits.notification_batch
        while True:
            self.has_pending.wait()
            batch = list(islice(self.pending, most))
            if not batch:
                self.has_pending.clear()
                continue
            body = "".join(f"{entry.notice}\n" for entry in batch).encode()
            answer = self.connection.call(
                b"POST %s HTTP/1.1" % self.path, body, self.limits.notification_s, self.headers
            )
            # One line that cannot be read must not hold up the rest: then each goes alone.
            unread = answer is not None and answer.status == 400
            if (answer is not None and answer.status in TAKEN) or (unread and len(batch) == 1):
                if unread:
                    self.log.error("notification not accepted", line=batch[0].notice)
                self.acknowledged(batch, self.write_ahead_log)
                most = self.limits.notification_batch
                self.backoff.reset()
            elif unread:
                most = 1
            else:  # short: a notice owed is due within its time
                gevent.sleep(self.backoff.next_pause())
