"""The stage that clients meet: their connections, what they ask, and the answer each request gets."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress
from itertools import islice
from time import monotonic
from typing import Any

import gevent
from gevent import Timeout, socket
from gevent.event import Event

from ashpath.node import names
from ashpath.node.admit import Admit, answer
from ashpath.node.codec import Closed, Malformed, Message, Wire
from ashpath.node.limits import Limits
from ashpath.node.pool import Address


class TakeIn:
    """`silent`, `idle`, `reading`, `replying` and `parting` hold connections, longest in it first; each
    leaves them as it closes. A connection that this side ends is half closed first: whoever still writes can
    read what was answered, and what comes after that is read by nobody (`part`)."""

    def __init__(self, where: Address, limits: Limits, admit: Admit, log: Any) -> None:
        self.where, self.limits, self.admit, self.log = where, limits, admit, log
        self.silent: OrderedDict[Wire, float] = OrderedDict()  # before a first request, since when
        self.idle: OrderedDict[Wire, float] = OrderedDict()  # between requests
        self.reading: OrderedDict[Wire, float] = OrderedDict()  # within one
        self.replying: OrderedDict[Wire, float] = OrderedDict()  # its answer is not out yet
        self.parting: OrderedDict[Wire, float] = OrderedDict()  # half closed, until the client closes too
        self.clients = 0
        self.freed = Event()
        self.closing = False  # every answer ends its connection
        self.answered_by = float("inf")  # when whoever is still within a request is told 503
        self.lame = False  # a lame duck: not ready, every answer ends its connection, and nobody is refused
        self.inherited = False  # the listening socket is the platform's: another process may accept on it
        self.inquiry: Callable[[Message], tuple[int, bytes] | None] = lambda request: None

    def listen(self, inherited: int | None = None) -> None:
        """On the descriptor that the platform hands down when given: it is never bound a second time."""
        if inherited is not None:
            self.listener = socket.socket(fileno=inherited)
            self.inherited = True
            return
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(self.where)
        self.listener.listen(1024)

    def stop(self) -> None:
        """Takes no more connections: those still queued are for the process that shares the socket."""
        self.accepting = False
        with suppress(OSError):
            self.listener.close()

    def lameduck(self, lame: bool) -> None:
        """Clients are sent away, or back: each with its next answer, or where none is asked for, soon."""
        self.lame = lame
        if lame:
            gevent.spawn(self.send_away, self.limits.retire)

    def run(self) -> None:
        self.accepting = True
        while self.accepting:
            try:
                wire = Wire(self.listener.accept()[0], self.limits)
            except OSError:
                gevent.sleep(0.01)  # out of descriptors, or a client that left again
                continue
            self.clients += 1
            gevent.spawn(self.serve, wire)
            gevent.sleep(0)  # guards the rest against clients that connect without end
            while self.clients >= self.limits.clients:
                self.freed.clear()
                if not self.make_room():
                    self.freed.wait(0.05)

    def make_room(self) -> bool:
        """Closes who is sent away and stays, else who has said nothing, else who is idle longest, else who
        has stalled within a request."""
        limits = self.limits
        orders = (
            (self.parting, limits.hush), (self.silent, limits.hush), (self.idle, 0.0),
            (self.reading, limits.stall),
        )  # fmt: skip
        made = any(self.shut(held, least) for held, least in orders)
        if made:
            gevent.sleep(0)
        return made

    def shut(self, held: OrderedDict[Wire, float], least: float = 0.0) -> bool:
        """Closes the one longest in it, if it has been there so long and no request has just come. Within a
        request the first of which no bytes wait: one that still sends has not stalled."""
        for wire, since in islice(held.items(), self.limits.looked_at if held is self.reading else 1):
            if monotonic() - since < least:
                break
            if not wire.waiting() if held is self.reading else held is self.parting or wire.quiet():
                del held[wire]
                wire.close()
                return True
        return False

    def serve(self, wire: Wire) -> None:
        try:
            first = True
            while not wire.spoilt and self.exchange(wire, first):
                first = False
        except (OSError, Closed):
            pass
        except Exception:
            self.log.exception("fault")
            self.refuse(wire, 500)
        else:
            self.part(wire)
        finally:
            for held in (self.silent, self.idle, self.reading, self.replying, self.parting):
                held.pop(wire, None)
            wire.close()
            self.clients -= 1
            self.freed.set()

    def part(self, wire: Wire) -> None:
        """Ends a connection from this side. Guards an answer just written, and a request that crosses the
        end: its client finds no answer to it, on a connection that ended in order, and asks elsewhere."""
        if wire.left or wire.drained:
            return
        wire.drained = True
        wire.half_close()
        self.parting.setdefault(wire, monotonic())
        with suppress(OSError, Timeout), Timeout(self.limits.peer):
            wire.drain(self.limits.linger)

    def exchange(self, wire: Wire, first: bool) -> bool:
        """One request and its answer; whether the connection goes on."""
        waiting = self.silent if first else self.idle
        began = waiting[wire] = monotonic()
        # Guards clients against each other: those that ask once and stay would leave the rest no connection.
        while len(self.idle) > self.limits.idle and self.shut(self.idle):
            pass
        with suppress(Timeout), Timeout(self.limits.request if first else self.limits.quiet):
            wire.more()
        if not len(wire.buffer) and wire.waiting():
            wire.more()  # it came as the patience ended: closing on it would leave it unread
        waiting.pop(wire, None)
        if not len(wire.buffer) or wire.spoilt:
            return False  # closed, or silent for too long, or sent away: what came after that is not read
        self.reading[wire] = monotonic()
        # A first request counts from the connection's start: guards against bytes that drip.
        patience = self.limits.request - (monotonic() - began if first else 0.0)
        patience = min(patience, self.answered_by - monotonic())
        try:
            with Timeout(max(0.0, patience)):
                request = wire.read_request()
                if len(wire.buffer) or wire.waiting():
                    raise Malformed(400, "more than a request: its length is wrong, or no answer awaited")
        except ConnectionResetError:
            if wire.left:  # cut within a request, by a client that may still read
                self.tell(wire, answer(400, keep=False))
            return False
        except (Malformed, Timeout) as error:
            late = 503 if monotonic() >= self.answered_by else 408  # 503: its client goes to another process
            self.refuse(wire, error.status if isinstance(error, Malformed) else late)
            return False
        finally:
            self.reading.pop(wire, None)
        keep = request.keep and not wire.spoilt and not self.closing and not self.lame
        self.replying[wire] = monotonic()
        try:
            self.reply(wire, request, keep)
        finally:
            self.replying.pop(wire, None)
        return keep

    def refuse(self, wire: Wire, status: int) -> None:
        """An answer, then the rest is read: closing on unread bytes would take the answer back."""
        self.reading.pop(wire, None)
        if self.tell(wire, answer(status, keep=False)):
            self.part(wire)

    def reply(self, wire: Wire, request: Message, keep: bool) -> None:
        if request.path != names.HAND_IN:
            ready = 503 if self.closing or self.lame else 200
            told = (ready, b"") if request.path == names.READY else self.inquiry(request)
            status, body = told or (404, b"")
            self.tell(wire, answer(status, keep, body=body))
            return
        if request.method != b"POST":
            self.tell(wire, answer(405, keep))
            return
        try:
            entry = self.admit.envelope(request)
        except Malformed as error:
            self.tell(wire, answer(error.status, keep))
            return
        if self.admit.refusing or wire.ended():  # who has left will hand it in again
            self.tell(wire, answer(503, keep))
            return
        status, come_back = self.admit.take_on(entry)
        if not self.tell(wire, answer(status, keep, come_back)) and status == 202:
            self.admit.host.gone(entry)

    def tell(self, wire: Wire, data: bytes) -> bool:
        """False: the client had left, or did not take its answer."""
        try:
            with Timeout(self.limits.peer):
                wire.write(data)
        except (OSError, Timeout):
            wire.spoilt = True
            return False
        return True

    def send_away(self, grace: float) -> None:
        """Whoever asks within the grace (seconds) has an answer that ends its connection; idle ones are
        closed after it. One before its first request is not idle: it has its patience."""
        gevent.sleep(grace)
        if self.lame or self.closing:
            self.close_idle(self.idle)

    def close_idle(self, *held: OrderedDict[Wire, float]) -> None:
        """Between requests a connection may be closed: its client goes to another sender. Not one whose
        request has come and waits to be read."""
        for wire in [wire for wires in held or (self.silent, self.idle) for wire in wires]:
            if wire.quiet():
                self.silent.pop(wire, None)
                self.idle.pop(wire, None)
                self.parting[wire] = monotonic()
                wire.half_close()

    def leave(self) -> None:
        """The process ends: nobody who is still connected is reset for bytes that have come by now."""
        for wires in (self.silent, self.idle, self.parting):
            for wire in list(wires):
                wire.half_close()
                with suppress(OSError):
                    wire.sock.settimeout(0)
                    wire.drain(self.limits.linger)
