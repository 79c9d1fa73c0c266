"""Tells the platform of envelopes that were taken on and will not be delivered, until it has heard."""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from random import Random
from typing import Any

import gevent
import orjson
from gevent.event import Event

from ashpath.node import names
from ashpath.node.backoff import Backoff
from ashpath.node.calls import Line
from ashpath.node.ledger import Entry, Ledger
from ashpath.node.limits import Limits
from ashpath.node.pool import Address

TAKEN = (204, 200)  # the platform answers the first; other receivers may answer the second


def notice(entry: Entry, status: str, again_ms: int = 0) -> str:
    """One line.

    >>> notice(Entry(1, "9b1f", 0, 0, None, None, 0, b""), "deferred", 500)
    '{"id":"9b1f","status":"deferred","again_ms":500}'
    """
    told = {"id": entry.trace, "status": status}
    return orjson.dumps(told | {"again_ms": again_ms} if again_ms else told).decode()


class Waiting:
    """Ends that are not told yet: `waiting` is emptied as they have been."""

    def __init__(self) -> None:
        self.waiting: OrderedDict[Entry, None] = OrderedDict()
        self.any, self.heard = Event(), Event()  # the second is set as it is waited for, by the next one told

    def add(self, entry: Entry) -> None:
        self.waiting[entry] = None
        self.any.set()

    def told(self, batch: list[Entry], ledger: Ledger) -> None:
        for entry in batch:
            del self.waiting[entry]
            ledger.ended(entry)
        self.heard.set()

    def untold(self, entry: Entry) -> Event | None:
        """What tells of the next end heard, if one of the same key is still to be."""
        if any(entry.order == other.order for other in self.waiting):
            self.heard.clear()
            return self.heard
        return None


class Notices(Waiting):
    def __init__(self, address: Address, limits: Limits, ledger: Ledger, log: Any) -> None:
        super().__init__()
        self.path, self.headers = names.NOTICES, list[tuple[bytes, bytes]]()
        self.line, self.limits, self.ledger, self.log = Line(address, limits), limits, ledger, log
        self.pause = Backoff(Random(0), limits.retry, limits.notices_backoff)  # the start seeds its own

    def move(self, address: Address) -> None:
        self.line.move(address)

    def run(self) -> None:
        most = self.limits.notices
        while True:
            self.any.wait()
            batch = list(islice(self.waiting, most))
            if not batch:
                self.any.clear()
                continue
            body = "".join(f"{entry.notice}\n" for entry in batch).encode()
            answer = self.line.call(b"POST %s HTTP/1.1" % self.path, body, self.limits.ask, self.headers)
            # One line that cannot be read must not hold up the rest: then each goes alone.
            unread = answer is not None and answer.status == 400
            if (answer is not None and answer.status in TAKEN) or (unread and len(batch) == 1):
                if unread:
                    self.log.error("notice not read", line=batch[0].notice)
                self.told(batch, self.ledger)
                most = self.limits.notices
                self.pause.succeeded()
            elif unread:
                most = 1
            else:  # short: a notice owed is due within its time
                gevent.sleep(self.pause.failed())
