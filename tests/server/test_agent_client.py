"""One kept connection to the platform's agent."""

from __future__ import annotations

import gevent
from support.world import LIMITS, World

from ashpath.server.agent_client import AgentConnection


def test_silence(world: World) -> None:
    """A platform that says nothing is given up, and asked anew on another connection."""
    line, ask = AgentConnection(world.servers[1].address, LIMITS), b"GET /registry/instances HTTP/1.1"
    world.servers[1].set_handle(lambda *_: gevent.sleep(9))
    assert line.call(ask, b"", 0.05) is None and line.connection is None
    world.servers[1].set_handle(world.platform)
    answer = line.call(ask, b"", 9)
    assert answer is not None and answer.status == 200 and line.connection is not None
    line.close()
    chunked = b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    world.servers[1].set_handle(lambda sock, _: sock.sendall(chunked))
    answer = line.call(ask, b"", 9)
    assert answer is not None and answer.body == b"abc" and line.connection is not None  # it is kept
    line.close()
