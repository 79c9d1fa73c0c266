"""Plays a partner's model over HTTP/1.1 on loopback, as the sender's calls have it, with failures as sockets
have them: connections that are reset, and open ones that say nothing."""

from __future__ import annotations

import struct
from collections.abc import Callable
from contextlib import suppress
from time import monotonic_ns
from typing import Any

import gevent
from gevent import Timeout, socket
from gevent.server import StreamServer

from ashpath.emulator.destination_model import NEVER, Call, DestinationModel, Meets
from ashpath.server import wire_names
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.http.messages import HttpRequest
from ashpath.server.limits import ServerLimits

LINES = {
    Meets.OK: b"HTTP/1.1 200 OK",
    Meets.ERROR: b"HTTP/1.1 500 Internal Server Error",
    Meets.FULL: b"HTTP/1.1 503 Service Unavailable",
}
NOT_FOUND = b"HTTP/1.1 404 Not Found"
TOLD = b"HTTP/1.1 429 Too Many Requests"


def reset(sock: socket.socket) -> None:
    """Ends a connection as a process that died does."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Stand:
    """One endpoint of a partner. `began` is the moment from which the model's times count; `seen` is told of
    each call as it comes in, with what it meets, `over` of its end, and whether its caller heard of it. `way`
    is how long a message is on the way, each way."""

    def __init__(
        self,
        partner: DestinationModel,
        endpoint: str,
        limits: ServerLimits,
        began: int,
        seen: Callable[[int, str, str, Call], None] | None = None,
        over: Callable[[int, str, str, Call, int, bool], None] | None = None,
        way: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.partner, self.endpoint, self.limits = partner, endpoint, limits
        self.began, self.seen, self.over, self.way = began, seen, over, way
        self.open: dict[HttpConnection, None] = {}  # emptied as connections close
        self.server = StreamServer(("127.0.0.1", 0), self.serve, backlog=512)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def now(self) -> int:
        return monotonic_ns() // 1000 - self.began

    def serve(self, sock: socket.socket, _: Any) -> None:
        most = self.partner.nature.connections
        if self.partner.down or (most and len(self.open) >= most):
            return reset(sock)
        wire = HttpConnection(sock, self.limits)
        self.open[wire] = None
        try:
            fresh = True
            while self.call(wire, wire.read_request(), fresh):
                fresh = False
        except (OSError, ConnectionClosedError, ProtocolError):
            pass
        finally:
            self.open.pop(wire, None)
            wire.close()

    def call(self, wire: HttpConnection, request: HttpRequest, fresh: bool) -> bool:
        """One call and its answer; whether the connection goes on."""
        if request.path != wire_names.DELIVERY_PATH:
            wire.write(encode_message(NOT_FOUND, [], b""))
            return request.keep_alive
        envelope = request.headers.get(wire_names.TRACE_ID_HEADER, b"").decode("latin-1")
        key, track = request.headers.get(wire_names.IDEMPOTENCY_KEY_HEADER), request.body[:2].strip()
        number = int(track) if track.isdigit() else 0  # bodies of ours begin with the track's number
        known = None if key is None else key.decode("latin-1")
        gevent.sleep(self.way() / 1e6)
        arrived = self.now()
        call = self.partner.arrive(self.now(), self.endpoint, envelope, number, known, fresh)
        if self.seen is not None:
            self.seen(self.now(), self.endpoint, envelope, call)
        heard = False
        try:
            if not self.leaves(wire, call.after):
                heard = self.tell(wire, call)
        finally:
            self.partner.ended(self.now(), call, envelope)
            if self.over is not None:
                self.over(self.now(), self.endpoint, envelope, call, arrived, heard)
        return heard and request.keep_alive and not wire.unusable

    def tell(self, wire: HttpConnection, call: Call) -> bool:
        """The answer, if this end still answers; whether its caller can hear of it."""
        if call.meets in (Meets.RESET, Meets.REFUSED) or self.partner.down:
            wire.unusable = True
            reset(wire.sock)
            return True
        if self.partner.dumb(self.now()):
            return not self.leaves(wire, NEVER)
        gevent.sleep(self.way() / 1e6)
        wire.write(self.answer(call))
        return True

    @staticmethod
    def leaves(wire: HttpConnection, after: int) -> bool:
        """Waits for the moment of the answer; True if the caller goes before it."""
        with suppress(Timeout), Timeout(None if after >= NEVER else after / 1e6):
            wire.receive()
            return True
        return False

    @staticmethod
    def answer(call: Call) -> bytes:
        headers = [(wire_names.RETRY_AFTER_HEADER, b"%.3f" % (call.wait / 1e6))] if call.wait else []
        if call.left >= 0:
            headers.append(
                (wire_names.LOAD_REPORT_HEADER, f"TEXT x0={call.left:.3f}, x1={call.rate:g}".encode())
            )
        return encode_message(TOLD if call.wait else LINES[call.meets], headers, b"")

    def cut(self) -> None:
        """Resets what is open, as a machine that goes down and is seen to."""
        for wire in list(self.open):
            reset(wire.sock)

    def stop(self) -> None:
        self.server.stop(timeout=0)
        for wire in list(self.open):
            wire.close()


def at(began: int, moment: int, call: Callable[..., None], *arguments: Any) -> None:
    """Calls it at a moment of the model's clock."""
    gevent.spawn_later(max(0.0, (began + moment - monotonic_ns() // 1000) / 1e6), call, *arguments)
