"""Eviction of connections at the control address."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from gevent import socket

from ashpath.server.control.connection_table import ControlConnectionTable

Pair = tuple[socket.socket, socket.socket]


@pytest.fixture
def pairs() -> Iterator[list[Pair]]:
    """Yields connections as pairs of sockets: the sender's end, and the operator's."""
    made = [socket.socketpair() for _ in range(3)]
    yield made
    for ours, operators in made:
        ours.close()
        operators.close()


@pytest.fixture
def table(pairs: list[Pair]) -> ControlConnectionTable:
    """Returns a full table."""
    made = ControlConnectionTable(capacity=3)
    for ours, _ in pairs:
        assert not made.full
        made.add(ours)
    return made


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
    for _, operators in (pairs[0], pairs[2]):
        operators.sendall(b"PI")
    assert not table.evict_silent()
    assert pairs[0][0].recv(100) == b"PIPI"  # no byte was consumed


def test_ended_connection_frees_its_slot(table: ControlConnectionTable, pairs: list[Pair]) -> None:
    table.remove(pairs[0][0])
    table.remove(pairs[0][0])  # an evicted connection is removed twice
    assert not table.full
