"""Stores the addresses of endpoints, and converts members of the endpoint list to the policy's records.

Discovery passes members as decoded JSON; the registry returns the changes as a `MembershipChange`, which
`EndpointMembership` passes on to the policy.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import isfinite
from time import monotonic
from typing import Any, NamedTuple
from zlib import crc32

from msgspec import Struct
from msgspec.structs import replace

from ashpath.core.interface import EndpointRecord, EndpointStatus
from ashpath.server import wire_names
from ashpath.server.addresses import Address, parse_address
from ashpath.server.delivery.connection_pool import ConnectionPool
from ashpath.server.logs import Logger

EndpointMember = Mapping[str, Any]
"""One member of the endpoint list: a decoded JSON object of service discovery or of a configuration."""

NO_ADDRESS: Address = ("", 0)
FIRST_UNNAMED_ZONE = 1 << 20
"""Numbers of zones that the settings do not name begin here, above the indices of those that they name."""


class MembershipChange(Struct, frozen=True):
    """The result of applying an endpoint list or an update of it."""

    records: list[EndpointRecord]
    """Members that could be read, in the order of the list."""
    complete: bool
    """`records` replace all that were listed before; otherwise they update the list."""
    unreadable: int
    """Number of members that could not be read; each is logged."""


class ListedNames(NamedTuple):
    """What the list says of an endpoint by names, as it was read."""

    kind: object
    zone: object


class ReadMember(NamedTuple):
    """A member of a list that could be read."""

    record: EndpointRecord
    address: Address
    names: ListedNames


class EndpointRegistry:
    """The endpoints as last listed. `kinds` and `zones` are the names in the settings, in their order."""

    def __init__(self, kinds: list[str], zones: list[str], pool: ConnectionPool, logger: Logger) -> None:
        self.kinds = kinds
        self.zones = zones
        self.pool = pool
        self.logger = logger
        self.addresses: dict[str, Address] = {}
        """Address by endpoint, for active endpoints. An endpoint leaves as it drains, is removed, or is
        absent from a complete list."""
        self.listed: dict[str, int] = {}
        """Destination by endpoint, for the same endpoints as `addresses`."""
        self.served_destinations: dict[int, float] = {}
        """When each destination last had an active endpoint, in seconds of the monotonic clock."""
        self.records: dict[str, EndpointRecord] = {}
        """Record by endpoint as last listed, of any status."""
        self.names: dict[str, ListedNames] = {}
        """Names by endpoint, for the endpoints of `records`: other settings may number them otherwise."""
        self.started_ms: dict[str, float] = {}
        """Time of the last start by endpoint, as Unix time in milliseconds, for the endpoints of `addresses`;
        0: long ago, or not listed."""

    def configure(self, kinds: list[str], zones: list[str]) -> None:
        """Replaces the names, for lists that are applied later and for the endpoints that are listed."""
        self.kinds = kinds
        self.zones = zones
        for endpoint_id, names in self.names.items():
            record = self.records[endpoint_id]
            self.records[endpoint_id] = replace(
                record, kind=self._kind_of(names.kind), zone=self._zone_of(names.zone)
            )

    def serves(self, destination: int) -> bool:
        """Whether the destination has an active endpoint, or had one within `forget_destination_s`."""
        return destination in self.served_destinations

    def apply_members(self, members: Sequence[EndpointMember], *, complete: bool) -> MembershipChange:
        """Applies a complete endpoint list or an update; closes idle connections to addresses that left.

        An endpoint whose address has one that started later is gone, even if the list has it up."""
        read = self._read(members)
        addresses_before = dict(self.addresses)
        if complete:
            self.addresses = {}
            self.listed = {}
            self.records = {}
            self.names = {}
            self.started_ms = {}
        for record, address, names in read:
            self.records[record.endpoint_id] = record
            self.names[record.endpoint_id] = names
            self.addresses.pop(record.endpoint_id, None)
            self.listed.pop(record.endpoint_id, None)
            self.started_ms.pop(record.endpoint_id, None)
            if record.status is EndpointStatus.ACTIVE:
                self.addresses[record.endpoint_id] = address
                self.listed[record.endpoint_id] = record.destination
        self._update_starts(members)
        replaced = self._remove_replaced()
        self._update_served_destinations()
        for endpoint_id, address in addresses_before.items():
            if self.addresses.get(endpoint_id) != address:
                self.pool.close_idle(endpoint_id)
        unreadable = len(members) - len(read)
        records = [record for record, *_ in read if record.endpoint_id not in replaced]
        return MembershipChange([*records, *replaced.values()], complete, unreadable)

    def _update_starts(self, members: Sequence[EndpointMember]) -> None:
        for member in members:
            if not isinstance(member, Mapping):  # an unreadable one, which is logged
                continue
            endpoint_id, started_ms = member.get("id"), member.get("up_since_ms")
            if not isinstance(started_ms, int | float) or not isfinite(started_ms):
                continue
            if isinstance(endpoint_id, str) and endpoint_id in self.addresses:
                self.started_ms[endpoint_id] = started_ms

    def _remove_replaced(self) -> dict[str, EndpointRecord]:
        """Removes the endpoints whose address has one that started later. Returns their records, as removed
        ones, by endpoint."""
        latest_ms: dict[Address, float] = {}
        for endpoint_id, started_ms in self.started_ms.items():
            address = self.addresses[endpoint_id]
            latest_ms[address] = max(started_ms, latest_ms.get(address, 0.0))
        replaced = {}
        for endpoint_id, address in list(self.addresses.items()):
            if self.started_ms.get(endpoint_id, 0.0) < latest_ms.get(address, 0.0):
                replaced[endpoint_id] = self._remove(endpoint_id)
                self.logger.info("endpoint replaced", endpoint=endpoint_id, address=address)
        return replaced

    def _remove(self, endpoint_id: str) -> EndpointRecord:
        del self.addresses[endpoint_id]
        del self.listed[endpoint_id]
        self.started_ms.pop(endpoint_id, None)
        record = replace(self.records[endpoint_id], status=EndpointStatus.REMOVED)
        self.records[endpoint_id] = record
        return record

    def _read(self, members: Sequence[EndpointMember]) -> list[ReadMember]:
        """Returns the members that can be read; logs and skips the others."""
        found = []
        for member in members:
            try:
                record = self.parse_member(member)
                # An endpoint that leaves needs no address: a drain applies even if the address is unreadable.
                active = record.status is EndpointStatus.ACTIVE
                address = parse_address(member["host_port"]) if active else NO_ADDRESS
                names = ListedNames(member.get("flavor"), member.get("locality"))
                found.append(ReadMember(record, address, names))
            except (KeyError, TypeError, ValueError) as error:
                self._log_unreadable(member, error)
        return found

    def _log_unreadable(self, member: EndpointMember, error: Exception) -> None:
        self.logger.error("endpoint record not read", line=str(member), error=repr(error))

    def _update_served_destinations(self) -> None:
        """Keeps a destination without endpoints for `forget_destination_s`.

        The successor of an endpoint may be listed only after the endpoint has left."""
        now = monotonic()
        kept = {
            destination: listed_at
            for destination, listed_at in self.served_destinations.items()
            if now - listed_at < self.pool.limits.forget_destination_s
        }
        self.served_destinations = kept | dict.fromkeys(self.listed.values(), now)

    def parse_member(self, member: EndpointMember) -> EndpointRecord:
        """Converts a member to a record. Raises KeyError, TypeError or ValueError if it cannot be read."""
        endpoint_id = member["id"]
        if not isinstance(endpoint_id, str):
            reason = f"endpoint id is not a string: {endpoint_id!r:.60}"
            raise TypeError(reason)
        return EndpointRecord(
            endpoint_id=endpoint_id,
            destination=int(member["cell"]),
            kind=self._kind_of(member.get("flavor")),
            zone=self._zone_of(member.get("locality")),
            status=wire_names.ENDPOINT_STATUSES[member["phase"]],
            listed_rate=max(0.0, float(member.get("size") or 0)),
        )

    def _kind_of(self, name: object) -> int:
        """Returns the number of a kind: its index in the settings; one that they do not name counts as the
        first."""
        return self.kinds.index(name) if isinstance(name, str) and name in self.kinds else 0

    def _zone_of(self, name: object) -> int:
        """Returns the number of a zone: its index in the settings; an endpoint without a zone is in the first
        one. A zone that the settings do not name has a number of its own, and no cost."""
        if not isinstance(name, str):
            return 0
        return self.zones.index(name) if name in self.zones else FIRST_UNNAMED_ZONE + crc32(name.encode())
