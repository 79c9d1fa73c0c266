"""Passes the policy's gossip messages to the gossip socket, if the configuration names other senders.

The policy runner needs a publisher from its start, but `ashpath.server.gossip` is imported only when gossip
is switched on, which a reload may do in a running sender. `GossipLink` connects the two.
"""

from __future__ import annotations

from typing import Protocol


class GossipPublisher(Protocol):
    """Sends gossip messages to all other senders, without a guarantee of delivery."""

    def publish(self, message: bytes) -> None:
        """Sends a message without waiting for a receiver."""


class GossipLink:
    """A publisher that drops all messages until another publisher is connected to it."""

    def __init__(self) -> None:
        self._publisher: GossipPublisher | None = None

    def connect(self, publisher: GossipPublisher) -> None:
        """Uses `publisher` for all further messages."""
        self._publisher = publisher

    def publish(self, message: bytes) -> None:
        """Passes the message on, or drops it if no publisher is connected."""
        if self._publisher is not None:
            self._publisher.publish(message)
