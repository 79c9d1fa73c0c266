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

from ashpath.server import wire_names
from ashpath.server.delivery.connection_pool import Address
from ashpath.server.http.admission import Admission
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_response
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError, TrailingBytesError
from ashpath.server.http.messages import HttpRequest
from ashpath.server.limits import ServerLimits


class ClientListener:
    """`silent`, `idle`, `reading`, `replying` and `parting` hold connections, longest in it first; each
    leaves them as it closes. A connection that this side ends is half closed first: whoever still writes can
    read what was answered, and what comes after that is read by nobody (`part`)."""

    def __init__(self, where: Address, limits: ServerLimits, admit: Admission, log: Any) -> None:
        self.where, self.limits, self.admission, self.log = where, limits, admit, log
        self.silent: OrderedDict[HttpConnection, float] = OrderedDict()  # before a first request, since when
        self.idle: OrderedDict[HttpConnection, float] = OrderedDict()  # between requests
        self.reading: OrderedDict[HttpConnection, float] = OrderedDict()  # within one
        self.replying: OrderedDict[HttpConnection, float] = OrderedDict()  # its answer is not out yet
        self.half_closed: OrderedDict[HttpConnection, float] = (
            OrderedDict()
        )  # half closed, until the client closes too
        self.clients = 0
        self.freed = Event()
        self.closing = False  # every answer ends its connection
        self.answered_by = float("inf")  # when whoever is still within a request is told 503
        self.lame_duck = (
            False  # a lame duck: not ready, every answer ends its connection, and nobody is refused
        )
        self.inherited = False  # the listening socket is the platform's: another process may accept on it
        self.status_api: Callable[[HttpRequest], tuple[int, bytes] | None] = lambda request: None

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

    def set_lame_duck(self, lame: bool) -> None:
        """Clients are sent away, or back: each with its next answer, or where none is asked for, soon."""
        self.lame_duck = lame
        if lame:
            gevent.spawn(self.drain_clients, self.limits.drain_clients_s)

    def run(self) -> None:
        self.accepting = True
        while self.accepting:
            try:
                wire = HttpConnection(self.listener.accept()[0], self.limits)
            except OSError:
                gevent.sleep(0.01)  # out of descriptors, or a client that left again
                continue
            self.clients += 1
            gevent.spawn(self.serve, wire)
            gevent.sleep(0)  # guards the rest against clients that connect without end
            while self.clients >= self.limits.client_connections:
                self.freed.clear()
                if not self.evict_one():
                    self.freed.wait(0.05)

    def evict_one(self) -> bool:
        """Closes who is sent away and stays, else who has said nothing, else who is idle longest, else who
        has stalled within a request."""
        limits = self.limits
        orders = (
            (self.half_closed, limits.silent_eviction_s),
            (self.silent, limits.silent_eviction_s),
            (self.idle, 0.0),
            (self.reading, limits.stalled_request_s),
        )
        made = any(self.shut(held, least) for held, least in orders)
        if made:
            gevent.sleep(0)
        return made

    def shut(self, held: OrderedDict[HttpConnection, float], least: float = 0.0) -> bool:
        """Closes the one longest in it, if it has been there so long and no request has just come. Within a
        request the first of which no bytes wait: one that still sends has not stalled."""
        for wire, since in islice(
            held.items(), self.limits.eviction_candidates if held is self.reading else 1
        ):
            if monotonic() - since < least:
                break
            if not wire.peek_byte() if held is self.reading else held is self.half_closed or wire.is_quiet():
                del held[wire]
                wire.close()
                return True
        return False

    def serve(self, wire: HttpConnection) -> None:
        try:
            first = True
            while not wire.unusable and self.exchange(wire, first):
                first = False
        except (OSError, ConnectionClosedError):
            pass
        except Exception:
            self.log.exception("unexpected error")
            self.refuse(wire, 500)
        else:
            self.half_close(wire)
        finally:
            for held in (self.silent, self.idle, self.reading, self.replying, self.half_closed):
                held.pop(wire, None)
            wire.close()
            self.clients -= 1
            self.freed.set()

    def half_close(self, wire: HttpConnection) -> None:
        """Ends a connection from this side. Guards an answer just written, and a request that crosses the
        end: its client finds no answer to it, on a connection that ended in order, and asks elsewhere."""
        if wire.eof_received or wire.drain_started:
            return
        wire.drain_started = True
        wire.half_close()
        self.half_closed.setdefault(wire, monotonic())
        with suppress(OSError, Timeout), Timeout(self.limits.response_write_s):
            wire.drain(self.limits.drain_bytes)

    def exchange(self, wire: HttpConnection, first: bool) -> bool:
        """One request and its answer; whether the connection goes on."""
        waiting = self.silent if first else self.idle
        began = waiting[wire] = monotonic()
        # Guards clients against each other: those that ask once and stay would leave the rest no connection.
        while len(self.idle) > self.limits.idle_client_connections and self.shut(self.idle):
            pass
        with suppress(Timeout), Timeout(self.limits.request_s if first else self.limits.client_idle_s):
            wire.receive()
        if not len(wire.buffer) and wire.peek_byte():
            wire.receive()  # it came as the patience ended: closing on it would leave it unread
        waiting.pop(wire, None)
        if not len(wire.buffer) or wire.unusable:
            return False  # closed, or silent for too long, or sent away: what came after that is not read
        self.reading[wire] = monotonic()
        # A first request counts from the connection's start: guards against bytes that drip.
        patience = self.limits.request_s - (monotonic() - began if first else 0.0)
        patience = min(patience, self.answered_by - monotonic())
        try:
            with Timeout(max(0.0, patience)):
                request = wire.read_request()
                if len(wire.buffer) or wire.peek_byte():
                    raise TrailingBytesError
        except ConnectionResetError:
            if wire.eof_received:  # cut within a request, by a client that may still read
                self.write_response(wire, encode_response(400, keep_alive=False))
            return False
        except (ProtocolError, Timeout) as error:
            late = 503 if monotonic() >= self.answered_by else 408  # 503: its client goes to another process
            self.refuse(wire, error.status if isinstance(error, ProtocolError) else late)
            return False
        finally:
            self.reading.pop(wire, None)
        keep = request.keep_alive and not wire.unusable and not self.closing and not self.lame_duck
        self.replying[wire] = monotonic()
        try:
            self.reply(wire, request, keep)
        finally:
            self.replying.pop(wire, None)
        return keep

    def refuse(self, wire: HttpConnection, status: int) -> None:
        """An answer, then the rest is read: closing on unread bytes would take the answer back."""
        self.reading.pop(wire, None)
        if self.write_response(wire, encode_response(status, keep_alive=False)):
            self.half_close(wire)

    def reply(self, wire: HttpConnection, request: HttpRequest, keep: bool) -> None:
        if request.path != wire_names.SUBMIT_PATH:
            ready = 503 if self.closing or self.lame_duck else 200
            told = (ready, b"") if request.path == wire_names.READINESS_PATH else self.status_api(request)
            status, body = told or (404, b"")
            self.write_response(wire, encode_response(status, keep_alive=keep, body=body))
            return
        if request.method != b"POST":
            self.write_response(wire, encode_response(405, keep_alive=keep))
            return
        try:
            entry = self.admission.parse_request(request)
        except ProtocolError as error:
            self.write_response(wire, encode_response(error.status, keep_alive=keep))
            return
        if self.admission.refusing or wire.closed_by_peer():  # who has left will hand it in again
            self.write_response(wire, encode_response(503, keep_alive=keep))
            return
        status, come_back = self.admission.admit(entry)
        if (
            not self.write_response(wire, encode_response(status, keep_alive=keep, retry_after=come_back))
            and status == 202
        ):
            self.admission.policy_runner.client_disconnected(entry)

    def write_response(self, wire: HttpConnection, data: bytes) -> bool:
        """False: the client had left, or did not take its answer."""
        try:
            with Timeout(self.limits.response_write_s):
                wire.write(data)
        except (OSError, Timeout):
            wire.unusable = True
            return False
        return True

    def drain_clients(self, grace: float) -> None:
        """Whoever asks within the grace (seconds) has an answer that ends its connection; idle ones are
        closed after it. One before its first request is not idle: it has its patience."""
        gevent.sleep(grace)
        if self.lame_duck or self.closing:
            self.close_idle(self.idle)

    def close_idle(self, *held: OrderedDict[HttpConnection, float]) -> None:
        """Between requests a connection may be closed: its client goes to another sender. Not one whose
        request has come and waits to be read."""
        for wire in [wire for wires in held or (self.silent, self.idle) for wire in wires]:
            if wire.is_quiet():
                self.silent.pop(wire, None)
                self.idle.pop(wire, None)
                self.half_closed[wire] = monotonic()
                wire.half_close()

    def close_all(self) -> None:
        """The process ends: nobody who is still connected is reset for bytes that have come by now."""
        for wires in (self.silent, self.idle, self.half_closed):
            for wire in list(wires):
                wire.half_close()
                with suppress(OSError):
                    wire.sock.settimeout(0)
                    wire.drain(self.limits.drain_bytes)
