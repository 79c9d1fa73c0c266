"""Follows the directory: a watch that is asked for anew at once, and outlasts silence."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import gevent
import orjson

from ashpath.node import names
from ashpath.node.backoff import Backoff
from ashpath.node.calls import Line
from ashpath.node.limits import Limits
from ashpath.node.pool import Address
from ashpath.node.relay import number

Hear = Callable[[list[dict[str, Any]], bool], None]


class Directory:
    def __init__(self, address: Address, limits: Limits, revision: int, hear: Hear) -> None:
        self.line, self.limits, self.hear = Line(address, limits), limits, hear
        self.revision: int | None = revision  # none: the whole list is asked for
        self.pause = Backoff(Random(revision), limits.retry, limits.lists_backoff)  # the start seeds its own

    def move(self, address: Address) -> None:
        """Another agent may count its revisions anew, and have missed or told what the old one had not."""
        self.revision = None
        self.line.move(address)

    def run(self) -> None:
        wait = int(self.limits.watch * 1000)
        while True:
            watch = b"" if self.revision is None else b"?index=%d&wait=%d" % (self.revision, wait)
            first = b"GET %s%s HTTP/1.1" % (names.MEMBERS, watch)
            answer = self.line.call(first, b"", self.limits.watch + self.limits.silence)
            if answer is not None and answer.status == 200 and self.learn(answer.body):
                self.pause.succeeded()
                continue
            # Guards the directory against a fleet that failed together and would come back together.
            told = answer is not None and answer.status in (429, 503) and answer.headers.get(names.WAIT)
            gevent.sleep(self.pause.failed(number(told or None)))

    def learn(self, body: bytes) -> bool:
        """Takes the list or its changes; False where that cannot be read."""
        try:
            told = orjson.loads(body)
            rows, whole, self.revision = list(told["members"]), bool(told["complete"]), int(told["revision"])
        except (ValueError, KeyError, TypeError):
            return False
        if rows or whole:
            self.hear(rows, whole)
        return True
