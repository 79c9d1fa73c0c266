"""Gossip that a configuration enables; metrics are tested in tests/server/metrics."""

from __future__ import annotations

from gevent import socket
from support.server import reload_configuration
from support.world import SETTINGS, World, wait_until


def bound_socket() -> socket.socket:
    """Returns a UDP socket bound to a free address."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind(("127.0.0.1", 0))
    return bound


def address_text(bound: socket.socket) -> str:
    """Returns the socket's address in the form of a configuration."""
    return f"127.0.0.1:{bound.getsockname()[1]}"


def test_gossip_starts_once_its_address_is_free(world: World) -> None:
    """Another socket occupies the address at the start; later a destination's recovery is published by
    gossip."""
    peer = bound_socket()
    occupying_socket = bound_socket()
    gossip = {"listen": address_text(occupying_socket), "senders": [address_text(peer)]}
    world.members[3]["host_port"] = "127.0.0.1:1"
    limits = {**SETTINGS["limits"], "max-open": 90, "may-tell": True}
    world.config |= {"peers": gossip, "settings": {**SETTINGS, "limits": limits}}
    world.configure()
    world.start()
    assert world.submit("a", "free", "200", 3) == 202
    log = world.folder / "log"
    wait_until(lambda: "ailing" in log.read_text() and "gossip not received" in log.read_text())
    occupying_socket.close()
    world.members[3]["host_port"] = world.members[5]["host_port"]
    other_agent = f"127.0.0.1:{world.servers[2].server_port}"
    reload_configuration(world, "configuration read", discovery=other_agent)
    peer.settimeout(15)
    assert peer.recvfrom(300)[0] == b"back 3 e3"
    assert world.attempt_count("a") == 1
