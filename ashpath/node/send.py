"""The stage that carries one shot: a connection, the call, and what came back."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from errno import EMFILE, ENFILE
from typing import Any

import gevent
from gevent import Timeout
from gevent.event import Event

from ashpath.node import names
from ashpath.node.codec import Closed, Malformed, Message, Wire, host, write_head
from ashpath.node.ledger import Entry
from ashpath.node.pool import Address, Pool
from ashpath.node.route import Route
from ashpath.node.timers import now

OUT_OF_DESCRIPTORS = (EMFILE, ENFILE)


class Withdrawn(Exception):
    """The module called the shot off."""


class Unsent(Exception):
    """Nothing went out, and the endpoint is not to blame: the shot stands no more, or descriptors are out."""


@dataclass(eq=False)
class Flight:
    """One shot on its way. `written`: its last byte is out, so that it may have run."""

    entry: Entry
    endpoint: str
    due: int
    timeout: int
    written: bool = False
    fresh: bool = False  # the first call on its connection
    ordered: bool = False  # its message goes one at a time with others of its key
    answer: Message | None = None
    failure: BaseException | None = None
    greenlet: Any = None  # that carries it, once it has begun

    def withdraw(self) -> None:
        if self.greenlet is None:
            self.failure = Withdrawn()
        elif self.answer is None and self.failure is None:
            self.greenlet.kill(Withdrawn, block=False)


class Send:
    """Each flight ends in one call of `relay`, whatever happens on the way."""

    def __init__(self, pool: Pool, route: Route, relay: Callable[[Flight], None]) -> None:
        self.pool, self.route, self.relay = pool, route, relay
        self.passes: dict[int, bytes] = {}  # what shows a destination that it is us, where it asks for that
        self.stands: Callable[[Entry], bool] = lambda entry: True  # the module's word on it
        self.untold: Callable[[Entry], Event | None] = lambda entry: None  # see `ends_told`

    def begin(self, flight: Flight) -> None:
        gevent.spawn(self.fly, flight, self.route.addresses.get(flight.endpoint))

    def fly(self, flight: Flight, where: Address | None) -> None:
        if flight.failure is not None:  # called off before it began
            return self.relay(flight)
        wire, flight.greenlet = None, gevent.getcurrent()
        try:
            with Timeout(max(0.0, (flight.due - now()) / 1e6)):
                if flight.ordered:
                    self.ends_told(flight)
                if where is not None:
                    wire = self.pool.take(flight.endpoint)
                    if wire is None and self.pool.has_room():
                        wire = self.pool.connect(where)
                # Guards drains and waits: the connection may have come up long after either was told. Nor
                # does an address stand that the endpoint left meanwhile: another's may have it by now.
                moved = self.route.addresses.get(flight.endpoint) != where
                if where is None or wire is None or moved or not self.stands(flight.entry):
                    raise Unsent
                flight.fresh = not wire.idled
                wire.write(self.call(flight, where))
                flight.written = True
                flight.answer = wire.read_answer()
        except (Timeout, Withdrawn) as failure:
            flight.failure = failure
            if wire is None and isinstance(failure, Timeout):
                flight.failure = Unsent()  # the call's time was shorter than a dial has: it proves nothing
            if flight.written and wire is not None:  # a 200 that came in this very moment has delivered it
                flight.answer = wire.last_word()
        except OSError as failure:
            flight.failure = Unsent() if failure.errno in OUT_OF_DESCRIPTORS else failure
        except (Closed, Malformed, Unsent) as failure:
            flight.failure = failure
        except Exception as failure:  # an address that no dial takes, say: the slot must come back
            self.route.log.exception("fault")
            flight.failure = failure
        if wire is None or where is None:
            return self.relay(flight)
        if isinstance(flight.failure, (OSError, Closed)) and not len(wire.buffer):
            self.pool.dropped(flight.endpoint, wire)
        if flight.answer is None or not flight.answer.keep:
            self.pool.close(wire)  # giving up closes: an answer that came later would be taken for the next
            return self.relay(flight)
        if wire.body_here():  # before the turn, whose shots may then use this connection
            self.settle(flight.endpoint, where, wire)
            return self.relay(flight)
        self.relay(flight)
        return self.settle(flight.endpoint, where, wire)

    def ends_told(self, flight: Flight) -> None:
        """Waits until ends of its key's earlier messages have been heard, for half of the call's time. Guards
        the order: to those who are told by a notice an earlier one is not over before that."""
        with Timeout(max(0.0, (flight.due - now()) / 2e6), Unsent):
            while heard := self.untold(flight.entry):
                heard.wait()

    def settle(self, endpoint: str, where: Address, wire: Wire) -> None:
        """The rest of an answer, then the connection is free."""
        try:
            with Timeout(self.pool.limits.peer):
                wire.finish_answer()
        except (OSError, Closed, Malformed, Timeout, Withdrawn):  # called off as the answer came
            wire.spoilt = True
        if self.route.addresses.get(endpoint) != where:  # gone, or moved, while it answered
            wire.spoilt = True
        self.pool.give_back(endpoint, wire)

    def call(self, flight: Flight, where: Address) -> bytes:
        entry = flight.entry
        headers = [host(where), (names.TRACE, entry.trace.encode())]
        if entry.tag is not None:
            headers.append((names.TAG, entry.tag.encode()))
        if entry.destination in self.passes:
            headers.append((names.PASS, self.passes[entry.destination]))
        headers.append((names.EXPIRES, b"%d" % max(1, flight.timeout // 1000)))
        return write_head(b"POST %s HTTP/1.1" % names.HOOK, headers, entry.body)
