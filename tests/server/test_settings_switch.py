"""Switches of settings in a running sender, and the delivery of its live messages across them."""

from __future__ import annotations

import signal
import sys
from functools import partial
from itertools import product

import pytest
from gevent import subprocess
from support.sender_harness import SETTINGS, SenderHarness, wait_until
from support.server import live_messages, reload_configuration

from ashpath.server.storage.traffic_class_ids import TrafficClassIds

# The settings to switch to: other traffic classes, kinds and zones, zone costs, listed rates, gossip, and no
# load reports.
CLASS_SETTINGS = {"deadline": 20000.0, "slo": 1000.0, "importance": 3.0, "window": 12000.0}
LIMITS = {**SETTINGS["limits"], "max-open": 90, "may-tell": True}
SWITCHED = {
    **SETTINGS,
    "limits": LIMITS,
    "group-size": 3,
    "rank": 1,
    "classes": [
        {"name": "label", "repeat": "dedup", "group": "all", **CLASS_SETTINGS},
        {"name": "once", "repeat": "fragile", **CLASS_SETTINGS},
    ],
    "kinds": ["carrier", "plain"],
    "zones": ["there", "here"],
    "membership-mode": "ask",
    "load-info": {"how": "none", "fields": []},
    "weight-source": "rough",
    "specifics": {"slots": 500, "kind-apart": [True, True], "carriage": [0.01, 0.04], "loses-worth": "line"},
    "contract": {"drain-grace": 500.0, "ask-every": 10000.0, "cold-from": 0.2, "ramp-time": 9000.0},
}
# States of a message at the switch: name, body, first destination, and attempts in total.
STATES = (("queued", "200", 6, 1), ("in flight", "slow", 8, 1), ("retry", "503 200", 20, 2))


def relist_at_answering_address(harness: SenderHarness, endpoint: int) -> None:
    """Changes the address of an endpoint to a reachable one, and reloads the address of another agent."""
    harness.members[endpoint]["host_port"] = harness.members[5]["host_port"]
    reload_configuration(harness, "configuration read", discovery=address_text(harness, 2))


def address_text(harness: SenderHarness, server: int) -> str:
    """Returns the address of one of the harness's servers."""
    return f"127.0.0.1:{harness.servers[server].server_port}"


def all_attempted(harness: SenderHarness, traces: list[str]) -> bool:
    """Returns whether each message has had an attempt."""
    return all(harness.attempt_count(trace) for trace in traces)


def test_settings_switch_delivers_messages_in_every_state(harness: SenderHarness) -> None:
    """The settings are switched twice in each direction. Messages that are queued, in flight, or waiting for
    a retry at a switch have exactly the attempts that their bodies ask for."""
    harness.members[6]["host_port"] = "127.0.0.1:1"
    harness.configure()
    harness.start()
    attempts: dict[str, int] = {}
    for switch, settings in enumerate((SWITCHED, SETTINGS, SWITCHED, SETTINGS)):
        old_classes, new_class = (
            (["free", "tag", "once"], "label") if settings is SWITCHED else (["label", "once"], "free")
        )
        for number, (name, (state, body, base_destination, count)) in enumerate(product(old_classes, STATES)):
            destination = base_destination if state == "queued" else base_destination + number
            assert harness.submit(f"{switch}{state}{name}", name, body, destination) == 202
            attempts[f"{switch}{state}{name}"] = count
        in_flight = [trace for trace in attempts if "in flight" in trace]
        wait_until(partial(all_attempted, harness, in_flight))
        reload_configuration(harness, "settings applied", settings=settings)
        assert harness.submit(f"{switch}new", new_class, "200", 1) == 202
        assert harness.submit("old", old_classes[0], "200", 1) == 400
        attempts[f"{switch}new"] = 1
    assert "max_in_flight=64 " in (harness.folder / "log").read_text(), (
        "not capped at the endpoint connections"
    )
    relist_at_answering_address(harness, 6)
    wait_until(lambda: all(harness.attempt_count(trace) for trace in attempts) and not live_messages(harness))
    assert not harness.notifications
    assert {trace: harness.attempt_count(trace) for trace in attempts} == attempts


def test_traffic_class_ids_survive_a_kill_after_a_switch(harness: SenderHarness) -> None:
    """The next incarnation reads the ids that the killed one assigned. A switch whose ids cannot be
    written is not applied."""
    harness.start()
    assert harness.submit("f", "free", "hang 200", 1) == harness.submit("o", "once", "hang", 2) == 202
    wait_until(lambda: harness.attempt_count("f") and harness.attempt_count("o"))
    state = harness.folder / "state"
    (state / "track-numbers.new").mkdir()
    reload_configuration(harness, "configuration not applied", settings=SWITCHED)
    assert harness.submit("l", "label", "200", 3) == 400
    (state / "track-numbers.new").rmdir()
    reload_configuration(harness, "settings applied")
    assert harness.submit("l", "label", "hang 200", 3) == 202
    wait_until(lambda: harness.attempt_count("l"))
    harness.kill()
    assert [row["name"] for row in TrafficClassIds(state).read()] == ["free", "tag", "once", "label", "once"]
    harness.start()
    wait_until(
        lambda: harness.notified("o")
        and harness.attempt_count("f") == harness.attempt_count("l") == 2
        and not live_messages(harness)
    )
    assert harness.notified("o") == ["undeliverable"]
    assert harness.attempt_count("o") == 1
    assert len(harness.notifications) == 1
    harness.kill(signal.SIGTERM)
    harness.start()  # without live messages, ids are assigned anew
    assert TrafficClassIds(state).read() == SWITCHED["classes"]
    assert harness.submit("x", "label", "200", 3) == 202
    wait_until(lambda: harness.attempt_count("x") == 1)


NO_ADDRESS = "metrics.listen: found {}, expected an address with a port"


@pytest.mark.parametrize(
    ("key_path", "value", "problem"),
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
def test_invalid_settings_print_one_line_at_reload_and_start(
    harness: SenderHarness, key_path: str, value: object, problem: str
) -> None:
    """The line names the invalid key, and at a start also the file. After a failed reload the previous
    settings stay in force."""
    harness.start()
    table, _, key = key_path.partition(".")
    harness.config["settings"] = dict(SETTINGS)
    changed = harness.config if table == "metrics" else harness.config["settings"]
    changed[table] = {**SETTINGS[table], key: value} if key else value
    reload_configuration(harness, problem)
    assert harness.submit("a", "free", "200", 1) == 202
    harness.kill()
    run = subprocess.run([sys.executable, "-m", "ashpath"], env=harness.environment(), capture_output=True)
    line = f"ashpath: cannot start from {harness.folder}/config.json: {problem}"
    assert run.returncode == 2
    assert run.stderr.decode().splitlines() == [line]
