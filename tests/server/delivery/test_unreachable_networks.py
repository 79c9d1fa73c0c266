"""Distinction between an outage of the local network and an unreachable address."""

from __future__ import annotations

import pytest

from ashpath.server.delivery import unreachable_networks
from ashpath.server.delivery.unreachable_networks import UnreachableNetworks

REACHABLE, UNROUTED = ("10.0.0.1", 80), ("10.0.0.2", 80)


def test_no_route_is_local_until_another_connection_succeeds() -> None:
    networks = UnreachableNetworks()
    assert networks.is_local_outage(UNROUTED)
    assert networks.is_local_outage(UNROUTED)
    networks.connection_established(REACHABLE)
    assert not networks.is_local_outage(UNROUTED)
    networks.connection_established(UNROUTED)
    assert networks.is_local_outage(UNROUTED)


def test_table_of_unreachable_addresses_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(unreachable_networks, "MAX_ADDRESSES", 2)
    networks = UnreachableNetworks()
    assert all(networks.is_local_outage(("10.0.0.1", port)) for port in range(9))
    assert len(networks._first_failures) <= 2  # noqa: SLF001 - its size is what is tested
