"""The stage that carries notes between senders: datagrams, which may be lost. Imported only where the
configuration names other senders.

A note counts only if it comes from the address of a sender that the configuration names: others are dropped
and counted. Nothing is sent twice, and nothing waits: a note that cannot leave at once is lost.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket

from ashpath.server.delivery.connection_pool import Address

LONGEST = 256  # bytes of a note


class Gossip:
    """`move` takes a new address and other senders while it runs; no address: nothing is heard or told."""

    def __init__(self, hear: Callable[[bytes], None], log: Any) -> None:
        self.on_message, self.log = hear, log
        self.sent = self.received = self.dropped = 0  # notes
        self.socket: Any = None
        self.reader: Any = None
        self.listen: Address | None = None
        self.peers: frozenset[Address] = frozenset()

    def move(self, listen: Address | None, others: frozenset[Address]) -> None:
        """Raises OSError where the address cannot be had; what was there before then serves on."""
        if listen != self.listen:
            fresh = None
            if listen is not None:
                fresh = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                try:
                    fresh.bind(listen)
                except OSError:
                    fresh.close()
                    raise
            old, self.socket, self.listen = self.socket, fresh, listen
            if old is not None:
                self.reader.kill()  # first: a socket that is waited on holds its address past its close
                old.close()
            if fresh is not None:
                self.reader = gevent.spawn(self.run, fresh)
        self.peers = others - ({listen} if listen else set())

    def publish(self, note: bytes) -> None:
        for other in self.peers if self.socket is not None and len(note) <= LONGEST else ():
            try:
                self.socket.sendto(note, other)
                self.sent += 1
            except OSError:
                continue  # as good as lost on its way

    def run(self, own: Any) -> None:
        while own is self.socket:
            try:
                note, sender = own.recvfrom(LONGEST + 1)
            except OSError:
                if own is self.socket:
                    gevent.sleep(0.01)  # a refusal of an earlier datagram comes back here
                continue
            if sender in self.peers and 0 < len(note) <= LONGEST:
                self.received += 1
                self.on_message(note)
                continue
            self.dropped += 1
            if self.dropped & (self.dropped - 1) == 0:  # the 1st, 2nd, 4th: strangers cannot fill the log
                self.log.info(
                    "gossip message dropped", sender=f"{sender[0]}:{sender[1]}", dropped=self.dropped
                )
