"""Hands the policy's gossip to the gossip socket, where the configuration names other senders.

The policy runner needs a publisher from its start; `ashpath.server.gossip` is imported only where gossip is
switched on, which a reload may do in a running sender. This link stands between the two.
"""

from __future__ import annotations

from typing import Protocol


class GossipPublisher(Protocol):
    """Who sends a gossip message to all other senders, or loses it."""

    def publish(self, message: bytes) -> None:
        """Never waits for a receiver."""


class GossipLink:
    """A publisher that is silent until another one is connected to it."""

    def __init__(self) -> None:
        self._publisher: GossipPublisher | None = None

    def connect(self, publisher: GossipPublisher) -> None:
        """Gossip goes there from now on."""
        self._publisher = publisher

    def publish(self, message: bytes) -> None:
        """Passes it on; without a publisher it is dropped."""
        if self._publisher is not None:
            self._publisher.publish(message)
