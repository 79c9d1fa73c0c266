"""Endpoint registry: addresses, successors at the same address, served destinations."""

from __future__ import annotations

from support.limits import connection_pool, limits_with
from support.sender_harness import SenderHarness, wait_until
from support.sender_parts import DeliverySetup
from support.server import LOG

from ashpath.core.interface import AttemptOutcome
from ashpath.server.delivery.endpoint_registry import EndpointRegistry


def test_successor_at_same_address_gets_no_old_connection(harness: SenderHarness) -> None:
    """Connections of a removed endpoint, idle or in use, are not reused for the endpoint that took over its
    address."""
    delivery_setup = DeliverySetup(harness)
    delivery_setup.start("a", b"200")
    slow = delivery_setup.start("b", b"slow")
    wait_until(
        lambda: delivery_setup.outcomes == [AttemptOutcome.DELIVERED]
        and slow.written
        and delivery_setup.pool.idle
    )
    old = delivery_setup.pool.idle["e1"][0][1]
    delivery_setup.registry.apply_members(
        [{**harness.members[1], "phase": "removed"}, {**harness.members[1], "id": "new"}], complete=False
    )
    assert old.unusable
    assert not delivery_setup.pool.idle
    wait_until(
        lambda: len(delivery_setup.outcomes) == 2 and not delivery_setup.pool.open
    )  # the connection that was in use closes as well
    delivery_setup.start("c", b"200", "new")
    wait_until(lambda: delivery_setup.outcomes[2:] == [AttemptOutcome.DELIVERED])
    assert list(delivery_setup.pool.idle) == ["new"]


def test_drain_applies_despite_unreadable_address(harness: SenderHarness) -> None:
    """A drain without a readable address applies, as nothing more is sent there. An endpoint that is up
    needs a readable address."""
    registry = DeliverySetup(harness).registry
    draining = {"id": "e1", "cell": 1, "phase": "draining", "host_port": None}
    assert not registry.apply_members([draining], complete=False).unreadable
    listed_again = {**draining, "phase": "up", "host_port": "127.0.0.1:70000"}
    assert "e1" not in registry.addresses
    assert registry.apply_members([listed_again], complete=False).unreadable == 1


def test_destination_without_endpoint_is_served_until_forgotten() -> None:
    """A destination stays served between the removal of an endpoint and the listing of its successor, and is
    forgotten after `forget_destination_s` without endpoints."""
    registry = EndpointRegistry(["plain"], ["here"], connection_pool(), LOG)
    row = {"id": "e1", "cell": 1, "phase": "up", "host_port": "127.0.0.1:1"}
    registry.apply_members([row], complete=True)
    registry.apply_members([], complete=True)
    assert registry.serves(1)
    assert not registry.serves(2)
    registry.pool.limits = limits_with(forget_destination_s=0.0).endpoints
    registry.apply_members([{**row, "cell": 2}], complete=True)
    assert registry.serves(2)
    assert not registry.serves(1)
