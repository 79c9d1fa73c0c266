"""Addresses of endpoints, and successors at the same address."""

from __future__ import annotations

from support.stages import Outward
from support.world import World, until

from ashpath.core.interface import AttemptOutcome


def test_successor_at_an_address(world: World) -> None:
    """Connections of an endpoint that is gone carry no call for the one that took its address."""
    outward = Outward(world)
    outward.begin("a", b"200")
    slow = outward.begin("b", b"slow")
    until(lambda: outward.endings == [AttemptOutcome.DELIVERED] and slow.written and outward.pool.idle)
    old = outward.pool.idle["e1"][0][1]
    outward.route.apply_members(
        [{**world.members[1], "phase": "removed"}, {**world.members[1], "id": "new"}], False
    )
    assert old.unusable and not outward.pool.idle
    until(lambda: len(outward.endings) == 2 and not outward.pool.open)  # nor the one that was out
    outward.begin("c", b"200", "new")
    until(lambda: outward.endings[2:] == [AttemptOutcome.DELIVERED])
    assert list(outward.pool.idle) == ["new"]
