"""The stage that knows where endpoints are, and puts the directory's lines into the module's words."""

from __future__ import annotations

from collections.abc import Callable
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
    if not host or not port.isdigit():
        raise ValueError(f"{text!r} is no address with a port")
    return host, int(port)


class Route:
    """`addresses` has the listed endpoints: one leaves as it drains, is removed, or a whole list lacks it."""

    def __init__(self, kinds: list[str], zones: list[str], pool: Pool, log: Any) -> None:
        self.kinds, self.zones, self.pool, self.log = kinds, zones, pool, log
        self.addresses: dict[str, Address] = {}
        self.told: Callable[[list[Listing], bool], None] = lambda rows, whole: None

    def hear(self, members: list[dict[str, Any]], whole: bool) -> None:
        self.told(self.learn(members, whole), whole)

    def learn(self, members: list[dict[str, Any]], whole: bool) -> list[Listing]:
        found = []
        for member in members:
            try:
                found.append((self.listing(member), address(member["host_port"])))
            except (KeyError, TypeError, ValueError) as error:  # one bad line must not hide the others
                self.log.error("line of the directory not read", line=str(member), error=repr(error))
        before = dict(self.addresses)
        if whole:
            self.addresses = {}
        for row, where in found:
            self.addresses.pop(row.endpoint, None)
            if row.presence is Presence.LISTED:
                self.addresses[row.endpoint] = where
        for gone in set(before.values()) - set(self.addresses.values()):
            self.pool.release(gone)
        return [row for row, _ in found]

    def listing(self, member: dict[str, Any]) -> Listing:
        return Listing(
            endpoint=member["id"],
            destination=int(member["cell"]),
            kind=self.index(self.kinds, member.get("flavor")),
            zone=self.index(self.zones, member.get("locality")),
            presence=names.PRESENCES[member["phase"]],
        )

    @staticmethod
    def index(known: list[str], name: Any) -> int:
        """Lists and settings name kinds and zones alike; a name not in the settings counts as the first."""
        return known.index(name) if name in known else 0
