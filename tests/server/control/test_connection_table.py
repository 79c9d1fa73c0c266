"""The table of connections at the control address, and the eviction of connections from the table."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from gevent import socket

from ashpath.server.control.connection_table import ControlConnectionTable

Pair = tuple[socket.socket, socket.socket]


@pytest.fixture
def pairs() -> Iterator[list[Pair]]:
    """Yields connections as pairs of sockets: the sender's end, and the operator's."""
    created = [socket.socketpair() for _ in range(3)]
    yield created
    for sender_end, operator_end in created:
        sender_end.close()
        operator_end.close()


@pytest.fixture
def table(pairs: list[Pair]) -> ControlConnectionTable:
    """Returns a table that is full with the sender's ends of all pairs."""
    full_table = ControlConnectionTable(capacity=3)
    for sender_end, _ in pairs:
        assert not full_table.full
        full_table.add(sender_end)
    return full_table


def test_longest_silent_connection_is_evicted(table: ControlConnectionTable, pairs: list[Pair]) -> None:
    assert table.full
    table.mark_active(pairs[0][0])
    assert table.evict_silent()
    assert not table.full
    assert pairs[1][1].recv(100) == b"ERR busy: said nothing for the longest\n"
    assert pairs[1][1].recv(100) == b""


def test_connection_with_unread_bytes_is_not_evicted(
    table: ControlConnectionTable, pairs: list[Pair]
) -> None:
    pairs[0][1].sendall(b"PI")
    assert table.evict_silent()
    assert pairs[1][0] not in table.connections
    for _, operator_end in (pairs[0], pairs[2]):
        operator_end.sendall(b"PI")
    assert not table.evict_silent()
    assert pairs[0][0].recv(100) == b"PIPI"  # no byte was consumed


def test_ended_connection_frees_its_slot(table: ControlConnectionTable, pairs: list[Pair]) -> None:
    table.remove(pairs[0][0])
    table.remove(pairs[0][0])  # an evicted connection is removed twice
    assert not table.full
