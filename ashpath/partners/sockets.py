"""Plays a partner's model over HTTP/1.1 on loopback, as the sender's calls have it."""

from __future__ import annotations

from contextlib import suppress
from time import monotonic_ns
from typing import Any

from gevent import Timeout, socket
from gevent.server import StreamServer

from ashpath.node import names
from ashpath.node.codec import Closed, Malformed, Message, Wire, write_head
from ashpath.node.limits import Limits
from ashpath.partners.model import Meets, Partner

LINES = {
    200: b"200 OK",
    429: b"429 Too Many Requests",
    503: b"503 Service Unavailable",
    404: b"404 Not Found",
}


class Stand:
    """One endpoint of a partner. `began` is the moment from which the model's times count."""

    def __init__(self, partner: Partner, limits: Limits, began: int) -> None:
        self.partner, self.limits, self.began = partner, limits, began
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def now(self) -> int:
        return monotonic_ns() // 1000 - self.began

    def serve(self, sock: socket.socket, _: Any) -> None:
        wire = Wire(sock, self.limits)
        try:
            while self.call(wire, wire.read_request()):
                pass
        except (OSError, Closed, Malformed):
            pass
        finally:
            wire.close()

    def call(self, wire: Wire, request: Message) -> bool:
        """One call and its answer; whether the connection goes on."""
        if request.path != names.HOOK:
            wire.write(write_head(b"HTTP/1.1 " + LINES[404], [], b""))
            return request.keep
        envelope = request.headers.get(names.TRACE, b"").decode("latin-1")
        key = request.headers.get(names.TAG)
        met = self.partner.arrive(self.now(), envelope, None if key is None else key.decode("latin-1"))
        try:
            gone = self.leaves(wire, met.after)
        finally:
            self.partner.left(envelope)
        if gone:
            return False
        wire.write(self.answer(met))
        return request.keep

    @staticmethod
    def leaves(wire: Wire, after: int | None) -> bool:
        """Waits for the moment of the answer; True if the caller goes before it."""
        with suppress(Timeout), Timeout(None if after is None else after / 1e6):
            wire.more()
            return True
        return False

    @staticmethod
    def answer(met: Meets) -> bytes:
        headers = [(names.WAIT, b"%.3f" % (met.wait / 1e6))] if met.wait else []
        if met.report:
            headers.append((names.REPORT, met.report.encode()))
        return write_head(b"HTTP/1.1 " + LINES[met.status], headers, b"")

    def stop(self) -> None:
        self.server.stop(timeout=0)
