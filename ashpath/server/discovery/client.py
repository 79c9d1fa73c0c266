"""Follows the directory: a watch that is asked for anew at once, and outlasts silence."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from random import Random
from time import monotonic
from typing import Any

import gevent
import orjson

from ashpath.server import wire_names
from ashpath.server.agent_client import AgentConnection
from ashpath.server.backoff import Backoff
from ashpath.server.delivery.connection_pool import Address
from ashpath.server.delivery.response_classifier import number
from ashpath.server.http.messages import HttpResponse
from ashpath.server.limits import ServerLimits

Hear = Callable[[list[dict[str, Any]], bool], bool]


class Moved(Exception):
    """The directory is elsewhere from now on."""


class DiscoveryClient:
    """`first`: seconds to wait with the first call, while the list as last held serves. A change between
    answers, calls turned away, silence, and lists that cannot be read is logged once.

    Whatever became of a call, the next one is on its way before 6 s are over: a change counts as told by
    then, once the directory had it and could be reached."""

    def __init__(
        self,
        address: Address,
        limits: ServerLimits,
        revision: int,
        hear: Hear,
        chance: Random,
        log: Any,
        first: float = 0.0,
    ) -> None:
        self.log, self.state, self.calls_in_state = log, "answers", 0  # since the last change of state
        self.connection, self.limits, self.on_members, self.first_poll_delay = (
            AgentConnection(address, limits),
            limits,
            hear,
            first,
        )
        self.last_response_at = monotonic()  # or begun
        self.pausing: Any = None  # the greenlet that sits out a pause
        self.revision: int | None = revision  # none: the whole list is asked for
        # Silence and refused connections are an outage, whose end is to be seen soon. A call turned away is
        # more than the directory can answer: a try sooner than it takes to give up on one is the next such.
        self.silent_backoff = Backoff(chance, limits.retry_s, limits.discovery_backoff_s)
        self.rejected_backoff = Backoff(
            chance,
            limits.watch_s,
            limits.discovery_rejected_backoff_s,
            limits.discovery_rejected_backoff_s,
            limits.discovery_jitter,
        )

    def move(self, address: Address) -> None:
        """Another agent may count its revisions anew, and have missed or told what the old one had not. What
        the old one still answers is not read, and no pause that it caused is sat out."""
        self.revision = None
        if address != self.connection.address:
            self.silent_backoff.reset()
            self.rejected_backoff.reset()
            if self.pausing is not None:
                gevent.kill(self.pausing, Moved)  # at its next switch
        self.connection.move(address)

    def pause(self, seconds: float) -> None:
        self.pausing = gevent.getcurrent()
        with suppress(Moved):
            gevent.sleep(seconds)
        self.pausing = None

    def poll(self, patience: float) -> HttpResponse | None:
        """One call, and whether its answer was a list that could be read is said by `self.revision`."""
        wait = int(self.limits.watch_s * 1000)
        watch = b"" if self.revision is None else b"?index=%d&wait=%d" % (self.revision, wait)
        return self.connection.call(
            b"GET %s%s HTTP/1.1" % (wire_names.ENDPOINT_LIST_PATH, watch), b"", patience
        )

    def initial_snapshot(self) -> None:
        """Before anything is sent: what the platform's agent has by now counts as told from the first moment
        of the process, and `known` may be old. Where it does not answer at once, `known` serves."""
        self.revision = None
        answer = self.poll(self.limits.initial_snapshot_s)
        if answer is not None and answer.status == 200 and self.apply_response(answer.body):
            self.first_poll_delay = 0.0

    def run(self) -> None:
        gevent.sleep(self.first_poll_delay)
        while True:
            asked = self.connection.address
            answer = self.poll(self.limits.watch_s + self.limits.watch_grace_s)
            if asked != self.connection.address:
                continue
            if answer is not None and answer.status == 200 and self.apply_response(answer.body):
                self.last_response_at = monotonic()
                self.silent_backoff.reset()
                self.rejected_backoff.reset()
                self.log_state("answers", answer)
                continue
            if answer is None:
                self.revision = None  # who answers next may have begun anew, and count its revisions anew
            # Guards the directory against a fleet that failed together and would come back together.
            if answer is not None and answer.status in (429, 503):
                self.log_state("turns calls away", answer)
                self.pause(
                    self.rejected_backoff.next_pause(
                        number(answer.headers.get(wire_names.RETRY_AFTER_HEADER))
                    )
                )
            else:
                self.log_state("silent" if answer is None else "not read", answer)
                self.pause(self.silent_backoff.next_pause())

    def log_state(self, state: str, answer: HttpResponse | None) -> None:
        self.calls_in_state += 1
        if state != self.state:
            status = answer.status if answer is not None else 0
            revision = self.revision or 0
            self.log.info("discovery", now=state, status=status, tries=self.calls_in_state, revision=revision)
            self.state, self.calls_in_state = state, 0

    def apply_response(self, body: bytes) -> bool:
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
        sound = self.on_members(rows, whole) if rows else True
        if whole or (sound and (before is None or revision >= before)):
            self.revision = revision
        return True
