"""Gossip that a configuration enables; metrics are tested in tests/server/metrics."""

from __future__ import annotations

from gevent import socket
from support.sender_harness import SETTINGS, SenderHarness, wait_until
from support.server import reload_configuration


def bound_socket() -> socket.socket:
    """Returns a UDP socket bound to a free address."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind(("127.0.0.1", 0))
    return bound


def address_text(bound: socket.socket) -> str:
    """Returns the socket's address in the form of a configuration."""
    return f"127.0.0.1:{bound.getsockname()[1]}"


def test_gossip_starts_once_its_address_is_free(harness: SenderHarness) -> None:
    """Another socket occupies the address at the start; later a destination's recovery is published by
    gossip."""
    peer = bound_socket()
    occupying_socket = bound_socket()
    gossip = {"listen": address_text(occupying_socket), "senders": [address_text(peer)]}
    harness.members[3]["host_port"] = "127.0.0.1:1"
    limits = {**SETTINGS["limits"], "max-open": 90, "may-tell": True}
    harness.config |= {"peers": gossip, "settings": {**SETTINGS, "limits": limits}}
    harness.configure()
    harness.start()
    assert harness.submit("a", "free", "200", 3) == 202
    log = harness.folder / "log"
    wait_until(lambda: "ailing" in log.read_text() and "gossip not received" in log.read_text())
    occupying_socket.close()
    harness.members[3]["host_port"] = harness.members[5]["host_port"]
    other_agent = f"127.0.0.1:{harness.servers[2].server_port}"
    reload_configuration(harness, "configuration read", discovery=other_agent)
    peer.settimeout(15)
    assert peer.recvfrom(300)[0] == b"back 3 e3"
    assert harness.attempt_count("a") == 1
