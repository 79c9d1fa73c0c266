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
| READING | the request has stalled, and another connection or request needs its place or memory | REJECTING |
| AWAITING_FIRST_REQUEST, IDLE, HALF_CLOSED | the connection is evicted | closed |

A closed connection leaves the table. A connection that this side ends is half-closed first: a client that is
still writing can read the response, and the bytes that it sends after the half-close are discarded.

Room is made in this order, by the connection longest in its state first: half-closed ones whose client has
not closed; those without a first request; idle ones on which no message was accepted; those that have been
idle for some time; requests that have stalled, which are answered 503. An idle connection that was used just
now has served its client, and is evicted only where no other one will make room soon. A connection in
RESPONDING or REJECTING is never evicted, nor is one whose next request, or a further part of it, waits to be
read. While room is needed, a response on a connection without an accepted message ends it.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterator
from contextlib import suppress
from enum import Enum, auto
from itertools import islice
from time import monotonic

import gevent

from ashpath.policy import memory_budget
from ashpath.policy.memory_budget import RequestInProgress
from ashpath.server.http.buffer_memory import RequestMemory
from ashpath.server.http.client_socket import ClientSocket
from ashpath.server.http.close_reason import ClientCloseReason
from ashpath.server.http.errors import StalledRequestError
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


Entries = OrderedDict[ClientSocket, float]
EVICTION_REASONS = {
    ConnectionState.HALF_CLOSED: ClientCloseReason.EVICTED_HALF_CLOSED,
    ConnectionState.AWAITING_FIRST_REQUEST: ClientCloseReason.EVICTED_SILENT,
    ConnectionState.IDLE: ClientCloseReason.EVICTED_IDLE,
}
ENDING_STATES = (
    ConnectionState.AWAITING_FIRST_REQUEST,
    ConnectionState.READING,
    ConnectionState.REJECTING,
    ConnectionState.HALF_CLOSED,
)
"""States of connections that end, or may be evicted, within a short time."""


