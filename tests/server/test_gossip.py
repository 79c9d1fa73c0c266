"""Gossip between senders over UDP datagrams."""

from __future__ import annotations

from collections.abc import Iterator
from unittest.mock import Mock

import pytest
from gevent import socket
from support.world import free_address, wait_until

from ashpath.server.addresses import Address
from ashpath.server.gossip import MAX_MESSAGE_BYTES, Gossip


class Peer:
    """The gossip of one sender at an address of its own, with the messages that it received."""

    def __init__(self) -> None:
        self.address: Address = free_address()
        self.received: list[bytes] = []
        self.logger = Mock()
        self.gossip = Gossip(self, self.logger)

    def receive_gossip(self, message: bytes) -> None:
        self.received.append(message)


@pytest.fixture
def peers() -> Iterator[tuple[Peer, Peer]]:
    """Two peers that list each other: the receiver and the publisher."""
    receiver, publisher = Peer(), Peer()
    receiver.gossip.change_addresses(receiver.address, frozenset({receiver.address, publisher.address}))
    publisher.gossip.change_addresses(publisher.address, frozenset({receiver.address}))
    yield receiver, publisher
    for peer in (receiver, publisher):
        peer.gossip.change_addresses(None, frozenset())


def test_message_reaches_peer_that_lists_its_sender(peers: tuple[Peer, Peer]) -> None:
    receiver, publisher = peers
    publisher.gossip.publish(b"first")
    wait_until(lambda: receiver.received == [b"first"])


def test_oversized_and_unlisted_messages_are_not_received(peers: tuple[Peer, Peer]) -> None:
    """Each message of an unlisted sender is counted; the first, second and fourth are logged."""
    receiver, publisher = peers
    publisher.gossip.publish(b"first")
    wait_until(lambda: receiver.received == [b"first"])
    publisher.gossip.publish(b"x" * (MAX_MESSAGE_BYTES + 44))  # too long to be sent
    assert publisher.gossip.sent == 1
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unlisted_socket:
        assert [unlisted_socket.sendto(b"back 7 x1", receiver.address) for _ in range(5)] == [9] * 5
        wait_until(lambda: receiver.gossip.dropped == 5)
    assert receiver.received == [b"first"]
    assert receiver.logger.info.call_count == 3


def test_gossip_resumes_after_it_was_switched_off(peers: tuple[Peer, Peer]) -> None:
    """A failed change to an address in use leaves the previous address in service."""
    receiver, publisher = peers
    receiver.gossip.change_addresses(None, frozenset())
    publisher.gossip.publish(b"lost")  # the receiver has no socket; no error is raised
    receiver.gossip.change_addresses(receiver.address, frozenset({publisher.address}))
    with pytest.raises(OSError, match="in use"):
        receiver.gossip.change_addresses(publisher.address, frozenset())
    publisher.gossip.publish(b"still received")
    wait_until(lambda: receiver.received == [b"still received"])
