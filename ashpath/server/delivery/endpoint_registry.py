"""Knows where endpoints are, and turns members of the endpoint list into records of the policy's interface.

Discovery hands in members as they came (JSON); what a listing changed comes back as a `MembershipChange`,
which `EndpointMembership` passes on to the policy.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from time import monotonic
from typing import Any

from msgspec import Struct

from ashpath.core.interface import EndpointRecord, EndpointStatus
from ashpath.server import wire_names
from ashpath.server.addresses import Address, parse_address
from ashpath.server.delivery.connection_pool import ConnectionPool
from ashpath.server.logs import Logger

EndpointMember = Mapping[str, Any]
"""One member of the endpoint list, as the JSON of the directory or of a configuration has it."""

NO_ADDRESS: Address = ("", 0)


class MembershipChange(Struct, frozen=True):
    """What a listing changed."""

    records: list[EndpointRecord]
    """Members that could be read, in the order of the listing."""
    complete: bool
    """They take the place of all that was listed before."""
    unreadable: int
    """Members that could not be read, each logged."""


class EndpointRegistry:
    """The endpoints as last listed. `kinds` and `zones` are the names of the settings, in their order."""

    def __init__(self, kinds: list[str], zones: list[str], pool: ConnectionPool, logger: Logger) -> None:
        self.kinds = kinds
        self.zones = zones
        self.pool = pool
        self.logger = logger
        self.addresses: dict[str, Address] = {}
        """Of listed endpoints: one leaves as it drains, is removed, or a whole list lacks it."""
        self.listed: dict[str, int] = {}
        """The destination of each of them."""
        self.served_destinations: dict[int, float] = {}
        """When each destination last had a listed endpoint, in seconds of the monotonic clock."""
        self.records: dict[str, EndpointRecord] = {}
        """Every endpoint as last listed, of any status."""

    def configure(self, kinds: list[str], zones: list[str]) -> None:
        """New names, for listings from now on."""
        self.kinds = kinds
        self.zones = zones

    def serves(self, destination: int) -> bool:
        """Whether the destination has a listed endpoint, or had one a short while ago."""
        return destination in self.served_destinations

    def apply_members(self, members: Sequence[EndpointMember], *, complete: bool) -> MembershipChange:
        """Takes a listing: the whole one, or changes. Idle connections to addresses that are gone close."""
        read = self._read(members)
        addresses_before = dict(self.addresses)
        if complete:
            self.addresses = {}
            self.listed = {}
            self.records = {}
        for record, address in read:
            self.records[record.endpoint_id] = record
            self.addresses.pop(record.endpoint_id, None)
            self.listed.pop(record.endpoint_id, None)
            if record.status is EndpointStatus.ACTIVE:
                self.addresses[record.endpoint_id] = address
                self.listed[record.endpoint_id] = record.destination
        self._update_served_destinations()
        for endpoint_id, address in addresses_before.items():
            if self.addresses.get(endpoint_id) != address:
                self.pool.close_idle(endpoint_id)
        records = [record for record, _ in read]
        return MembershipChange(records, complete, unreadable=len(members) - len(records))

    def _read(self, members: Sequence[EndpointMember]) -> list[tuple[EndpointRecord, Address]]:
        """The members that can be read: a bad one must not hide the others."""
        found = []
        for member in members:
            try:
                record = self.parse_member(member)
                # Of one that leaves the address is no matter: a drain counts however its member is spoilt.
                active = record.status is EndpointStatus.ACTIVE
                address = parse_address(member["host_port"]) if active else NO_ADDRESS
                found.append((record, address))
            except (KeyError, TypeError, ValueError) as error:
                self._log_unreadable(member, error)
        return found

    def _log_unreadable(self, member: EndpointMember, error: Exception) -> None:
        self.logger.error("endpoint record not read", line=str(member), error=repr(error))

    def _update_served_destinations(self) -> None:
        """A destination is kept for some time, as an endpoint's successor may be listed only after it."""
        now = monotonic()
        kept = {
            destination: listed_at
            for destination, listed_at in self.served_destinations.items()
            if now - listed_at < self.pool.limits.forget_destination_s
        }
        self.served_destinations = kept | dict.fromkeys(self.listed.values(), now)

    def parse_member(self, member: EndpointMember) -> EndpointRecord:
        """Raises KeyError, TypeError or ValueError where it cannot be read."""
        endpoint_id = member["id"]
        if not isinstance(endpoint_id, str):
            reason = f"an id that is no text: {endpoint_id!r:.60}"
            raise TypeError(reason)
        return EndpointRecord(
            endpoint_id=endpoint_id,
            destination=int(member["cell"]),
            kind=self._index_or_first(self.kinds, member.get("flavor")),
            zone=self._index_or_first(self.zones, member.get("locality")),
            status=wire_names.ENDPOINT_STATUSES[member["phase"]],
            listed_rate=max(0.0, float(member.get("size") or 0)),
        )

    @staticmethod
    def _index_or_first(known: Sequence[object], name: object) -> int:
        """Lists and settings name kinds and zones alike; a name not in the settings counts as the first."""
        return known.index(name) if name in known else 0
