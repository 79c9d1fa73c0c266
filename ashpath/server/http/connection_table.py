"""The connections of clients by state, and which of them is closed to make room for another.

| state | event | next |
| --- | --- | --- |
| new | accepted | AWAITING_FIRST_REQUEST |
| AWAITING_FIRST_REQUEST, IDLE | bytes | READING |
| AWAITING_FIRST_REQUEST, IDLE | nothing for too long, or clients are drained | HALF_CLOSED |
| READING | the request is whole | RESPONDING |
| READING | it is no HTTP, or not whole in time | REJECTING |
| READING | the client ended its side within it (it is answered 400) | closed |
| RESPONDING | the response is out, and the connection is kept | IDLE |
| RESPONDING | the response is out or was not taken | HALF_CLOSED |
| RESPONDING | a fault of ours | REJECTING |
| REJECTING | the response is out | HALF_CLOSED |
| HALF_CLOSED | what the client sent is drained, in full or up to a bound | closed |
| any | the client has closed or reset it, or it is evicted | closed |

A connection that is closed is in no state: it leaves the table. One that this side ends is half closed first:
a client that still writes can read what was responded, and what it wrote after that is read by nobody.

Connections are evicted in this order, the one longest in its state first: half closed ones, whose client
stays; those that have sent nothing yet; idle ones; those stalled within a request. What is being responded to
is never evicted, nor is a connection whose next bytes have come.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from contextlib import suppress
from enum import Enum, auto
from itertools import islice
from time import monotonic

import gevent

from ashpath.server.http.connection import HttpConnection
from ashpath.server.limits import ServerLimits


class ConnectionState(Enum):
    """Where a client's connection stands; the table above has the transitions."""

    AWAITING_FIRST_REQUEST = auto()
    IDLE = auto()
    READING = auto()
    RESPONDING = auto()
    REJECTING = auto()
    HALF_CLOSED = auto()

    __hash__ = object.__hash__  # by identity: Enum's own is many times slower, and asked for on each request


Entries = OrderedDict[HttpConnection, float]


class ConnectionTable:
    """Client connections in their states, each in the order in which they came to it."""

    def __init__(self, limits: ServerLimits) -> None:
        self.limits = limits
        # By state, with the moment at which each came to it, in seconds of the monotonic clock.
        self.entries_by_state: dict[ConnectionState, Entries] = {
            state: OrderedDict() for state in ConnectionState
        }
        self.idle = self.entries_by_state[ConnectionState.IDLE]
        # Which of them has a connection: several moves a request, so no state is looked up to leave it.
        self.entries_by_connection: dict[HttpConnection, Entries] = {}

    def enter(self, connection: HttpConnection, state: ConnectionState) -> float:
        """Moves a connection, or puts a new one here; the moment of it."""
        self.remove(connection)
        entries = self.entries_by_state[state]
        self.entries_by_connection[connection] = entries
        entered_at = entries[connection] = monotonic()
        return entered_at

    def remove(self, connection: HttpConnection) -> None:
        """A connection that is closed; one that is not here is no error."""
        entries = self.entries_by_connection.pop(connection, None)
        if entries is not None:
            del entries[connection]

    def count(self, *states: ConnectionState) -> int:
        """Connections that are in any of the states."""
        return sum(len(self.entries_by_state[state]) for state in states)

    def connections(self, *states: ConnectionState) -> list[HttpConnection]:
        """Those in any of the states, state by state, longest in it first."""
        return [connection for state in states for connection in self.entries_by_state[state]]

    def half_close(self, connection: HttpConnection) -> None:
        """Ends this side of a connection; what it came to that state with stays the same if it is there."""
        if connection not in self.entries_by_state[ConnectionState.HALF_CLOSED]:
            self.enter(connection, ConnectionState.HALF_CLOSED)
        connection.half_close()

    def half_close_idle(self, *states: ConnectionState) -> None:
        """Between requests a connection may be closed: its client goes to another sender. Not one whose
        request has come and waits to be read."""
        for connection in self.connections(*states):
            if connection.is_idle():
                self.half_close(connection)

    def drain_all(self) -> None:
        """The process ends: nobody who is still connected is reset for bytes that have come by now."""
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
        """Guards clients against each other: those that ask once and stay would leave the rest no
        connection."""
        while len(self.idle) > self.limits.idle_client_connections and self.evict(ConnectionState.IDLE):
            pass

    def evict_one(self) -> bool:
        """Closes the connection that is needed least; whether there was one."""
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
        """Closes the one longest in a state, if it has been there so long and no request has just come;
        whether it did. Within a request the first of which no bytes wait: one that sends has not stalled."""
        for connection in self.oldest(state, min_age_s):
            if self.is_evictable(connection, state):
                self.remove(connection)
                connection.close()
                return True
        return False

    def oldest(self, state: ConnectionState, min_age_s: float) -> Iterator[HttpConnection]:
        """The connections that may be evicted from a state."""
        candidates = self.limits.eviction_candidates if state is ConnectionState.READING else 1
        for connection, entered_at in islice(self.entries_by_state[state].items(), candidates):
            if monotonic() - entered_at < min_age_s:
                return
            yield connection

    @staticmethod
    def is_evictable(connection: HttpConnection, state: ConnectionState) -> bool:
        """Whether nothing is lost with it."""
        if state is ConnectionState.READING:
            return not connection.peek_byte()
        return state is ConnectionState.HALF_CLOSED or connection.is_idle()
