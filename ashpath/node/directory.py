"""Follows the directory: a watch that is asked for anew at once, and outlasts silence."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
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

Hear = Callable[[list[dict[str, Any]], bool], bool]


class Moved(Exception):
    """The directory is elsewhere from now on."""


class Directory:
    """`first`: seconds to wait with the first call, while the list as last held serves. A change between
    answers, calls turned away, silence, and lists that cannot be read is logged once.

    Whatever became of a call, the next one is on its way before 6 s are over: a change counts as told by
    then, once the directory had it and could be reached."""

    def __init__(
        self, address: Address, limits: Limits, revision: int, hear: Hear, chance: Random, log: Any,
        first: float = 0.0,
    ) -> None:
        self.log, self.state, self.tries = log, "answers", 0  # since the last change of state
        self.line, self.limits, self.hear, self.first = Line(address, limits), limits, hear, first
        self.answered = monotonic()  # or begun
        self.pausing: Any = None  # the greenlet that sits out a pause
        self.revision: int | None = revision  # none: the whole list is asked for
        # Silence and refused connections are an outage, whose end is to be seen soon. A call turned away is
        # more than the directory can answer: a try sooner than it takes to give up on one is the next such.
        self.silent = Backoff(chance, limits.retry, limits.lists_backoff)
        self.away = Backoff(chance, limits.watch, limits.lists_away, limits.lists_away, limits.lists_spread)

    def move(self, address: Address) -> None:
        """Another agent may count its revisions anew, and have missed or told what the old one had not. What
        the old one still answers is not read, and no pause that it caused is sat out."""
        self.revision = None
        if address != self.line.address:
            self.silent.succeeded()
            self.away.succeeded()
            if self.pausing is not None:
                gevent.kill(self.pausing, Moved)  # at its next switch
        self.line.move(address)

    def pause(self, seconds: float) -> None:
        self.pausing = gevent.getcurrent()
        with suppress(Moved):
            gevent.sleep(seconds)
        self.pausing = None

    def ask(self, patience: float) -> Message | None:
        """One call, and whether its answer was a list that could be read is said by `self.revision`."""
        wait = int(self.limits.watch * 1000)
        watch = b"" if self.revision is None else b"?index=%d&wait=%d" % (self.revision, wait)
        return self.line.call(b"GET %s%s HTTP/1.1" % (names.MEMBERS, watch), b"", patience)

    def at_start(self) -> None:
        """Before anything is sent: what the platform's agent has by now counts as told from the first moment
        of the process, and `known` may be old. Where it does not answer at once, `known` serves."""
        self.revision = None
        answer = self.ask(self.limits.at_start)
        if answer is not None and answer.status == 200 and self.learn(answer.body):
            self.first = 0.0

    def run(self) -> None:
        gevent.sleep(self.first)
        while True:
            asked = self.line.address
            answer = self.ask(self.limits.watch + self.limits.silence)
            if asked != self.line.address:
                continue
            if answer is not None and answer.status == 200 and self.learn(answer.body):
                self.answered = monotonic()
                self.silent.succeeded()
                self.away.succeeded()
                self.stands("answers", answer)
                continue
            if answer is None:
                self.revision = None  # who answers next may have begun anew, and count its revisions anew
            # Guards the directory against a fleet that failed together and would come back together.
            if answer is not None and answer.status in (429, 503):
                self.stands("turns calls away", answer)
                self.pause(self.away.failed(number(answer.headers.get(names.WAIT))))
            else:
                self.stands("silent" if answer is None else "not read", answer)
                self.pause(self.silent.failed())

    def stands(self, state: str, answer: Message | None) -> None:
        self.tries += 1
        if state != self.state:
            status = answer.status if answer is not None else 0
            revision = self.revision or 0
            self.log.info("directory", now=state, status=status, tries=self.tries, revision=revision)
            self.state, self.tries = state, 0

    def learn(self, body: bytes) -> bool:
        """Takes the list or its changes; False where that cannot be read. Guards against a directory that
        has lost its list: one without any endpoint is not believed, and what was last told serves on.

        Changes of which a line was spoilt, and changes counted from an earlier revision than ours, say less
        than was changed: the whole list is asked for next."""
        try:
            told = orjson.loads(body)
            rows, whole, revision = told["members"], told["complete"], int(told["revision"])
            if not isinstance(rows, list) or not isinstance(whole, bool):
                return False
        except (ValueError, KeyError, TypeError, OverflowError):
            return False
        if whole and not rows:
            return False
        before, self.revision = self.revision, None
        sound = self.hear(rows, whole) if rows else True
        if whole or (sound and (before is None or revision >= before)):
            self.revision = revision
        return True
