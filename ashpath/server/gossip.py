"""Gossip between senders, by datagrams, which may be lost. Imported only if the configuration names other
senders.

A message is accepted only from the address of a sender that the configuration names; other messages are
dropped and counted. Messages are not retransmitted or queued: a message that cannot be sent at once is lost.
Only the policy interprets the content of a message.
"""

from __future__ import annotations

from typing import Protocol

import gevent
from gevent import socket

from ashpath.server.addresses import Address
from ashpath.server.logs import Logger

MAX_MESSAGE_BYTES = 256
RECEIVE_RETRY_S = 0.01  # pause after a failed receive


class GossipListener(Protocol):
    """Receives the messages of other senders."""

    def receive_gossip(self, message: bytes) -> None:
        """Takes one message of another sender."""
        ...


class Gossip:
    """Sends messages to peers and receives theirs. Inactive until `change_addresses` sets an address."""

    def __init__(self, listener: GossipListener, logger: Logger) -> None:
        self.listener = listener
        self.logger = logger
        self.sent = 0  # messages; the copies to several peers count separately
        self.received = 0
        self.dropped = 0
        self.address: Address | None = None
        self.socket: socket.socket | None = None
        self.reader: gevent.Greenlet[..., None] | None = None
        self.peers: frozenset[Address] = frozenset()

    def change_addresses(self, address: Address | None, peers: frozenset[Address]) -> None:
        """Changes the address and the peers, also while gossip is active.

        Raises OSError if the address cannot be bound; the previous socket and peers stay in use then."""
        if address != self.address:
            bound = None if address is None else bind(address)
            self.address = address
            self.replace_socket(bound)
        self.peers = peers - ({address} if address else set())

    def replace_socket(self, bound: socket.socket | None) -> None:
        """Closes the previous socket, and receives from `bound`."""
        previous = self.socket
        self.socket = bound
        if previous is not None:
            if self.reader is not None:
                self.reader.kill()  # first, as a socket with a waiting greenlet keeps its address after close
            previous.close()
        if bound is not None:
            self.reader = gevent.spawn(self.run, bound)

    def publish(self, message: bytes) -> None:
        """Sends the message to each peer to which it can be sent at once. A message that is too long is not
        sent."""
        if self.socket is None or len(message) > MAX_MESSAGE_BYTES:
            return
        for peer in self.peers:
            try:
                self.socket.sendto(message, peer)
            except OSError:
                continue  # counts as lost, like a datagram that is lost in the network
            self.sent += 1

    def run(self, bound: socket.socket) -> None:
        """Receives as long as `bound` is the socket in use."""
        while bound is self.socket:
            try:
                message, peer = bound.recvfrom(MAX_MESSAGE_BYTES + 1)
            except OSError:
                if bound is self.socket:
                    gevent.sleep(RECEIVE_RETRY_S)  # for example, an ICMP error for an earlier datagram
                continue
            self.datagram_received(message, peer)

    def datagram_received(self, message: bytes, peer: Address) -> None:
        """Passes the message on, or drops it. Only the 1st, 2nd, 4th, 8th ... drop is logged, so that unknown
        senders cannot flood the log."""
        if peer in self.peers and 0 < len(message) <= MAX_MESSAGE_BYTES:
            self.received += 1
            self.listener.receive_gossip(message)
            return
        self.dropped += 1
        if self.dropped & (self.dropped - 1) == 0:
            sender = f"{peer[0]}:{peer[1]}"
            self.logger.info("gossip message dropped", sender=sender, dropped=self.dropped)


def bind(address: Address) -> socket.socket:
    """Returns a datagram socket that is bound to `address`. Raises OSError if it cannot be bound."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return bound
