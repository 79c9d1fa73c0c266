"""The stage that knows where endpoints are, and puts the directory's lines into the module's words."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic
from typing import Any

from ashpath.door import Listing, Presence
from ashpath.node import names
from ashpath.node.pool import Address, Pool


def address(text: str) -> Address:
    """Host and port.

    >>> address("10.1.0.18:7070")
    ('10.1.0.18', 7070)
    """
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or len(port) > 5 or int(port) > 65535:
        raise ValueError(f"{text!r} is no address with a port")
    return host, int(port)


class Route:
    """`addresses` has the listed endpoints: one leaves as it drains, is removed, or a whole list lacks it.
    `served` has their destinations, and when each was last seen listed: it leaves some time after that."""

    def __init__(self, kinds: list[str], zones: list[str], pool: Pool, log: Any) -> None:
        self.kinds, self.zones, self.pool, self.log = kinds, zones, pool, log
        self.addresses: dict[str, Address] = {}
        self.listed: dict[str, int] = {}  # the destination of each of them
        self.served: dict[int, float] = {}
        self.rows: dict[str, Listing] = {}  # every endpoint of the listing as last told, any presence
        self.told: Callable[[list[Listing], bool], None] = lambda rows, whole: None

    def hear(self, members: list[dict[str, Any]], whole: bool) -> bool:
        """Whether every line could be read."""
        rows = self.learn(members, whole)
        self.told(rows, whole)
        return len(rows) == len(members)

    def learn(self, members: list[dict[str, Any]], whole: bool) -> list[Listing]:
        found = []
        for member in members:
            try:
                row = self.listing(member)
                # Of one that goes the address is no matter: the drain counts however its line is spoilt.
                where = address(member["host_port"]) if row.presence is Presence.LISTED else ("", 0)
                found.append((row, where))
            except (KeyError, TypeError, ValueError) as error:  # one bad line must not hide the others
                self.log.error("line of the directory not read", line=str(member), error=repr(error))
        before = dict(self.addresses)
        if whole:
            self.addresses, self.listed, self.rows = {}, {}, {}
        for row, where in found:
            self.rows[row.endpoint] = row
            self.addresses.pop(row.endpoint, None)
            self.listed.pop(row.endpoint, None)
            if row.presence is Presence.LISTED:
                self.addresses[row.endpoint], self.listed[row.endpoint] = where, row.destination
        # Some time, as an endpoint's successor may be listed only after the endpoint has gone.
        now, still = monotonic(), dict.fromkeys(self.listed.values(), monotonic())
        self.served = {d: at for d, at in self.served.items() if now - at < self.pool.limits.forget} | still
        for endpoint, where in before.items():
            if self.addresses.get(endpoint) != where:
                self.pool.release(endpoint)
        return [row for row, _ in found]

    def serves(self, destination: int) -> bool:
        return destination in self.served

    def listing(self, member: dict[str, Any]) -> Listing:
        if not isinstance(member["id"], str):
            raise TypeError(f"an id that is no text: {member['id']!r:.60}")
        return Listing(
            endpoint=member["id"],
            destination=int(member["cell"]),
            kind=self.index(self.kinds, member.get("flavor")),
            zone=self.index(self.zones, member.get("locality")),
            presence=names.PRESENCES[member["phase"]],
            weight=max(0.0, float(member.get("size") or 0)),
        )

    @staticmethod
    def index(known: list[str], name: Any) -> int:
        """Lists and settings name kinds and zones alike; a name not in the settings counts as the first."""
        return known.index(name) if name in known else 0
