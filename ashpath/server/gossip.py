"""Gossip between senders: datagrams, which may be lost. Imported only where the configuration names other
senders.

A message counts only if it comes from the address of a sender that the configuration names: others are
dropped and counted. Nothing is sent twice, and nothing waits: a message that cannot leave at once is lost.
What a message says is the policy's business.
"""

from __future__ import annotations

from typing import Protocol

import gevent
from gevent import socket

from ashpath.server.addresses import Address
from ashpath.server.logs import Logger

MAX_MESSAGE_BYTES = 256
RECEIVE_RETRY_S = 0.01  # after a receive that failed


class GossipListener(Protocol):
    """Who is to know what other senders say."""

    def receive_gossip(self, message: bytes) -> None:
        """One message of another sender."""
        ...


class Gossip:
    """Sends to and receives from peers. Without an address nothing is received or sent: see `move`."""

    def __init__(self, listener: GossipListener, logger: Logger) -> None:
        self.listener = listener
        self.logger = logger
        self.sent = 0  # messages, each peer's copy counted
        self.received = 0
        self.dropped = 0
        self.address: Address | None = None
        self.socket: socket.socket | None = None
        self.reader: gevent.Greenlet[..., None] | None = None
        self.peers: frozenset[Address] = frozenset()

    def move(self, address: Address | None, peers: frozenset[Address]) -> None:
        """Takes a new address and other peers while it runs.

        Raises OSError where the address cannot be had; what was there before then goes on."""
        if address != self.address:
            bound = None if address is None else bind(address)
            self.address = address
            self.replace_socket(bound)
        self.peers = peers - ({address} if address else set())

    def replace_socket(self, bound: socket.socket | None) -> None:
        """Ends the socket that was there, and reads from `bound`."""
        previous = self.socket
        self.socket = bound
        if previous is not None:
            if self.reader is not None:
                self.reader.kill()  # first: a socket that is waited on holds its address past its close
            previous.close()
        if bound is not None:
            self.reader = gevent.spawn(self.run, bound)

    def publish(self, message: bytes) -> None:
        """Sends to all peers what can leave at once; one that is too long is not sent."""
        if self.socket is None or len(message) > MAX_MESSAGE_BYTES:
            return
        for peer in self.peers:
            try:
                self.socket.sendto(message, peer)
            except OSError:
                continue  # as good as lost on its way
            self.sent += 1

    def run(self, bound: socket.socket) -> None:
        """Receives for as long as `bound` is the socket in use."""
        while bound is self.socket:
            try:
                message, peer = bound.recvfrom(MAX_MESSAGE_BYTES + 1)
            except OSError:
                if bound is self.socket:
                    gevent.sleep(RECEIVE_RETRY_S)  # a refusal of an earlier datagram comes back here
                continue
            self.datagram_received(message, peer)

    def datagram_received(self, message: bytes, peer: Address) -> None:
        """Passes it on, or drops it. The 1st, 2nd, 4th, ... is logged: strangers cannot fill the log."""
        if peer in self.peers and 0 < len(message) <= MAX_MESSAGE_BYTES:
            self.received += 1
            self.listener.receive_gossip(message)
            return
        self.dropped += 1
        if self.dropped & (self.dropped - 1) == 0:
            sender = f"{peer[0]}:{peer[1]}"
            self.logger.info("gossip message dropped", sender=sender, dropped=self.dropped)


def bind(address: Address) -> socket.socket:
    """A datagram socket. Raises OSError."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return bound
