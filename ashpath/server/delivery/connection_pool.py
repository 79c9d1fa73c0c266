"""Pool of connections to endpoints: reuses idle ones, and limits the open ones to the available descriptors.

A connection is in one of three states, and only the pool moves it between them:

| state | entered by | left by |
| --- | --- | --- |
| in use | `acquire`: an idle connection, or a new one | `release`, `close` |
| idle | `release`, if it can carry a further request | `acquire`, `sweep`, `close_idle`, `make_room`, and |
| | | as soon as bytes or its end arrive |
| closing | `close`, and `release` if it cannot carry a further request | `closing_connections` |

A connection carries its next request only after a quiet time, as a response that comes twice would count for
that request (`policy/response_trust.py`). If none is quiet yet, the caller waits for the next one to be.

The caller of `acquire` owns the connection, and calls either `release` or `close`, exactly once. `open`
counts connections in use and idle ones. Idle connections are stored by endpoint, not by address: a new
endpoint may take the address of one that is gone, and the old connections do not lead to it.
"""

from __future__ import annotations

from collections import deque
from time import monotonic
from typing import NamedTuple

import gevent
from gevent import socket

from ashpath.core.time_units import SECOND
from ashpath.policy.descriptor_budget import ENDPOINT_WAIT_US, DescriptorKind
from ashpath.server.addresses import Address
from ashpath.server.delivery.closing_connections import ClosingConnections
from ashpath.server.delivery.endpoint_connection import CloseReason, EndpointConnection
from ashpath.server.delivery.errors import ConnectionPoolFullError
from ashpath.server.delivery.idle_limits import IdleLimits
from ashpath.server.delivery.response_attribution import ResponseAttribution
from ashpath.server.delivery.response_notices import ResponseNotices
from ashpath.server.descriptors import UNSHARED, DescriptorLeases, Lease
from ashpath.server.http.buffer_memory import ResponseMemory
from ashpath.server.http.connection import connect_socket
from ashpath.server.limits.endpoint_connections import EndpointConnectionLimits
from ashpath.server.limits.http import HttpLimits
from ashpath.server.self_checks import Check, SelfChecks
from ashpath.server.timers import now

DESCRIPTOR_CHECK_INTERVAL_S = 0.005  # while another process is to give one back


class IdleConnection(NamedTuple):
    """A connection that carries no request, and since when."""

    since: float
    """Seconds of the monotonic clock."""
    connection: EndpointConnection


