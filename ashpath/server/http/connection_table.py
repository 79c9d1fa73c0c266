"""Client connections by state, and the choice of the connection that is evicted to make room for another.

| state | event | next |
| --- | --- | --- |
| new | accepted | AWAITING_FIRST_REQUEST |
| AWAITING_FIRST_REQUEST, IDLE | bytes received | READING |
| AWAITING_FIRST_REQUEST, IDLE | no bytes within the time limit, or clients are drained | HALF_CLOSED |
| READING | the request is complete | RESPONDING |
| READING | the request is not valid HTTP, or incomplete at its time limit | REJECTING |
| READING | the client half-closed within the request (it is answered 400) | closed |
| RESPONDING | the response is written, and the connection is kept | IDLE |
| RESPONDING | the response is written and the connection not kept, or the write failed | HALF_CLOSED |
| RESPONDING | an unexpected error in this process | REJECTING |
| REJECTING | the response is written | HALF_CLOSED |
| HALF_CLOSED | the client's input is drained, in full or up to a limit | closed |
| any | the client has closed or reset the connection | closed |
| any but RESPONDING and REJECTING | the connection is evicted | closed |

A closed connection leaves the table. A connection that this side ends is half-closed first: a client that is
still writing can read the response, and the bytes that it sends after the half-close are discarded.

Connections are evicted in this order, the one longest in its state first: half-closed ones whose client has
not closed; those without a first request; idle ones; those stalled within a request. A connection in
RESPONDING or REJECTING is never evicted, nor is one whose next request, or a further part of it, waits to be
read.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterator
from contextlib import suppress
from enum import Enum, auto
from itertools import islice
from time import monotonic

import gevent

from ashpath.server.http.close_reason import ClientCloseReason
from ashpath.server.http.connection import HttpConnection
from ashpath.server.limits.client_connections import ClientConnectionLimits


class ConnectionState(Enum):
    """State of a client connection; the table at the head of this module lists the transitions."""

    AWAITING_FIRST_REQUEST = auto()
    IDLE = auto()
    READING = auto()
    RESPONDING = auto()
    REJECTING = auto()
    HALF_CLOSED = auto()

    __hash__ = object.__hash__  # by identity: Enum's own hash is many times slower, and runs on each request


Entries = OrderedDict[HttpConnection, float]
EVICTION_REASONS = {
    ConnectionState.HALF_CLOSED: ClientCloseReason.EVICTED_HALF_CLOSED,
    ConnectionState.AWAITING_FIRST_REQUEST: ClientCloseReason.EVICTED_SILENT,
    ConnectionState.IDLE: ClientCloseReason.EVICTED_IDLE,
    ConnectionState.READING: ClientCloseReason.EVICTED_STALLED,
}


class ConnectionTable:
    """Client connections by state, longest in their state first."""

    def __init__(self, limits: ClientConnectionLimits) -> None:
        self.limits = limits
        # By state, with the time at which each connection entered it, in seconds of the monotonic clock.
        self.entries_by_state: dict[ConnectionState, Entries] = {
            state: OrderedDict() for state in ConnectionState
        }
        self.idle = self.entries_by_state[ConnectionState.IDLE]
        # The entries that contain each connection: several transitions per request need no search by state.
        self.entries_by_connection: dict[HttpConnection, Entries] = {}
        self.closed: Counter[ClientCloseReason] = Counter()
        """Connections that have ended, by reason."""
        self.rejections: Counter[str] = Counter()
        """Requests that were answered with an error before they were handled, by the type of the error."""
        self._evicted: set[HttpConnection] = set()  # until `ended` is called for them

    def enter(self, connection: HttpConnection, state: ConnectionState) -> float:
        """Moves a connection to a state, or adds a new one; returns the time in monotonic seconds."""
        self.remove(connection)
        entries = self.entries_by_state[state]
        self.entries_by_connection[connection] = entries
        entered_at = entries[connection] = monotonic()
        return entered_at

    def remove(self, connection: HttpConnection) -> None:
        """Removes a connection, if the table contains it."""
        entries = self.entries_by_connection.pop(connection, None)
        if entries is not None:
            del entries[connection]

    def ended(self, connection: HttpConnection, reason: ClientCloseReason) -> None:
        """Removes a connection whose greenlet has ended, and counts its end; `reason` does not hold for an
        evicted one, which was counted before."""
        self.remove(connection)
        if connection in self._evicted:
            self._evicted.remove(connection)
        else:
            self.closed[reason] += 1

    def counts_text(self) -> str:
        """Returns the number of connections by state, such as `idle:3,reading:1`."""
        counts = ((state.name.lower(), len(entries)) for state, entries in self.entries_by_state.items())
        return ",".join(f"{name}:{count}" for name, count in counts if count)

    def buffered_bytes(self) -> int:
        """Returns the bytes of the receive buffers of all connections."""
        return sum(connection.buffer.allocated_bytes for connection in self.entries_by_connection)

    def count(self, *states: ConnectionState) -> int:
        """Returns the number of connections in any of the states."""
        return sum(len(self.entries_by_state[state]) for state in states)

    def connections(self, *states: ConnectionState) -> list[HttpConnection]:
        """Returns the connections in any of the states, state by state, longest in their state first."""
        return [connection for state in states for connection in self.entries_by_state[state]]

    def half_close(self, connection: HttpConnection) -> None:
        """Half-closes a connection; one that is in HALF_CLOSED already keeps its time of entry."""
        if connection not in self.entries_by_state[ConnectionState.HALF_CLOSED]:
            self.enter(connection, ConnectionState.HALF_CLOSED)
        connection.half_close()

    def half_close_idle(self, *states: ConnectionState) -> None:
        """Half-closes connections without unread bytes: their clients reconnect to another sender.

        A connection whose next request waits to be read stays open."""
        for connection in self.connections(*states):
            if connection.is_idle():
                self.half_close(connection)

    def drain_all(self) -> None:
        """Half-closes connections and discards their unread bytes, which would cause a reset at exit."""
        states = (
            ConnectionState.AWAITING_FIRST_REQUEST,
            ConnectionState.IDLE,
            ConnectionState.HALF_CLOSED,
        )
        for connection in self.connections(*states):
            connection.half_close()
            with suppress(OSError):
                connection.sock.settimeout(0)
                connection.drain(self.limits.drain_bytes)

    def limit_idle(self) -> None:
        """Evicts idle connections above the limit: clients that keep connections they do not use would
        otherwise exhaust the available ones."""
        while len(self.idle) > self.limits.idle_client_connections and self.evict(ConnectionState.IDLE):
            pass

    def evict_one(self) -> bool:
        """Evicts the connection that is needed least; returns whether one was evicted."""
        limits = self.limits
        evicted = (
            self.evict(ConnectionState.HALF_CLOSED, min_age_s=limits.silent_eviction_s)
            or self.evict(ConnectionState.AWAITING_FIRST_REQUEST, min_age_s=limits.silent_eviction_s)
            or self.evict(ConnectionState.IDLE)
            or self.evict(ConnectionState.READING, min_age_s=limits.stalled_request_s)
        )
        if evicted:
            gevent.sleep(0)
        return evicted

    def evict(self, state: ConnectionState, min_age_s: float = 0.0) -> bool:
        """Closes the connection longest in a state, unless it entered the state less than `min_age_s` ago or
        its next request waits to be read; returns whether a connection was closed.

        In READING, closes the first candidate without unread bytes: a client that still sends has not
        stalled."""
        for connection in self.oldest(state, min_age_s):
            if self.is_evictable(connection, state):
                self.remove(connection)
                self._evicted.add(connection)
                self.closed[EVICTION_REASONS[state]] += 1
                connection.close()
                return True
        return False

    def oldest(self, state: ConnectionState, min_age_s: float) -> Iterator[HttpConnection]:
        """Yields the candidates for eviction from a state, longest in it first."""
        candidates = self.limits.eviction_candidates if state is ConnectionState.READING else 1
        for connection, entered_at in islice(self.entries_by_state[state].items(), candidates):
            if monotonic() - entered_at < min_age_s:
                return
            yield connection

    @staticmethod
    def is_evictable(connection: HttpConnection, state: ConnectionState) -> bool:
        """Whether closing the connection loses no request and no response."""
        if state is ConnectionState.READING:
            return not connection.peek_byte()
        return state is ConnectionState.HALF_CLOSED or connection.is_idle()
