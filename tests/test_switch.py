"""New settings in a sender that runs, between stand-ins: both ways, over a kill; notes between senders."""

from __future__ import annotations

import signal
import sys
from itertools import product

import pytest
from gevent import socket, subprocess
from support.server import live
from support.world import SETTINGS, World, until

from ashpath.server.storage.traffic_class_ids import TrafficClassIds

# A platform that is moved to: other tracks, routes apart with fees, rates listed, notes, no reports.
TRACK = {"deadline": 20000.0, "slo": 1000.0, "importance": 3.0, "window": 12000.0}
LIMITS = {**SETTINGS["limits"], "max-open": 90, "may-tell": True}  # type: ignore[dict-item]
MOVED = {
    **SETTINGS,
    "limits": LIMITS,
    "group-size": 3,
    "rank": 1,
    "classes": [
        {"name": "label", "repeat": "dedup", "group": "all", **TRACK},
        {"name": "once", "repeat": "fragile", **TRACK},
    ],
    "kinds": ["carrier", "plain"],
    "zones": ["there", "here"],
    "membership-mode": "ask",
    "load-info": {"how": "none", "fields": []},
    "weight-source": "rough",
    "specifics": {"slots": 500, "kind-apart": [True, True], "carriage": [0.01, 0.04], "loses-worth": "line"},
    "contract": {"drain-grace": 500.0, "ask-every": 10000.0, "cold-from": 0.2, "ramp-time": 9000.0},
}
STATES = ("held", "200", 6, 1), ("out", "slow", 8, 1), ("again", "503 200", 20, 2)  # body, to whom, calls


def reread(world: World, said: str, **more: object) -> None:
    """One SIGHUP; returns as the log has said so once more."""
    log, before = world.folder / "log", (world.folder / "log").read_text().count(said)
    world.config |= more
    world.configure()
    world.process.send_signal(signal.SIGHUP)
    until(lambda: log.read_text().count(said) > before)


def listed_anew(world: World, endpoint: int) -> None:  # it was nowhere, and is there, as another agent tells
    world.members[endpoint]["host_port"] = world.members[5]["host_port"]
    reread(world, "configuration read", discovery=f"127.0.0.1:{world.servers[2].server_port}")


def test_both_ways_with_envelopes_in_every_state(world: World) -> None:
    """Held, out, and coming again, twice each way: each is delivered, and as often as it may be."""
    world.members[6]["host_port"] = "127.0.0.1:1"
    world.configure()
    world.start()
    calls = {}
    for way, settings in enumerate((MOVED, SETTINGS, MOVED, SETTINGS)):
        before, new = ("free tag once", "label") if settings is MOVED else ("label once", "free")
        for n, (track, (state, body, to, count)) in enumerate(product(before.split(), STATES)):
            assert world.submit(f"{way}{state}{track}", track, body, to + n * (state != "held")) == 202
            calls[f"{way}{state}{track}"] = count
        until(lambda out=[name for name in calls if "out" in name]: all(map(world.attempt_count, out)))
        reread(world, "settings applied", settings=settings)
        assert world.submit(f"{way}new", new, "200", 1) == 202
        assert world.submit("old", before.split()[0], "200", 1) == 400
        calls[f"{way}new"] = 1
    assert "max_in_flight=64 " in (world.folder / "log").read_text(), "as many as there are connections"
    listed_anew(world, 6)
    until(lambda: all(world.attempt_count(name) for name in calls) and not live(world))
    assert not world.notifications and {name: world.attempt_count(name) for name in calls} == calls


def test_a_kill_behind_a_switch(world: World) -> None:
    """The next life reads numbers of tracks as the switched one gave them; unwritten, nothing is switched."""
    world.start()
    assert world.submit("f", "free", "hang 200", 1) == world.submit("o", "once", "hang", 2) == 202
    until(lambda: world.attempt_count("f") and world.attempt_count("o"))
    state = world.folder / "state"
    (state / "track-numbers.new").mkdir()
    reread(world, "configuration not applied", settings=MOVED)
    assert world.submit("l", "label", "200", 3) == 400
    (state / "track-numbers.new").rmdir()
    reread(world, "settings applied")
    assert world.submit("l", "label", "hang 200", 3) == 202
    until(lambda: world.attempt_count("l"))
    world.kill()
    assert [row["name"] for row in TrafficClassIds(state).read()] == ["free", "tag", "once", "label", "once"]
    world.start()
    until(
        lambda: world.notified("o")
        and world.attempt_count("f") == world.attempt_count("l") == 2
        and not live(world)
    )
    assert (
        world.notified("o") == ["undeliverable"]
        and world.attempt_count("o") == 1
        and len(world.notifications) == 1
    )
    world.kill(signal.SIGTERM)
    world.start()  # nothing held: numbers begin anew
    assert not TrafficClassIds(state).read() and world.submit("x", "label", "200", 3) == 202
    until(lambda: world.attempt_count("x") == 1)


def test_the_file_says_who_else_hears(world: World) -> None:
    """What a sender learns of a return it tells, once it has the address that another had at its start."""
    other, taken = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    for one in (other, taken):
        one.bind(("127.0.0.1", 0))
    own, port = (f"127.0.0.1:{one.getsockname()[1]}" for one in (taken, other))
    world.members[3]["host_port"] = "127.0.0.1:1"
    world.config |= {"peers": {"listen": own, "senders": [port]}, "settings": {**SETTINGS, "limits": LIMITS}}
    world.configure()
    world.start()
    assert world.submit("a", "free", "200", 3) == 202
    until(
        lambda: all(said in (world.folder / "log").read_text() for said in ("ailing", "gossip not received"))
    )
    taken.close()
    listed_anew(world, 3)
    other.settimeout(15)
    assert other.recvfrom(300)[0] == b"back 3 e3" and world.attempt_count("a") == 1


NO_ADDRESS = "metrics.listen: found {}, expected an address with a port"


@pytest.mark.parametrize(
    ("place", "value", "words"),
    [
        ("metrics", {"listen": "nowhere"}, NO_ADDRESS.format({"listen": "nowhere"})),
        ("metrics", "far", NO_ADDRESS.format("'far'")),
        ("metrics", {"port": 9}, NO_ADDRESS.format({"port": 9})),
        ("limits.max-open", "many", "settings.limits.max-open: expected `int | float | null`, got `str`"),
        ("specifics.kind-apart", [7], "settings.specifics.kind-apart[0]: expected `bool | null`, got `int`"),
        ("contract", [], "settings.contract: expected `object | null`, got `array`"),
        ("classes", [{"deadline": 9}], "settings.classes[0]: object missing required field `repeat`"),
        ("classes", [{"deadline": 9, "repeat": "x"}], "settings.classes[0].repeat: invalid enum value 'x'"),
    ],
)
def test_settings_that_cannot_be_used(world: World, place: str, value: object, words: str) -> None:
    """At the start one line that names file and key; at SIGHUP one line, and the old ones serve on."""
    world.start()
    table, _, key = place.partition(".")
    world.config["settings"] = dict(SETTINGS)
    told = world.config if table == "metrics" else world.config["settings"]
    told[table] = {**SETTINGS[table], key: value} if key else value
    reread(world, words)
    assert world.submit("a", "free", "200", 1) == 202
    world.kill()
    run = subprocess.run([sys.executable, "-m", "ashpath"], env=world.environment(), capture_output=True)
    said = f"ashpath: cannot start from {world.folder}/config.json: {words}"
    assert run.returncode == 2 and run.stderr.decode().splitlines() == [said]
