"""Responses that come twice, late or invented are not attributed to another request on the connection."""

from __future__ import annotations

import gevent
from gevent import socket
from support.sender_harness import LIMITS, SenderHarness, wait_until
from support.sender_parts import DeliverySetup

from ashpath.core.interface import AttemptOutcome
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError

PROCESSING_S = 0.06
DELIVERED = encode_message(b"HTTP/1.1 200 OK", [], b"")
REFUSED = encode_message(b"HTTP/1.1 503 X", [], b"")


class RepeatingEndpoint:
    """Responds by the body of a request, and writes the response to the first request a second time."""

    def __init__(self, harness: SenderHarness, copy_after_s: float) -> None:
        self.copy_after_s = copy_after_s
        self.requests = 0
        harness.servers[0].set_handle(self.serve)

    def serve(self, sock: socket.socket, _: object) -> None:
        connection = HttpConnection(sock, LIMITS.http)
        try:
            while True:
                self.respond(connection)
        except (OSError, ConnectionClosedError):
            connection.close()

    def respond(self, connection: HttpConnection) -> None:
        request = connection.read_request()
        self.requests += 1
        is_first = self.requests == 1
        if not is_first:
            gevent.sleep(PROCESSING_S)
        response = REFUSED if request.body == b"503" else DELIVERED
        connection.write(response)
        if is_first:
            gevent.spawn_later(self.copy_after_s, connection.sock.sendall, response)


# The response to a repeated 200 counted as a refusal, that to a repeated 503 as a delivery: messages were
# lost, or sent again beside themselves.
def test_repeated_response_is_not_taken_for_that_of_the_next_request(harness: SenderHarness) -> None:
    RepeatingEndpoint(harness, copy_after_s=0.01)
    delivery_setup = DeliverySetup(harness)
    delivery_setup.start("a", b"200")
    wait_until(lambda: len(delivery_setup.outcomes) == 1)
    delivery_setup.start("b", b"503")
    wait_until(lambda: len(delivery_setup.outcomes) == 2)
    assert delivery_setup.outcomes == [AttemptOutcome.DELIVERED, AttemptOutcome.OVERLOADED]
