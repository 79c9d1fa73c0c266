"""Connection pool: reuse, limits and idle times of connections to endpoints."""

from __future__ import annotations

from time import monotonic

import pytest
from gevent import socket
from msgspec.structs import replace
from support.limits import connection_pool
from support.sender_harness import LIMITS, SenderHarness, request, reset_connection, wait_until
from support.sender_parts import DeliverySetup

from ashpath.core.interface import AttemptOutcome
from ashpath.core.time_units import SECOND
from ashpath.policy.response_trust import ResponseTrust
from ashpath.policy.tuning import QUIET_TIME, RESPONSE_LATENESS
from ashpath.server.addresses import Address
from ashpath.server.delivery.connection_pool import ConnectionPool, IdleConnection
from ashpath.server.delivery.endpoint_connection import CloseReason
from ashpath.server.delivery.errors import ConnectionPoolFullError
from ashpath.server.http.connection import HttpConnection
from ashpath.server.self_checks import Check
from ashpath.server.timers import now

QUIET_S = 1.2 * QUIET_TIME / SECOND  # after which a connection may carry its next request


def endpoint_address(harness: SenderHarness) -> Address:
    """The address at which all endpoints of the harness listen."""
    port = harness.servers[0].server_port
    assert port is not None
    return "127.0.0.1", port


def backdate_idle_connection(pool: ConnectionPool, index: int, seconds: float) -> None:
    """Makes an idle connection of endpoint e1 look idle for `seconds` longer."""
    since, connection = pool.idle["e1"][index]
    pool.idle["e1"][index] = IdleConnection(since - seconds, connection)


def test_unusable_idle_connections_are_closed(harness: SenderHarness) -> None:
    """Connections that are closed by the far end or hold unexpected bytes are closed at once, those that were
    idle for too long by the sweep. An unexpected response makes the pool distrust the others too."""
    pool = connection_pool()
    good, closed, unusable, old = (pool.connect(endpoint_address(harness)) for _ in range(4))
    for connection in (closed, unusable, good, old):
        pool.release("e1", connection)
    closed.write(b"nonsense\r\n\r\n")  # the far end closes the connection in response
    unusable.write(request("s", "free", "200", 1))  # leaves a response that nobody reads
    wait_until(lambda: not closed.is_idle() and not unusable.is_idle())
    wait_until(lambda: pool.open == 2)
    assert pool.closed[CloseReason.CLOSED_BY_ENDPOINT] == pool.closed[CloseReason.EXTRA_BYTES] == 1
    backdate_idle_connection(pool, 0, QUIET_S)
    assert pool.acquire_idle("e1") is None
    pool.attribution.trust = ResponseTrust()
    assert pool.acquire_idle("e1") is good
    backdate_idle_connection(pool, 0, LIMITS.endpoints.endpoint_idle_s)
    pool.release("e1", good)
    pool.sweep()
    assert [idle.connection for idle in pool.idle["e1"]] == [good]
    assert pool.open == 1


def test_longest_idle_connection_is_evicted_at_the_limit(harness: SenderHarness) -> None:
    """At the limit, a new connection replaces the longest idle one; without an idle one, acquire fails."""
    pool = connection_pool()
    address = endpoint_address(harness)
    pool.release("e1", pool.connect(address))
    in_use = [pool.connect(address) for _ in range(LIMITS.endpoints.endpoint_connections - 1)]
    assert pool.make_room()
    assert not pool.idle
    in_use.append(pool.acquire("e2", address))
    assert not pool.make_room()
    with pytest.raises(ConnectionPoolFullError):
        pool.acquire("e2", address)
    pool.release("e1", in_use[0])
    pool.close_idle("e1")
    assert not pool.idle
    assert pool.open == LIMITS.endpoints.endpoint_connections - 1


