"""All limits of the sender on sockets, in one structure that is created at the start.

In the platform's file, the table `limits` has the number of descriptors (`sockets`) and megabytes of memory
(`memory_mb`) and of disk (`disk_mb`). A sender's own file can also set the fields of all structures by name,
under `own`. All other values are fixed.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from msgspec import Struct, field
from msgspec.structs import replace

from ashpath.core.interface import PolicySettings
from ashpath.core.time_units import SECOND
from ashpath.server.limits.client_connections import ClientConnectionLimits
from ashpath.server.limits.control import ControlLimits
from ashpath.server.limits.discovery import DiscoveryLimits
from ashpath.server.limits.endpoint_connections import EndpointConnectionLimits
from ashpath.server.limits.errors import UnknownLimitError
from ashpath.server.limits.http import HttpLimits
from ashpath.server.limits.memory import MemoryLimits
from ashpath.server.limits.notifications import NotificationLimits
from ashpath.server.limits.services import ServiceLimits
from ashpath.server.limits.shutdown import ShutdownLimits
from ashpath.server.limits.storage import StorageLimits

RESERVED_DESCRIPTORS = 48
"""Descriptors for the listener, the write-ahead log, discovery, notifications, the log and the event loop."""

# Defaults for values that the platform's file lacks. They are small, as the machine may be.
DEFAULT_DESCRIPTORS = 1024
DEFAULT_DISK_MB = 1
DEFAULT_MEMORY_MB = 192
DEFAULT_IDLE_TIMEOUT_US = 5_000_000
DEFAULT_CONNECT_TIMEOUT_US = 1_000_000

MIN_DESCRIPTORS = 64
MIN_ENDPOINT_CONNECTIONS = 64
CONNECTIONS_PER_ATTEMPT = 2  # one connection in use, and one idle
MAX_ENDPOINT_SHARE = (3, 4)  # of the free descriptors; the rest is for clients
# One descriptor in six may be held by an idle client connection. That is about half of the client
# connections, so that clients can always open others.
IDLE_CLIENT_SHARE = 6
MEMORY_BYTES_PER_MB = 1_000_000  # a megabyte may mean a million bytes
DISK_BYTES_PER_MB = 970_000  # a megabyte may mean a million bytes, and a file system has overhead
IDLE_MARGIN_S = 0.2  # how long before the far end the sender closes an idle connection


class ServerLimits(Struct, frozen=True):
    """The limits of all parts of a sender."""

    clients: ClientConnectionLimits
    endpoints: EndpointConnectionLimits
    http: HttpLimits
    storage: StorageLimits
    memory: MemoryLimits
    discovery: DiscoveryLimits = field(default_factory=DiscoveryLimits)
    notifications: NotificationLimits = field(default_factory=NotificationLimits)
    services: ServiceLimits = field(default_factory=ServiceLimits)
    shutdown: ShutdownLimits = field(default_factory=ShutdownLimits)
    control: ControlLimits = field(default_factory=ControlLimits)

    @classmethod
    def from_configuration(cls, configured: dict[str, Any], settings: PolicySettings) -> ServerLimits:
        """Derives the limits from the table `limits` of the platform's file and from the settings of the
        policy. Raises TypeError if `own` is not a table, and UnknownLimitError for an unknown key in it."""
        descriptors = max(MIN_DESCRIPTORS, int(configured.get("sockets") or DEFAULT_DESCRIPTORS))
        connections = endpoint_connections(descriptors, settings.max_in_flight)
        idle_timeout_s = (settings.idle_timeout or DEFAULT_IDLE_TIMEOUT_US) / SECOND
        connect_timeout_us = settings.connect_timeout or DEFAULT_CONNECT_TIMEOUT_US
        disk_mb = float(configured.get("disk_mb") or DEFAULT_DISK_MB)
        memory_mb = float(configured.get("memory_mb") or DEFAULT_MEMORY_MB)
        limits = cls(
            clients=ClientConnectionLimits(
                client_connections=descriptors - RESERVED_DESCRIPTORS - connections,
                idle_client_connections=descriptors // IDLE_CLIENT_SHARE,
            ),
            endpoints=EndpointConnectionLimits(
                endpoint_connections=connections,
                endpoint_idle_s=max(idle_timeout_s - IDLE_MARGIN_S, idle_timeout_s / 2),
            ),
            http=HttpLimits(connect_s=connect_timeout_us / SECOND),
            storage=StorageLimits(disk_bytes=int(disk_mb * DISK_BYTES_PER_MB)),
            memory=MemoryLimits(memory_bytes=int(memory_mb * MEMORY_BYTES_PER_MB)),
        )
        own = configured.get("own") or {}
        # `replace` raises the error for a value that is not a table.
        return limits.with_fields(own) if isinstance(own, dict) else replace(limits, **own)

    def with_fields(self, values: Mapping[str, Any]) -> ServerLimits:
        """Returns these limits with other values of the named fields of its structures.

        Raises UnknownLimitError."""
        changes: dict[str, dict[str, Any]] = {}
        for key, value in values.items():
            changes.setdefault(self.structure_of(key), {})[key] = value
        return replace(
            self, **{name: replace(getattr(self, name), **fields) for name, fields in changes.items()}
        )

    def structure_of(self, key: str) -> str:
        """Returns the name of the structure that has the field `key`. Raises UnknownLimitError."""
        for name in self.__struct_fields__:
            if key in getattr(self, name).__struct_fields__:
                return name
        raise UnknownLimitError(key)


def endpoint_connections(descriptors: int, max_in_flight: int) -> int:
    """Returns how many descriptors are allotted to connections to endpoints."""
    numerator, denominator = MAX_ENDPOINT_SHARE
    wanted = max(MIN_ENDPOINT_CONNECTIONS, CONNECTIONS_PER_ATTEMPT * max_in_flight)
    return min(wanted, (descriptors - RESERVED_DESCRIPTORS) * numerator // denominator)
