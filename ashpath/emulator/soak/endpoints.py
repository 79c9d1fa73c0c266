"""Endpoints of a run: one server per sender and endpoint, so that each call identifies its sender."""

from __future__ import annotations

from random import Random
from time import monotonic

import gevent
from gevent import socket
from gevent.server import StreamServer

from ashpath.core.json_types import JsonObject
from ashpath.emulator.fault_injection.discovery_agent import reset_connection
from ashpath.emulator.fault_injection.tcp_proxy import FaultProxy
from ashpath.emulator.soak.plan import EndpointBehaviour
from ashpath.emulator.soak.records import Call, Reply, SoakRecords
from ashpath.emulator.soak.retry_after_recorder import RetryAfterRecorder
from ashpath.emulator.stand_ins import LOOPBACK
from ashpath.server import wire_names
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError, ProtocolError
from ashpath.server.limits.http import HttpLimits

RETRY_AFTER_S = 0.6
HANG_S = 30.0
STATUS_LINES = {
    Reply.DELIVERED: b"HTTP/1.1 200 OK",
    Reply.OVERLOADED: b"HTTP/1.1 429 X",
    Reply.REFUSED: b"HTTP/1.1 503 X",
}


class SoakEndpoint:
    """One endpoint, which each sender reaches through a separate proxy."""

    def __init__(
        self,
        endpoint_id: str,
        destination: int,
        senders: int,
        records: SoakRecords,
        random: Random,
        limits: HttpLimits,
        behaviour: EndpointBehaviour,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.destination = destination
        self.down = False
        self._records = records
        self._random = random
        self._limits = limits
        self._behaviour = behaviour
        self._servers = [self._listen(sender) for sender in range(senders)]
        self.proxies = [FaultProxy((LOOPBACK, int(server.server_port or 0))) for server in self._servers]
        for sender, proxy in enumerate(self.proxies):
            proxy.observer = RetryAfterRecorder(sender, endpoint_id, destination, records)

    def _listen(self, sender: int) -> StreamServer:
        server = StreamServer((LOOPBACK, 0), lambda sock, _: self._serve(sock, sender))
        server.start()
        return server

    def member(self, sender: int, phase: str = "up") -> JsonObject:
        """Returns the endpoint's row in the endpoint list of one sender."""
        return {
            "id": self.endpoint_id,
            "cell": self.destination,
            "host_port": self.proxies[sender].address,
            "locality": "here",
            "flavor": "plain",
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

    def stop(self) -> None:
        """Stops the proxies and the servers."""
        for proxy in self.proxies:
            proxy.stop()
        for server in self._servers:
            server.stop(timeout=0)

    def _serve(self, sock: socket.socket, sender: int) -> None:
        connection = HttpConnection(sock, self._limits)
        try:
            while self._respond(connection, sender):
                pass
        except (OSError, ConnectionClosedError, ProtocolError):
            pass
        finally:
            connection.close()

    def _respond(self, connection: HttpConnection, sender: int) -> bool:
        """Serves one request, and returns whether the connection stays open."""
        request = connection.read_request()
        message_id = request.headers[wire_names.TRACE_ID_HEADER].decode()
        call = Call(message_id, sender, self.endpoint_id, self.destination, monotonic())
        call.reply = self._draw_reply()
        self._records.calls.append(call)
        try:
            return self._send_reply(connection, call)
        finally:
            call.ended_at = call.ended_at or monotonic()

    def _draw_reply(self) -> Reply:
        if self.down:
            return Reply.RESET
        if self._random.random() >= self._behaviour.fault_share:
            return Reply.DELIVERED
        return self._random.choice(self._behaviour.fault_replies)

    def _send_reply(self, connection: HttpConnection, call: Call) -> bool:
        if call.reply is Reply.HUNG:
            with gevent.Timeout(HANG_S, False):  # type: ignore[arg-type]  # False: the block just ends
                connection.receive()  # returns when the sender gives up
            return False
        if call.reply is Reply.RESET:
            reset_connection(connection.sock)
            return False
        if self._sender_gives_up(connection, self._random.uniform(*self._behaviour.processing_s)):
            call.reply = Reply.ABANDONED
            return False
        headers = []
        if call.reply is Reply.OVERLOADED:
            headers = [(wire_names.RETRY_AFTER_HEADER, b"%.2f" % RETRY_AFTER_S)]
        response = encode_message(STATUS_LINES[call.reply], headers, b"")
        call.ended_at = monotonic()
        connection.write(response)
        return True

    @staticmethod
    def _sender_gives_up(connection: HttpConnection, within_s: float) -> bool:
        """Waits `within_s` seconds. Returns True at once if the sender ends its side of the connection.

        Bytes of a further request stay buffered: they end neither the call nor the wait."""
        until = monotonic() + within_s
        while (left_s := until - monotonic()) > 0:
            with gevent.Timeout(left_s, False):  # type: ignore[arg-type]  # False: the block just ends
                if not connection.receive():
                    return True
        return False
