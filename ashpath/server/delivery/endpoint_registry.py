"""The stage that knows where endpoints are, and puts the directory's lines into the module's words."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic
from typing import Any

from ashpath.core.interface import EndpointRecord, EndpointStatus
from ashpath.server import wire_names
from ashpath.server.delivery.connection_pool import Address, ConnectionPool


def parse_address(text: str) -> Address:
    """Host and port.

    >>> parse_address("10.1.0.18:7070")
    ('10.1.0.18', 7070)
    """
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or len(port) > 5 or int(port) > 65535:
        raise ValueError(f"{text!r} is no address with a port")
    return host, int(port)


class EndpointRegistry:
    """`addresses` has the listed endpoints: one leaves as it drains, is removed, or a whole list lacks it.
    `served` has their destinations, and when each was last seen listed: it leaves some time after that."""

    def __init__(self, kinds: list[str], zones: list[str], pool: ConnectionPool, log: Any) -> None:
        self.kinds, self.zones, self.pool, self.log = kinds, zones, pool, log
        self.addresses: dict[str, Address] = {}
        self.listed: dict[str, int] = {}  # the destination of each of them
        self.served_destinations: dict[int, float] = {}
        self.records: dict[
            str, EndpointRecord
        ] = {}  # every endpoint of the listing as last told, any presence
        self.on_update: Callable[[list[EndpointRecord], bool], None] = lambda rows, whole: None

    def receive_members(self, members: list[dict[str, Any]], whole: bool) -> bool:
        """Whether every line could be read."""
        rows = self.apply_members(members, whole)
        self.on_update(rows, whole)
        return len(rows) == len(members)

    def apply_members(self, members: list[dict[str, Any]], whole: bool) -> list[EndpointRecord]:
        found = []
        for member in members:
            try:
                row = self.parse_member(member)
                # Of one that goes the address is no matter: the drain counts however its line is spoilt.
                where = parse_address(member["host_port"]) if row.status is EndpointStatus.ACTIVE else ("", 0)
                found.append((row, where))
            except (KeyError, TypeError, ValueError) as error:  # one bad line must not hide the others
                self.log.error("endpoint record not read", line=str(member), error=repr(error))
        before = dict(self.addresses)
        if whole:
            self.addresses, self.listed, self.records = {}, {}, {}
        for row, where in found:
            self.records[row.endpoint_id] = row
            self.addresses.pop(row.endpoint_id, None)
            self.listed.pop(row.endpoint_id, None)
            if row.status is EndpointStatus.ACTIVE:
                self.addresses[row.endpoint_id], self.listed[row.endpoint_id] = where, row.destination
        # Some time, as an endpoint's successor may be listed only after the endpoint has gone.
        now, still = monotonic(), dict.fromkeys(self.listed.values(), monotonic())
        self.served_destinations = {
            d: at
            for d, at in self.served_destinations.items()
            if now - at < self.pool.limits.forget_destination_s
        } | still
        for endpoint, where in before.items():
            if self.addresses.get(endpoint) != where:
                self.pool.close_idle(endpoint)
        return [row for row, _ in found]

    def serves(self, destination: int) -> bool:
        return destination in self.served_destinations

    def parse_member(self, member: dict[str, Any]) -> EndpointRecord:
        if not isinstance(member["id"], str):
            raise TypeError(f"an id that is no text: {member['id']!r:.60}")
        return EndpointRecord(
            endpoint_id=member["id"],
            destination=int(member["cell"]),
            kind=self.index(self.kinds, member.get("flavor")),
            zone=self.index(self.zones, member.get("locality")),
            status=wire_names.ENDPOINT_STATUSES[member["phase"]],
            listed_rate=max(0.0, float(member.get("size") or 0)),
        )

    @staticmethod
    def index(known: list[str], name: Any) -> int:
        """Lists and settings name kinds and zones alike; a name not in the settings counts as the first."""
        return known.index(name) if name in known else 0
