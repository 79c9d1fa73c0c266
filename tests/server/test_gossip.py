"""Gossip between senders, on datagrams."""

from __future__ import annotations

from collections.abc import Iterator
from unittest.mock import Mock

import pytest
from gevent import socket
from support.world import free_address, wait_until

from ashpath.server.addresses import Address
from ashpath.server.gossip import MAX_MESSAGE_BYTES, Gossip


class Peer:
    """A sender's gossip at an address of its own, and what it received."""

    def __init__(self) -> None:
        self.address: Address = free_address()
        self.received: list[bytes] = []
        self.logger = Mock()
        self.gossip = Gossip(self, self.logger)

    def receive_gossip(self, message: bytes) -> None:
        self.received.append(message)


@pytest.fixture
def peers() -> Iterator[tuple[Peer, Peer]]:
    """Two that name each other."""
    ours, theirs = Peer(), Peer()
    ours.gossip.change_addresses(ours.address, frozenset({ours.address, theirs.address}))
    theirs.gossip.change_addresses(theirs.address, frozenset({ours.address}))
    yield ours, theirs
    for peer in (ours, theirs):
        peer.gossip.change_addresses(None, frozenset())


def test_a_message_reaches_who_names_its_sender(peers: tuple[Peer, Peer]) -> None:
    ours, theirs = peers
    theirs.gossip.publish(b"first")
    wait_until(lambda: ours.received == [b"first"])


def test_garbage_and_strangers_are_dropped(peers: tuple[Peer, Peer]) -> None:
    """Each is counted; the first, second and fourth are logged."""
    ours, theirs = peers
    theirs.gossip.publish(b"first")
    wait_until(lambda: ours.received == [b"first"])
    theirs.gossip.publish(b"x" * (MAX_MESSAGE_BYTES + 44))  # too long: it is not even sent
    assert theirs.gossip.sent == 1
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        assert [stranger.sendto(b"back 7 x1", ours.address) for _ in range(5)] == [9] * 5
        wait_until(lambda: ours.gossip.dropped == 5)
    assert ours.received == [b"first"]
    assert ours.logger.info.call_count == 3


def test_gossip_goes_on_after_it_was_switched_off(peers: tuple[Peer, Peer]) -> None:
    """Also where an address that cannot be had was tried meanwhile: the one before serves on."""
    ours, theirs = peers
    ours.gossip.change_addresses(None, frozenset())
    theirs.gossip.publish(b"lost")  # and no fault
    ours.gossip.change_addresses(ours.address, frozenset({theirs.address}))
    with pytest.raises(OSError, match="in use"):
        ours.gossip.change_addresses(theirs.address, frozenset())
    theirs.gossip.publish(b"still received")
    wait_until(lambda: ours.received == [b"still received"])