class ConnectionPool:
    """Idle connections by endpoint, longest idle first; an endpoint without idle connections has no entry."""

    def __init__(
        self,
        limits: EndpointConnectionLimits,
        http_limits: HttpLimits,
        attribution: ResponseAttribution,
        notices: ResponseNotices,
        checks: SelfChecks,
        descriptors: DescriptorLeases = UNSHARED,
    ) -> None:
        self.limits = limits
        self.descriptors = descriptors
        self.http_limits = http_limits
        self.attribution = attribution
        self.notices = notices
        self.closing = ClosingConnections(notices)
        self.checks = checks
        self.memory = ResponseMemory()
        self.idle: dict[str, deque[IdleConnection]] = {}
        self.open = 0
        """Number of connections in use and idle."""
        self.opened = 0
        """Number of connections opened since the start."""
        self.closed: dict[CloseReason, int] = dict.fromkeys(CloseReason, 0)
        """Number of connections closed since the start."""
        self._waiting_for_descriptors = 0  # attempts in `_take_descriptor`
        self.idle_limits = IdleLimits(lambda: self.limits)

    def apply_limits(self, limits: EndpointConnectionLimits, http_limits: HttpLimits) -> None:
        """Replaces the limits; open connections stay open."""
        self.limits = limits
        self.http_limits = http_limits

    def acquire(self, endpoint_id: str, address: Address, *, certain: bool = False) -> EndpointConnection:
        """Returns a usable idle connection, else a new one to the address. May wait for an idle connection to
        become quiet. `certain`: the result of the request must not be provisional.

        Raises ConnectionPoolFullError, and OSError if the connection fails."""
        if certain:
            connection = self._acquire_certain(endpoint_id)
        else:
            connection = self.acquire_idle(endpoint_id) or self._await_quiet(endpoint_id)
        if connection is not None:
            return connection
        if not self.make_room():
            raise ConnectionPoolFullError
        return self.connect(address)

    def _acquire_certain(self, endpoint_id: str) -> EndpointConnection | None:
        """Returns an idle connection that is quiet for long enough. Else closes the longest idle one, so that
        the new connection takes its place at the endpoint, and returns None."""
        longest_idle = next(iter(self.idle.get(endpoint_id, ())), None)
        if longest_idle is None:
            return None
        idle_for = round((monotonic() - longest_idle.since) * SECOND)
        if self.attribution.trust.is_certain(idle_for):
            return self.acquire_idle(endpoint_id)
        connection = self._remove(endpoint_id, longest_idle).connection
        self._retire(endpoint_id, connection, CloseReason.REPLACED)
        return None

    def acquire_idle(self, endpoint_id: str) -> EndpointConnection | None:
        """Returns a usable idle connection that is quiet, or None; closes the unusable ones that precede it.

        The longest idle connection comes first, as it would be the next to be closed. If the endpoint drops
        idle connections early, the most recently used quiet one comes first."""
        while (taken := self._take_quiet(endpoint_id)) is not None:
            connection = taken.connection
            connection.idle_before_use_s = monotonic() - taken.since
            if connection.idle_before_use_s >= self.idle_limits.longest_idle(endpoint_id):
                self._retire(endpoint_id, connection, CloseReason.IDLE_LIMIT)
            elif self._is_usable(endpoint_id, connection):
                return connection
        return None

    def _take_quiet(self, endpoint_id: str) -> IdleConnection | None:
        """Removes and returns the idle connection to use next, or None if none is quiet."""
        idle = self.idle.get(endpoint_id, ())
        quiet = [one for one in idle if self._wait_before_reuse(one) == 0]
        if not quiet:
            return None
        return self._remove(
            endpoint_id, quiet[-1] if self.idle_limits.is_shortened(endpoint_id) else quiet[0]
        )

    def _wait_before_reuse(self, idle: IdleConnection) -> int | None:
        """Returns microseconds; None if the connection must not carry a further request."""
        idle_for = round((monotonic() - idle.since) * SECOND)
        return self.attribution.trust.wait_before_reuse(now(), idle_for)

    def _await_quiet(self, endpoint_id: str) -> EndpointConnection | None:
        """Reserves the idle connection that will be quiet next, waits for that and returns it.

        Returns None if there is none, or if it turns out to be unusable. If all connections are distrusted
        meanwhile, this one is idle again: it may still show that a provisional result is wrong."""
        if endpoint_id not in self.idle:
            return None
        first = self.idle[endpoint_id][0]
        wait = self._wait_before_reuse(first)
        if wait is None:
            return None
        connection = self._remove(endpoint_id, first).connection
        try:
            gevent.sleep(wait / SECOND)
        except BaseException:
            self.close(connection, CloseReason.ATTEMPT_FAILED)
            raise
        connection.idle_before_use_s = monotonic() - first.since
        if self.attribution.trust.is_distrusted(now()):
            self._make_idle(endpoint_id, IdleConnection(first.since, connection))
            return None
        return connection if self._is_usable(endpoint_id, connection) else None

    def _is_usable(self, endpoint_id: str, connection: EndpointConnection) -> bool:
        """Whether a connection that was idle can carry a request; closes it if it cannot."""
        if connection.is_idle():
            return True
        self._close_readable(endpoint_id, connection)
        return False

    def _close_readable(self, endpoint_id: str, connection: EndpointConnection) -> None:
        """Closes a connection without a request out that the endpoint has closed or written to."""
        self._retire(endpoint_id, connection, CloseReason.CLOSED_BY_ENDPOINT)

    def _retire(self, endpoint_id: str, connection: EndpointConnection, reason: CloseReason) -> None:
        """Closes a connection without a request out; extra bytes on it are the reason, if there are any."""
        has_bytes = bool(connection.unread_bytes())
        self.attribution.check_extra_bytes(endpoint_id, connection)
        self.close(connection, CloseReason.EXTRA_BYTES if has_bytes else reason)

    def _remove(self, endpoint_id: str, idle: IdleConnection) -> IdleConnection:
        """Removes a connection from the idle ones."""
        idle.connection.stop_watching()
        idle.connection.in_use = True
        others = self.idle[endpoint_id]
        others.remove(idle)
        if not others:
            del self.idle[endpoint_id]
        return idle

    def _take_descriptor(self) -> Lease:
        """Returns a lease for a new connection. While other processes of a hot upgrade hold all, closes
        connections without a request, and waits until one of those gives one back.

        Raises ConnectionPoolFullError after `ENDPOINT_WAIT_US`."""
        lease = self.descriptors.take(DescriptorKind.ENDPOINT)
        if lease is not None:
            return lease
        until = monotonic() + ENDPOINT_WAIT_US / SECOND
        self._waiting_for_descriptors += 1
        try:
            while lease is None and monotonic() < until:
                self.descriptors.want(DescriptorKind.ENDPOINT, self._waiting_for_descriptors)
                if not self._close_without_request():
                    gevent.sleep(DESCRIPTOR_CHECK_INTERVAL_S)
                gevent.sleep(0)
                lease = self.descriptors.take(DescriptorKind.ENDPOINT)
        finally:
            self._waiting_for_descriptors -= 1
            self.descriptors.want(DescriptorKind.ENDPOINT, self._waiting_for_descriptors)
        if lease is None:
            raise ConnectionPoolFullError
        return lease

    def connect(self, address: Address) -> EndpointConnection:
        """Returns a new connection, in use.

        Raises ConnectionPoolFullError without a descriptor, and OSError if the connection fails."""
        lease = self._take_descriptor()
        self.open += 1
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            connect_socket(sock, address, self.http_limits)
            self.opened += 1
            return EndpointConnection(sock, self.http_limits, self.opened, self.notices, self.memory, lease)
        except BaseException:
            self.open -= 1
            lease.release()
            raise

    def release(self, endpoint_id: str, connection: EndpointConnection) -> None:
        """Makes a connection idle, or closes it if it cannot carry a further request."""
        self.checks.expect(Check.ONE_RELEASE, holds=connection.in_use, subject=endpoint_id)
        if len(connection.buffer):
            self._close_readable(endpoint_id, connection)
        elif connection.unusable:
            self.close(connection, CloseReason.UNFINISHED_RESPONSE)
        elif self.attribution.trust.is_distrusted(now()) and not connection.is_reused:
            self.close(connection, CloseReason.DISTRUST)
        else:
            self._make_idle(endpoint_id, IdleConnection(monotonic(), connection))

    def _make_idle(self, endpoint_id: str, idle: IdleConnection) -> None:
        idle.connection.in_use = False
        self.idle.setdefault(endpoint_id, deque()).append(idle)
        idle.connection.watch(lambda: self._idle_readable(endpoint_id, idle.connection))

    def _idle_readable(self, endpoint_id: str, connection: EndpointConnection) -> None:
        """Closes an idle connection as soon as the endpoint has closed or written to it."""
        for idle in list(self.idle.get(endpoint_id, ())):
            if idle.connection is connection:
                self._close_readable(endpoint_id, self._remove(endpoint_id, idle).connection)

    def close(self, connection: EndpointConnection, reason: CloseReason) -> None:
        """Closes a connection that is in use or has just been removed from the idle ones.

        What it has received is read before. While more may come, it is listened to."""
        self.checks.expect(Check.ONE_RELEASE, holds=connection.in_use, subject=connection.last_trace_id)
        connection.in_use = False
        self.open -= 1
        self.closed[reason] += 1
        self.closing.close(connection, self._listening_time(connection), self.limits.closing_connections)

    def _listening_time(self, connection: EndpointConnection) -> float:
        """Returns the seconds for which to listen to a connection that is closed."""
        if not connection.requests:
            return 0.0
        answered_for = round((monotonic() - connection.answered_at) * SECOND)
        trust = self.attribution.trust
        return trust.listening_time(None if connection.awaits_response else answered_for) / SECOND

    def close_idle(self, endpoint_id: str, reason: CloseReason = CloseReason.ENDPOINT_LEFT) -> None:
        """Closes all idle connections of an endpoint."""
        for idle in list(self.idle.get(endpoint_id, ())):
            self._retire(endpoint_id, self._remove(endpoint_id, idle).connection, reason)

    def make_room(self) -> bool:
        """Whether one more connection may be opened; at the limit, closes one that is listened to, else the
        longest idle one."""
        while self.open + len(self.closing) >= self.limits.endpoint_connections:
            if not self.closing.close_oldest():
                break
        if self.open >= self.limits.endpoint_connections:
            self._close_longest_idle(CloseReason.POOL_FULL)
        return self.open < self.limits.endpoint_connections

    def give_way(self, count: int, waited_s: float) -> None:
        """Closes up to `count` connections without a request: other processes of a hot upgrade want some."""
        for _ in range(count):
            if not self._close_without_request():
                return

    def _close_without_request(self) -> bool:
        """Closes a connection that is listened to, else the longest idle one. Returns False if there is
        none."""
        return self.closing.close_oldest() or self._close_longest_idle(CloseReason.GIVEN_WAY)

    def _close_longest_idle(self, reason: CloseReason) -> bool:
        """Closes the longest idle connection; returns whether there was one."""
        if not self.idle:
            return False
        endpoint_id = min(self.idle, key=lambda endpoint_id: self.idle[endpoint_id][0].since)
        longest_idle = self._remove(endpoint_id, self.idle[endpoint_id][0])
        self._retire(endpoint_id, longest_idle.connection, reason)
        return True

    def sweep(self) -> None:
        """Closes idle connections past their limit, those that the endpoint has closed or written to, and
        those that were listened to for long enough."""
        self.closing.sweep()
        time = monotonic()
        self.idle_limits.expire()
        for endpoint_id in list(self.idle):
            # Connections that would exceed their limit before the next sweep are closed now, unless they have
            # been idle for less than `min_endpoint_idle_s`.
            oldest = time - self.idle_limits.longest_idle(endpoint_id) + self.limits.pool_sweep_s
            for idle in list(self.idle[endpoint_id]):
                self._sweep_connection(endpoint_id, idle, min(oldest, time - self.limits.min_endpoint_idle_s))

    def _sweep_connection(self, endpoint_id: str, idle: IdleConnection, oldest: float) -> None:
        """Closes an idle connection that is idle since `oldest` or longer, or that cannot be used."""
        if idle.since <= oldest:
            self._retire(endpoint_id, self._remove(endpoint_id, idle).connection, CloseReason.IDLE_LIMIT)
        elif not idle.connection.is_idle():
            self._close_readable(endpoint_id, self._remove(endpoint_id, idle).connection)

    def run(self) -> None:
        """Sweeps every `pool_sweep_s` until its greenlet is killed."""
        while True:
            gevent.sleep(self.limits.pool_sweep_s)
            self.sweep()
