"""Endpoint registry: addresses, successors at the same address, served destinations."""

from __future__ import annotations

import pytest
from support.limits import connection_pool, limits_with
from support.sender_harness import SenderHarness, wait_until
from support.sender_parts import DeliverySetup
from support.server import LOG

from ashpath.core.interface import AttemptOutcome, EndpointStatus
from ashpath.server.delivery.endpoint_registry import EndpointMember, EndpointRegistry


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


def row(endpoint_id: str, destination: int, started_ms: int, port: int = 7001) -> EndpointMember:
    return {
        "id": endpoint_id,
        "cell": destination,
        "phase": "up",
        "host_port": f"127.0.0.1:{port}",
        "up_since_ms": started_ms,
    }


@pytest.mark.parametrize("complete", [False, True])
def test_process_that_started_later_at_an_address_replaces_the_earlier_one(*, complete: bool) -> None:
    """Guards against calls that reach the endpoint of another destination: the list has the successor at the
    address already, and the one that is gone still up."""
    registry = EndpointRegistry(["plain"], ["here"], connection_pool(), LOG)
    registry.apply_members([row("old", 1, 0), row("other", 3, 0, port=7002)], complete=True)
    kept = [row("old", 1, 0), row("other", 3, 0, port=7002)] if complete else []
    change = registry.apply_members([*kept, row("new", 2, 5000)], complete=complete)
    assert registry.addresses.keys() == {"other", "new"}
    statuses = {record.endpoint_id: record.status for record in change.records}
    assert statuses["old"] is EndpointStatus.REMOVED
    assert statuses["new"] is EndpointStatus.ACTIVE
    again = registry.apply_members([row("old", 1, 9000, port=7003)], complete=False)
    assert registry.addresses.keys() == {"other", "new", "old"}
    assert [record.status for record in again.records] == [EndpointStatus.ACTIVE]


def test_endpoints_that_share_an_address_and_a_start_are_all_called() -> None:
    registry = EndpointRegistry(["plain"], ["here"], connection_pool(), LOG)
    registry.apply_members([row("a", 1, 7), row("b", 2, 7)], complete=True)
    assert registry.addresses.keys() == {"a", "b"}


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


# Endpoints in two zones that the settings did not name yet counted as one zone, also once they were named: a
# message ran in both (review/6).
def test_zones_and_kinds_that_are_named_later_hold_for_listed_endpoints() -> None:
    registry = EndpointRegistry(["plain"], ["a"], connection_pool(), LOG)
    members = [
        {**row(zone, 1, 0, port), "locality": zone, "flavor": "grand" if zone == "b" else "plain"}
        for port, zone in enumerate(("a", "b", "c"), 7001)
    ]
    registry.apply_members(members, complete=True)
    unnamed = [registry.records[zone].zone for zone in "abc"]
    assert len(set(unnamed)) == 3
    assert unnamed[0] == 0
    registry.configure(["plain", "grand"], ["a", "b", "c"])
    assert [registry.records[zone].zone for zone in "abc"] == [0, 1, 2]
    assert [registry.records[zone].kind for zone in "abc"] == [0, 1, 0]
    registry.apply_members([{**members[1], "phase": "draining"}], complete=False)
    assert registry.records["b"].zone == 1


def test_endpoint_without_a_zone_is_in_the_first_one() -> None:
    registry = EndpointRegistry(["plain"], ["a", "b"], connection_pool(), LOG)
    registry.apply_members([row("x", 1, 0)], complete=True)
    assert registry.records["x"].zone == 0
