"""Responses that come twice, late or invented are not attributed to another request on the connection."""

from __future__ import annotations

from time import monotonic

import gevent
import pytest
from gevent import socket
from support.sender_harness import LIMITS, SenderHarness, wait_until
from support.sender_parts import DeliverySetup

from ashpath.core.interface import AttemptOutcome
from ashpath.core.time_units import SECOND
from ashpath.policy.tuning import QUIET_TIME
from ashpath.server.delivery.endpoint_connection import CloseReason, EndpointConnection
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.encoding import encode_message
from ashpath.server.http.errors import ConnectionClosedError

PROCESSING_S = 0.06
DELIVERED = encode_message(b"HTTP/1.1 200 OK", [], b"")
ERROR = encode_message(b"HTTP/1.1 500 X", [], b"")
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


CONFIRMED = {AttemptOutcome.OVERLOADED: ["b refused"]}


# A late copy of the response before counted for the request that was out; the true response came behind it.
@pytest.mark.parametrize(
    ("second", "outcome", "is_in_doubt"),
    [
        ([(0.0, DELIVERED)], AttemptOutcome.DELIVERED, False),
        ([(0.0, REFUSED)], AttemptOutcome.OVERLOADED, False),
        ([(0.0, DELIVERED + REFUSED)], AttemptOutcome.CONNECTION_RESET, False),
        ([(0.0, REFUSED + DELIVERED)], AttemptOutcome.CONNECTION_RESET, False),
        ([(0.0, REFUSED), (0.03, DELIVERED)], AttemptOutcome.OVERLOADED, True),
        ([(0.0, ERROR), (0.03, DELIVERED)], AttemptOutcome.ERROR, True),
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
    gevent.sleep(0.15)
    attribution = delivery_setup.pool.attribution
    attribution.forget_certain_refusals()
    assert attribution.results_in_doubt == int(is_in_doubt)
    is_delivered = outcome is AttemptOutcome.DELIVERED
    assert delivery_setup.doubtful == (["b"] if is_delivered and is_in_doubt else [])
    assert delivery_setup.confirmed == ([] if is_in_doubt else CONFIRMED.get(outcome, []))


# A refusal that was another request's let the message be sent again beside itself, or end as 'never ran'.
@pytest.mark.parametrize(("pause_s", "outcome"), [(0.03, AttemptOutcome.CONNECTION_RESET), (0.0, None)])
def test_retry_waits_until_refusal_before_it_is_certain(
    harness: SenderHarness, pause_s: float, outcome: AttemptOutcome | None
) -> None:
    second = [(0.0, REFUSED), (pause_s, DELIVERED)] if outcome else [(0.0, REFUSED)]
    delivery_setup = outcomes_of_two(harness, second)
    message = delivery_setup.last_message
    began_at = monotonic()
    delivery_setup.retry(message)
    wait_until(lambda: len(delivery_setup.outcomes) == 3)
    if outcome is None:
        assert monotonic() - began_at > 0.8 * QUIET_TIME / SECOND
        assert not delivery_setup.pool.attribution.take_uncertain(message)
    else:
        assert delivery_setup.outcomes[2] is outcome
        assert delivery_setup.pool.opened == 1  # the retry was not written


def test_message_with_uncertain_refusal_has_failed_and_is_not_rejected(harness: SenderHarness) -> None:
    """A client submits a rejected message again, which may have run."""
    delivery_setup = outcomes_of_two(harness, [(0.0, REFUSED)])
    message = delivery_setup.last_message
    delivery_setup.recorder.write_ahead_log.record_submitted(message)
    delivery_setup.recorder.record_rejected(message, 0)
    assert message.notice == '{"id":"b","status":"undeliverable"}'


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


def test_late_copy_is_not_the_response_of_a_request_that_hangs(harness: SenderHarness) -> None:
    """The true response never comes, so that the connection never shows one response too many."""
    ScriptedEndpoint(harness, [(0.0, DELIVERED)], [(0.1, DELIVERED)])
    delivery_setup = DeliverySetup(harness)
    delivery_setup.start("a", b"")
    wait_until(lambda: len(delivery_setup.outcomes) == 1)
    gevent.sleep(0.07)
    delivery_setup.start("b", b"", timeout=500_000)
    wait_until(lambda: len(delivery_setup.outcomes) == 2)
    assert delivery_setup.outcomes[1] is not AttemptOutcome.DELIVERED


# The response to a sender that was held up behind its write counted as an extra one: a delivered message was
# sent again, or ended by a notice.
def test_response_that_arrives_while_sender_is_held_up_counts(
    harness: SenderHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    ScriptedEndpoint(harness, FIRST, FIRST)
    write = EndpointConnection.write

    def write_and_be_held_up(connection: EndpointConnection, data: bytes) -> None:
        write(connection, data)
        gevent.sleep(0.1)

    monkeypatch.setattr(EndpointConnection, "write", write_and_be_held_up)
    delivery_setup = DeliverySetup(harness)
    for count in (1, 2):
        delivery_setup.start(f"m{count}", b"")
        wait_until(lambda count=count: len(delivery_setup.outcomes) == count)  # type: ignore[misc]  # bound in the loop
    assert delivery_setup.outcomes == [AttemptOutcome.DELIVERED] * 2
    assert delivery_setup.pool.opened == 1
