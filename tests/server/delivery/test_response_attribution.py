"""Responses that come twice, late or invented are not attributed to another request on the connection."""

from __future__ import annotations

import gevent
import pytest
from gevent import socket
from support.sender_harness import LIMITS, SenderHarness, wait_until
from support.sender_parts import DeliverySetup

from ashpath.core.interface import AttemptOutcome
from ashpath.server.delivery.endpoint_connection import CloseReason
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


class ScriptedEndpoint:
    """Writes, for each request of a connection in turn, the parts of a list: bytes after a pause each."""

    def __init__(self, harness: SenderHarness, *scripts: list[tuple[float, bytes]]) -> None:
        self.scripts = scripts
        harness.servers[0].set_handle(self.serve)

    def serve(self, sock: socket.socket, _: object) -> None:
        connection = HttpConnection(sock, LIMITS.http)
        try:
            for script in self.scripts:
                connection.read_request()
                for pause_s, data in script:
                    gevent.sleep(pause_s)
                    connection.write(data)
            connection.receive()
        except (OSError, ConnectionClosedError):
            connection.close()


WAITING = encode_message(b"HTTP/1.1 429 X", [(b"Retry-After", b"2.0")], b"")
FIRST = [(0.0, DELIVERED)]


def outcomes_of_two(harness: SenderHarness, second: list[tuple[float, bytes]]) -> DeliverySetup:
    """Returns the setup after two attempts, the second on the connection of the first, 70 ms later."""
    ScriptedEndpoint(harness, FIRST, second)
    delivery_setup = DeliverySetup(harness)
    delivery_setup.start("a", b"")
    wait_until(lambda: len(delivery_setup.outcomes) == 1)
    gevent.sleep(0.07)
    delivery_setup.start("b", b"")
    wait_until(lambda: len(delivery_setup.outcomes) == 2)
    return delivery_setup


# A late copy of the response before counted for the request that was out; the true response came behind it.
@pytest.mark.parametrize(
    ("second", "outcome", "is_in_doubt"),
    [
        ([(0.0, DELIVERED)], AttemptOutcome.DELIVERED, False),
        ([(0.0, REFUSED)], AttemptOutcome.OVERLOADED, False),
        ([(0.0, DELIVERED + REFUSED)], AttemptOutcome.CONNECTION_RESET, False),
        ([(0.0, REFUSED + DELIVERED)], AttemptOutcome.CONNECTION_RESET, False),
        ([(0.0, REFUSED), (0.03, DELIVERED)], AttemptOutcome.CONNECTION_RESET, False),
        ([(0.0, DELIVERED), (0.1, REFUSED)], AttemptOutcome.DELIVERED, True),
        ([(0.0, DELIVERED), (0.1, REFUSED[:9])], AttemptOutcome.DELIVERED, True),
        ([(0.0, DELIVERED), (0.1, b"\x15\x03\x03")], AttemptOutcome.DELIVERED, False),
    ],
)
def test_second_response_puts_provisional_result_in_doubt(
    harness: SenderHarness, second: list[tuple[float, bytes]], outcome: AttemptOutcome, is_in_doubt: bool
) -> None:
    delivery_setup = outcomes_of_two(harness, second)
    assert delivery_setup.outcomes == [AttemptOutcome.DELIVERED, outcome]
    if is_in_doubt:
        wait_until(lambda: delivery_setup.doubtful == ["b"])
    gevent.sleep(0.15)
    delivery_setup.pool.attribution.confirm_all()
    delivered = outcome is AttemptOutcome.DELIVERED
    assert delivery_setup.confirmed == (["b"] if delivered and not is_in_doubt else [])


# A withheld 429 let other calls go before its Retry-After was over (brink, seeds 1 and 2: rule on waits).
def test_retry_after_of_withheld_response_binds_at_once(harness: SenderHarness) -> None:
    delivery_setup = outcomes_of_two(harness, [(0.0, WAITING)])
    assert delivery_setup.outcomes[1] is AttemptOutcome.OVERLOADED
    assert delivery_setup.early_retry_afters == [2_000_000]


def test_extra_response_distrusts_connections_of_all_endpoints(harness: SenderHarness) -> None:
    """Each request then has a connection of its own, until the distrust ends."""
    ScriptedEndpoint(harness, [(0.0, DELIVERED), (0.02, REFUSED)])
    delivery_setup = DeliverySetup(harness)
    for count, endpoint in enumerate(("e1", "e2", "e2"), 1):
        delivery_setup.start(f"m{count}", b"", endpoint)
        wait_until(lambda count=count: len(delivery_setup.outcomes) == count)  # type: ignore[misc]  # bound in the loop
        gevent.sleep(0.08)
    assert delivery_setup.outcomes == [AttemptOutcome.DELIVERED] * 3
    assert delivery_setup.pool.opened == 3
    assert delivery_setup.pool.closed[CloseReason.DISTRUST] == 2
    assert delivery_setup.pool.attribution.extra_responses == 1
