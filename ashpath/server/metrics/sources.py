"""The components of a sender from which metrics are read."""

from __future__ import annotations

from typing import Protocol

from ashpath.server.directory_monitor import DirectoryMonitor
from ashpath.server.discovery.client import DiscoveryClient
from ashpath.server.gossip import Gossip
from ashpath.server.http.admission import Admission
from ashpath.server.http.listener import ClientListener
from ashpath.server.memory_monitor import MemoryMonitor
from ashpath.server.policy_runner import PolicyRunner
from ashpath.server.storage.write_ahead_log import WriteAheadLog


class MetricsSource(Protocol):
    """Components of a running sender that the metrics read."""

    @property
    def policy_runner(self) -> PolicyRunner:
        """Source of messages, attempts, and the policy's destinations."""
        ...

    @property
    def write_ahead_log(self) -> WriteAheadLog:
        """Source of the write-ahead log's size and size limit."""
        ...

    @property
    def directory_monitor(self) -> DirectoryMonitor:
        """Source of the state directory's size."""
        ...

    @property
    def memory_monitor(self) -> MemoryMonitor:
        """Source of the resident size."""
        ...

    @property
    def admission(self) -> Admission:
        """Source of the number of refused messages."""
        ...

    @property
    def listener(self) -> ClientListener:
        """Source of the number of client connections."""
        ...

    @property
    def discovery(self) -> DiscoveryClient | None:
        """Source of the age of the endpoint list; None if no agent is configured."""
        ...

    @property
    def gossip(self) -> Gossip | None:
        """Source of gossip counts; None until the configuration names other senders."""
        ...

    def traffic_class_name(self, traffic_class: int) -> str:
        """Returns the name of a traffic class in the current settings, or "" for an unknown number."""
        ...
