"""Gossip between senders, by datagrams, which may be lost. Imported only if the configuration names other
senders.

A message is accepted only from the address of a sender that the configuration names; other messages are
dropped and counted. Messages are not retransmitted or queued: a message that cannot be sent at once is lost.
Only the policy interprets the content of a message.

| fault of a call (`local_errors`) | receive | send |
| --- | --- | --- |
| `LOCAL` | the next one after `RETRY_PAUSE_S` | the message is lost for the remaining peers |
| `PEER` | the next one after `RECEIVE_RETRY_S` | the message is lost for this peer |
| `SOCKET_LOST` | logged; another socket is bound after `RETRY_PAUSE_S` | the same |
"""

from __future__ import annotations

from contextlib import suppress
from typing import Protocol

import gevent
from gevent import socket

from ashpath.server.addresses import Address
from ashpath.server.local_errors import RETRY_PAUSE_S, DatagramFault, receive_fault, send_fault
from ashpath.server.logs import Logger

MAX_MESSAGE_BYTES = 256
RECEIVE_RETRY_S = 0.01  # pause after an error that the network reported for an earlier datagram


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
        self.reopen_failed = False  # since the socket was lost; logged once

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
        if self.reader is not None:
            self.reader.kill()  # first, as a socket with a waiting greenlet keeps its address after close
            self.reader = None
        self.close_socket()
        self.socket = bound
        if bound is not None:
            self.reader = gevent.spawn(self.run)

    def publish(self, message: bytes) -> None:
        """Sends the message to each peer to which it can be sent at once. A message that is too long is not
        sent."""
        if len(message) > MAX_MESSAGE_BYTES:
            return
        for peer in self.peers:
            if self.socket is None or not self.send(self.socket, message, peer):
                return

    def send(self, bound: socket.socket, message: bytes, peer: Address) -> bool:
        """Sends the message to one peer, without waiting. Returns whether a send to another peer may succeed
        now. A message that is not sent counts as lost, like a datagram that is lost in the network."""
        bound.settimeout(0)
        try:
            bound.sendto(message, peer)
        except OSError as error:
            fault = send_fault(error)
            if fault is DatagramFault.SOCKET_LOST:
                self.socket_lost(error)
            return fault is DatagramFault.PEER
        finally:
            bound.settimeout(None)
        self.sent += 1
        return True

    def run(self) -> None:
        """Receives messages until `replace_socket` ends this greenlet. Opens a socket whenever there is
        none."""
        while True:
            try:
                if self.socket is None:
                    self.reopen()
                else:
                    self.receive(self.socket)
            except Exception:
                self.logger.exception("unexpected error")
                gevent.sleep(RETRY_PAUSE_S)

    def receive(self, bound: socket.socket) -> None:
        """Waits for one message, and handles it."""
        try:
            message, peer = bound.recvfrom(MAX_MESSAGE_BYTES + 1)
        except OSError as error:
            if bound is self.socket:  # otherwise `send` has found it lost, and closed it
                self.receive_failed(error)
            return
        self.datagram_received(message, peer)

    def receive_failed(self, error: OSError) -> None:
        """Prepares the next receive after a failed one."""
        fault = receive_fault(error)
        if fault is DatagramFault.SOCKET_LOST:
            self.socket_lost(error)
        else:
            gevent.sleep(RETRY_PAUSE_S if fault is DatagramFault.LOCAL else RECEIVE_RETRY_S)

    def socket_lost(self, error: OSError) -> None:
        """Logs the loss of the socket, and closes it, which ends a receive that waits on it."""
        self.logger.error("gossip socket lost", error=str(error))
        self.close_socket()

    def close_socket(self) -> None:
        """Closes the socket, if any."""
        previous = self.socket
        self.socket = None
        if previous is not None:
            with suppress(OSError):  # the descriptor of a lost socket may be closed already
                previous.close()

    def reopen(self) -> None:
        """Binds another socket after a pause, once. The caller repeats it until it succeeds."""
        gevent.sleep(RETRY_PAUSE_S)
        assert self.address is not None  # otherwise `replace_socket` has ended this greenlet
        try:
            self.socket = bind(self.address)
        except OSError as error:
            if not self.reopen_failed:
                self.logger.error("gossip not received", error=str(error))  # noqa: TRY400 - one line is enough
            self.reopen_failed = True
        else:
            self.reopen_failed = False

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
