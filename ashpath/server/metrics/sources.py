"""What the metrics read of a sender."""

from __future__ import annotations

from typing import Protocol

from ashpath.server.discovery.client import DiscoveryClient
from ashpath.server.gossip import Gossip
from ashpath.server.http.listener import ClientListener
from ashpath.server.policy_runner import PolicyRunner
from ashpath.server.storage.write_ahead_log import WriteAheadLog


class MetricsSource(Protocol):
    """The parts of a running sender that metrics are read off."""

    @property
    def policy_runner(self) -> PolicyRunner:
        """Messages, attempts, and the policy's destinations."""
        ...

    @property
    def write_ahead_log(self) -> WriteAheadLog:
        """Its size and its bound."""
        ...

    @property
    def listener(self) -> ClientListener:
        """Clients' connections."""
        ...

    @property
    def discovery(self) -> DiscoveryClient | None:
        """The age of the endpoint list; None where no agent is configured."""
        ...

    @property
    def gossip(self) -> Gossip | None:
        """None until the configuration names other senders."""
        ...

    def traffic_class_name(self, traffic_class: int) -> str:
        """As the running settings name it; empty where they have no such number."""
        ...