class ConnectionTable:
    """Client connections by state, longest in their state first."""

    def __init__(self, limits: ClientConnectionLimits, memory: RequestMemory) -> None:
        self.limits = limits
        self.memory = memory
        memory.reclaim = self.reclaim_memory
        # By state, with the time at which each connection entered it, in seconds of the monotonic clock.
        self.entries_by_state: dict[ConnectionState, Entries] = {
            state: OrderedDict() for state in ConnectionState
        }
        self.idle = self.entries_by_state[ConnectionState.IDLE]
        # The entries that contain each connection: several transitions per request need no search by state.
        self.entries_by_connection: dict[ClientSocket, Entries] = {}
        self.closed: Counter[ClientCloseReason] = Counter()
        """Connections that have ended, by reason."""
        self.rejections: Counter[str] = Counter()
        """Requests that were answered with an error before they were handled, by the type of the error."""
        self.needs_room = False  # a new connection waits for its place
        self._evicted: set[ClientSocket] = set()  # until `ended` is called for them

    def enter(self, connection: ClientSocket, state: ConnectionState) -> float:
        """Moves a connection to a state, or adds a new one; returns the time in monotonic seconds."""
        self.remove(connection)
        entries = self.entries_by_state[state]
        self.entries_by_connection[connection] = entries
        entered_at = entries[connection] = monotonic()
        return entered_at

    def remove(self, connection: ClientSocket) -> None:
        """Removes a connection, if the table contains it."""
        entries = self.entries_by_connection.pop(connection, None)
        if entries is not None:
            del entries[connection]

    def ended(self, connection: ClientSocket, reason: ClientCloseReason) -> None:
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

    def connections(self, *states: ConnectionState) -> list[ClientSocket]:
        """Returns the connections in any of the states, state by state, longest in their state first."""
        return [connection for state in states for connection in self.entries_by_state[state]]

    def half_close(self, connection: ClientSocket) -> None:
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

    def evict_one(self, waited_s: float = 0.0) -> bool:
        """Evicts the connection that is needed least; returns whether one was closed.

        Clients whose messages were accepted go last: while another connection ends or may be evicted soon,
        such a client's idle one is closed only if it has not been used for `idle_eviction_s`, or if the
        connection that needs the place has waited for `eviction_patience_s`."""
        limits = self.limits
        evicted = (
            self.evict(ConnectionState.HALF_CLOSED, min_age_s=limits.silent_eviction_s)
            or self.evict(ConnectionState.AWAITING_FIRST_REQUEST, min_age_s=limits.silent_eviction_s)
            or self.evict_idle_without_messages()
            or self.evict(ConnectionState.IDLE, min_age_s=limits.idle_eviction_s)
        )
        if not evicted and not self.give_up_stalled_requests():
            has_waited = waited_s >= limits.eviction_patience_s
            if has_waited or not self.has_pending_evictions():
                evicted = self.evict(ConnectionState.IDLE)
        if evicted:
            gevent.sleep(0)
        return evicted

    def evict_idle_without_messages(self) -> bool:
        """Evicts an idle connection on which no message was accepted; returns whether there was one."""
        for connection in islice(self.idle, self.limits.eviction_candidates):
            if not connection.has_accepted_messages and connection.is_idle():
                self.close_evicted(connection, ConnectionState.IDLE)
                return True
        return False

    def has_pending_evictions(self) -> bool:
        """Whether connections other than idle ones end soon, or may be evicted soon."""
        return self.count(*ENDING_STATES) > 0

    def give_up_stalled_requests(self) -> int:
        """Answers 503 to requests that have stalled; returns how many. Their connections end soon, as long as
        their clients take part."""
        given_up = 0
        for connection in list(self.oldest(ConnectionState.READING, self.limits.stalled_request_s)):
            if self.is_evictable(connection, ConnectionState.READING):
                self.give_up(connection)
                given_up += 1
        return given_up

    def give_up(self, connection: ClientSocket) -> None:
        """Ends the read of a request, which is answered 503."""
        self.enter(connection, ConnectionState.REJECTING)
        connection.cancel(StalledRequestError())

    def reclaim_memory(self, needed_bytes: int) -> None:
        """Gives up requests that have stalled, to free memory. Does not wait."""
        now = monotonic()
        by_id = {}
        requests = []
        for connection, entered_at in self.entries_by_state[ConnectionState.READING].items():
            if now - entered_at < self.limits.stalled_request_s:
                break
            if connection.request_buffer.reserved_bytes:
                by_id[id(connection)] = connection
                requests.append(request_in_progress(connection, now - entered_at))
        for request in memory_budget.reclaimed(requests, needed_bytes, self.memory.shares):
            self.give_up(by_id[request.connection_id])

    def evict(self, state: ConnectionState, min_age_s: float = 0.0) -> bool:
        """Closes the connection longest in a state, unless it entered the state less than `min_age_s` ago or
        its next request waits to be read; returns whether a connection was closed."""
        for connection in self.oldest(state, min_age_s):
            if self.is_evictable(connection, state):
                self.close_evicted(connection, state)
                return True
        return False

    def close_evicted(self, connection: ClientSocket, state: ConnectionState) -> None:
        """Closes a connection that is in this state."""
        self.remove(connection)
        self._evicted.add(connection)
        self.closed[EVICTION_REASONS[state]] += 1
        connection.close()

    def oldest(self, state: ConnectionState, min_age_s: float) -> Iterator[ClientSocket]:
        """Yields the candidates for eviction from a state, longest in it first."""
        candidates = self.limits.eviction_candidates if state is ConnectionState.READING else 1
        for connection, entered_at in islice(self.entries_by_state[state].items(), candidates):
            if monotonic() - entered_at < min_age_s:
                return
            yield connection

    @staticmethod
    def is_evictable(connection: ClientSocket, state: ConnectionState) -> bool:
        """Whether ending the connection loses no request and no response."""
        if state is ConnectionState.READING:
            return not connection.peek_byte()
        return state is ConnectionState.HALF_CLOSED or connection.is_idle()


def request_in_progress(connection: ClientSocket, age_s: float) -> RequestInProgress:
    """Returns what the choice of requests that are given up needs of a connection."""
    return RequestInProgress(
        connection_id=id(connection),
        age_s=age_s,
        held_bytes=connection.request_buffer.reserved_bytes,
        received_bytes=len(connection.buffer),
        has_accepted_messages=connection.has_accepted_messages,
    )
