"""A network that is down here, or a place that cannot be reached."""

from __future__ import annotations

import pytest

from ashpath.server.delivery import unreachable_networks
from ashpath.server.delivery.unreachable_networks import UnreachableNetworks

HERE, THERE = ("10.0.0.1", 80), ("10.0.0.2", 80)


def test_no_route_is_a_local_fault_until_another_dial_comes_up() -> None:
    networks = UnreachableNetworks()
    assert networks.is_local(THERE)
    assert networks.is_local(THERE)
    networks.dial_came_up(HERE)
    assert not networks.is_local(THERE)
    networks.dial_came_up(THERE)
    assert networks.is_local(THERE)


def test_the_table_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(unreachable_networks, "MAX_ADDRESSES", 2)
    networks = UnreachableNetworks()
    assert all(networks.is_local(("10.0.0.1", port)) for port in range(9))
    assert len(networks._first_seen) <= 2  # noqa: SLF001 - its size is what is tested
