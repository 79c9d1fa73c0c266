"""Follows the directory: a watch that is asked for anew at once, and outlasts silence."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from time import monotonic
from typing import Any

import gevent
import orjson

from ashpath.node import names
from ashpath.node.backoff import Backoff
from ashpath.node.calls import Line
from ashpath.node.codec import Message
from ashpath.node.limits import Limits
from ashpath.node.pool import Address
from ashpath.node.relay import number

Hear = Callable[[list[dict[str, Any]], bool], None]


class Directory:
    """`first`: seconds to wait with the first call, while the list as last held serves. A change between
    answers, calls turned away, silence, and lists that cannot be read is logged once."""

    def __init__(
        self, address: Address, limits: Limits, revision: int, hear: Hear, chance: Random, log: Any,
        first: float = 0.0,
    ) -> None:
        self.log, self.state, self.tries = log, "answers", 0  # since the last change of state
        self.line, self.limits, self.hear, self.first = Line(address, limits), limits, hear, first
        self.answered = monotonic()  # or begun
        self.revision: int | None = revision  # none: the whole list is asked for
        # Silence and refused connections are an outage, whose end is to be seen soon. A call turned away is
        # more than the directory can answer: a try sooner than it takes to give up on one is the next such.
        self.silent = Backoff(chance, limits.retry, limits.lists_backoff)
        self.away = Backoff(chance, limits.watch, limits.lists_away, spread=1.0)

    def move(self, address: Address) -> None:
        """Another agent may count its revisions anew, and have missed or told what the old one had not."""
        self.revision = None
        self.line.move(address)

    def run(self) -> None:
        wait = int(self.limits.watch * 1000)
        gevent.sleep(self.first)
        while True:
            watch = b"" if self.revision is None else b"?index=%d&wait=%d" % (self.revision, wait)
            first = b"GET %s%s HTTP/1.1" % (names.MEMBERS, watch)
            answer = self.line.call(first, b"", self.limits.watch + self.limits.silence)
            if answer is not None and answer.status == 200 and self.learn(answer.body):
                self.answered = monotonic()
                self.silent.succeeded()
                self.away.succeeded()
                self.stands("answers", answer)
                continue
            # Guards the directory against a fleet that failed together and would come back together.
            if answer is not None and answer.status in (429, 503):
                self.stands("turns calls away", answer)
                gevent.sleep(self.away.failed(number(answer.headers.get(names.WAIT))))
            else:
                self.stands("silent" if answer is None else "not read", answer)
                gevent.sleep(self.silent.failed())

    def stands(self, state: str, answer: Message | None) -> None:
        self.tries += 1
        if state != self.state:
            status = answer.status if answer is not None else 0
            revision = self.revision or 0
            self.log.info("directory", now=state, status=status, tries=self.tries, revision=revision)
            self.state, self.tries = state, 0

    def learn(self, body: bytes) -> bool:
        """Takes the list or its changes; False where that cannot be read. Guards against a directory that
        has lost its list: one without any endpoint is not believed, and what was last told serves on."""
        try:
            told = orjson.loads(body)
            rows, whole, revision = list(told["members"]), bool(told["complete"]), int(told["revision"])
        except (ValueError, KeyError, TypeError):
            return False
        if rows or not whole:
            self.revision = revision
        if rows:
            self.hear(rows, whole)
        return bool(rows) or not whole
