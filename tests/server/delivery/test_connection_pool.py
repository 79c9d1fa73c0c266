"""Connections to endpoints: reuse, limits, idle times."""

from __future__ import annotations

from support.stages import Outward
from support.world import LIMITS, World, abandon, request, until

from ashpath.core.interface import AttemptOutcome
from ashpath.server.delivery.connection_pool import ConnectionPool, IdleConnection, IdleLimit
from ashpath.server.http.connection import HttpConnection


def test_pool(world: World) -> None:
    """Closed, spoilt and long idle connections carry no call."""
    pool, where = ConnectionPool(LIMITS), world.servers[0].address
    good, ended, stray, old = (pool.connect(where) for _ in range(4))
    for wire in (ended, stray, good, old):
        pool.release("e1", wire)
    ended.write(b"nonsense\r\n\r\n")  # upon which the far end closes
    stray.write(request("s", "free", "200", 1))  # an answer that nobody waits for
    until(lambda: not ended.is_quiet() and not stray.is_quiet())
    assert pool.acquire_idle("e1") is good and pool.open == 2
    pool.idle["e1"][0] = IdleConnection(pool.idle["e1"][0].since - LIMITS.endpoint_idle_s, old)
    pool.release("e1", good)
    pool.sweep()
    assert [wire for _, wire in pool.idle["e1"]] == [good] and pool.open == 1
    spare = [pool.connect(where) for _ in range(LIMITS.endpoint_connections - 1)]
    assert pool.make_room() and not pool.idle  # the idle one has made room
    spare.append(pool.connect(where))
    assert not pool.make_room()
    pool.release("e1", spare[0])
    pool.close_idle("e1")
    assert not pool.idle and pool.open == LIMITS.endpoint_connections - 1


def test_dropped_in_silence(world: World) -> None:
    """A far end that resets what was idle for a while: younger ones are trusted, and from then on first."""
    outward = Outward(world)
    pool, where = outward.pool, world.servers[0].address
    old, young = (pool.connect(where) for _ in range(2))
    for wire, age in ((old, 1.0), (young, 0.2)):
        pool.release("e1", wire)
        pool.idle["e1"][-1] = IdleConnection(pool.idle["e1"][-1].since - age, wire)
    assert pool.acquire_idle("e1") is old
    pool.release("e1", old)
    world.servers[0].set_handle(lambda sock, _: (HttpConnection(sock, LIMITS).read_request(), abandon(sock)))
    outward.begin("a", b"reset")  # on the young one, the longest idle now
    until(lambda: outward.endings == [AttemptOutcome.CONNECTION_RESET])
    assert 0.1 < pool.idle_limit("e1") < 0.2 and pool.idle_limit("e2") == LIMITS.endpoint_idle_s
    last = pool.connect(where)
    pool.release("e1", last)
    assert pool.acquire_idle("e1") is last
    pool.release("e1", last)
    outward.begin("b", b"reset")  # on the last one, fresh from a call: that it was idle is no cause
    until(lambda: len(outward.endings) == 2)
    assert pool.idle_limit("e1") > 0.1
    pool.close_idle("e1")
    third = pool.connect(where)
    pool.release("e1", third)
    pool.idle["e1"][0] = IdleConnection(pool.idle["e1"][0].since - 1.0, third)
    assert pool.acquire_idle("e1") is None and third.unusable
    pool.idle_limits["e1"] = IdleLimit(longest_idle=0.5, until=0.0)
    pool.sweep()
    assert not pool.idle_limits and pool.idle_limit("e1") == LIMITS.endpoint_idle_s