def test_reset_of_idle_connection_shortens_idle_limit(harness: SenderHarness) -> None:
    """The far end resets a connection that was idle for a while, without sending a FIN. The pool then closes
    connections after a shorter idle time, and reuses the most recently used connection first."""
    delivery_setup = DeliverySetup(harness)
    pool = delivery_setup.pool
    address = endpoint_address(harness)

    def reset_after_request(sock: socket.socket, _: object) -> None:
        HttpConnection(sock, LIMITS.http).read_request()
        reset_connection(sock)

    old, young = (pool.connect(address) for _ in range(2))
    for connection, age in ((old, 1.0), (young, 0.2)):
        pool.release("e1", connection)
        backdate_idle_connection(pool, -1, age)
    assert pool.acquire_idle("e1") is old
    pool.release("e1", old)
    harness.servers[0].set_handle(reset_after_request)
    delivery_setup.start("a", b"reset")  # uses the young connection, now the longest idle
    wait_until(lambda: delivery_setup.outcomes == [AttemptOutcome.CONNECTION_RESET])
    assert 0.1 < pool.idle_limits.longest_idle("e1") < 0.2
    assert pool.idle_limits.longest_idle("e2") == LIMITS.endpoints.endpoint_idle_s
    last = pool.connect(address)
    pool.release("e1", last)
    backdate_idle_connection(pool, -1, QUIET_S)
    assert pool.acquire_idle("e1") is last
    pool.release("e1", last)
    delivery_setup.start("b", b"reset")  # uses the last connection, which was hardly idle: the limit stays
    wait_until(lambda: len(delivery_setup.outcomes) == 2)
    assert pool.idle_limits.longest_idle("e1") > 0.1
    pool.close_idle("e1")
    third = pool.connect(address)
    pool.release("e1", third)
    backdate_idle_connection(pool, 0, 1.0)
    assert pool.acquire_idle("e1") is None
    assert third.unusable
    pool.apply_limits(replace(pool.limits, idle_distrust_s=0.0), pool.http_limits)
    pool.idle_limits.connection_dropped("e1", 0.5)  # expires at once
    assert pool.idle_limits.is_shortened("e1")
    pool.sweep()
    assert not pool.idle_limits.is_shortened("e1")
    assert pool.idle_limits.longest_idle("e1") == LIMITS.endpoints.endpoint_idle_s


def test_second_release_of_a_connection_is_counted(harness: SenderHarness) -> None:
    pool = connection_pool()
    connection = pool.connect(endpoint_address(harness))
    pool.release("e1", connection)
    assert not any(pool.checks.failures.values())
    pool.release("e1", connection)
    assert pool.checks.failures[Check.ONE_RELEASE] == 1
    pool.attribution.trust.extra_response_received(now())
    assert pool.acquire_idle("e1") is None


def test_request_waits_until_connection_is_quiet(harness: SenderHarness) -> None:
    """A response that comes twice would arrive within the quiet time."""
    pool = connection_pool()
    address = endpoint_address(harness)
    connection = pool.connect(address)
    pool.release("e1", connection)
    began_at = monotonic()
    assert pool.acquire("e1", address) is connection
    assert monotonic() - began_at > 0.9 * QUIET_TIME / SECOND
    other = pool.acquire("e1", address)
    assert other is not connection
    assert pool.opened == 2


# The next message of a key waited up to 0.25 s for each provisional result: ordered messages missed their
# deadlines while endpoints were idle.
def test_request_that_must_be_certain_replaces_connection_that_was_used_lately(
    harness: SenderHarness,
) -> None:
    pool = connection_pool()
    address = endpoint_address(harness)
    used_lately = pool.connect(address)
    pool.release("e1", used_lately)
    began_at = monotonic()
    new = pool.acquire("e1", address, certain=True)
    assert monotonic() - began_at < 0.5 * QUIET_TIME / SECOND
    assert new is not used_lately
    assert used_lately.unusable
    assert pool.closed[CloseReason.REPLACED] == pool.open == 1
    pool.release("e1", new)
    backdate_idle_connection(pool, 0, 1.01 * RESPONSE_LATENESS / SECOND)
    assert pool.acquire("e1", address, certain=True) is new
    assert pool.opened == 2
