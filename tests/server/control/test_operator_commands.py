"""Commands at the operators' address, on sockets."""

from __future__ import annotations

import signal

from gevent import socket
from support.server import READY
from support.world import World, until

CALLS = [  # on sockets: a line and the start of its answer
    (b"PING\n", b"OK\n"),
    (b"DETACH nobody\n", b"ERR unknown endpoint"),
    (b"FLY\n", b"ERR unknown call"),
    (b"PING \xff\n", b"ERR line is not ASCII"),
    (b"p" * 400, b"ERR line longer"),
]


def test_control_calls_and_lame_duck(world: World) -> None:
    world.start()
    half = socket.create_connection(world.control)
    half.sendall(b"DETA")  # half a call, and it stays: others are answered all the same
    silent = socket.create_connection(world.control)
    for line, said in CALLS:
        assert world.call(line).startswith(said)
    assert world.ask(READY) == 200
    idle = world.connect()
    assert idle is not None
    assert world.call(b"LAMEDUCK\n").startswith(b"OK")
    until(lambda: world.ask(READY) == 503)
    assert idle.receive() is False or not len(idle.buffer)  # closed by the sender, not left idle
    assert world.hand_in("l1", "free", "200", 4) == 202  # it still serves what comes
    until(lambda: world.count("l1") == 1)
    assert world.call(b"REJOIN\n").startswith(b"OK")
    until(lambda: world.ask(READY) == 200)
    crowd = [socket.create_connection(world.control) for _ in range(500)]
    crowd[0].sendall(b"PI")
    for _ in range(10):  # callers that say nothing keep nobody out: those longest silent give way
        assert world.call(b"PING\n") == b"OK\n"
        crowd += [socket.create_connection(world.control) for _ in range(20)]
    assert world.ask(READY) == 200
    for caller in crowd:
        caller.close()
    assert half.recv(100).startswith(b"ERR ")  # after its own patience, alone
    half.close()
    silent.close()


def test_a_hold_outlasts_the_listing_and_a_restart(world: World) -> None:
    world.start()
    for _ in range(2):  # two calls out need one call back
        assert world.call(b"DETACH e5\n").startswith(b"OK")
    assert world.hand_in("h1", "free", "200", 5, left=3000) == 202
    world.config["known"]["revision"] = 2  # discovery lists it up anew meanwhile
    world.kill(signal.SIGKILL)
    world.start()
    assert world.hand_in("h2", "free", "200", 5, left=30000) == 202
    until(lambda: world.told("h1") != [])
    assert world.count("h1") == 0 and world.count("h2") == 0
    assert world.call(b"ATTACH e5\n").startswith(b"OK")
    until(lambda: world.count("h2") == 1)
    assert world.call(b"ATTACH e5\n").startswith(b"OK")
