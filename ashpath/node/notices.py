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


class Notices:
    """`waiting` is emptied as the platform answers."""

    def __init__(self, address: Address, limits: Limits, ledger: Ledger, log: Any) -> None:
        self.path, self.headers = names.NOTICES, list[tuple[bytes, bytes]]()
        self.line, self.limits, self.ledger, self.log = Line(address, limits), limits, ledger, log
        self.waiting: OrderedDict[Entry, None] = OrderedDict()
        self.any = Event()
        self.pause = Backoff(Random(0), limits.retry, limits.notices_backoff)  # the start seeds its own

    def move(self, address: Address) -> None:
        self.line.move(address)

    def add(self, entry: Entry) -> None:
        self.waiting[entry] = None
        self.any.set()

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
                for entry in batch:
                    del self.waiting[entry]
                    self.ledger.ended(entry)
                most = self.limits.notices
                self.pause.succeeded()
            elif unread:
                most = 1
            else:  # short: a notice owed is due within its time
                gevent.sleep(self.pause.failed())
