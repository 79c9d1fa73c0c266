"""What Prometheus reads of a sender: counts, gauges, readers that say nothing, and an address that moves."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from time import monotonic
from typing import Any

import gevent
import pytest
from gevent import socket
from prometheus_client.parser import text_string_to_metric_families
from rigs.standalone import Alone
from rigs.world import LIMITS, SETTINGS, World, free, until
from test_switch import reread

from ashpath.node import metrics
from ashpath.node.codec import dial, host, write_head

Where = tuple[str, int]


def told(where: Where) -> dict[str, str]:
    return {"listen": f"{where[0]}:{where[1]}"}


def scrape(where: Where) -> dict[tuple[str, ...], float]:
    """Each sample by its name and the values of its labels, in the order of their names."""
    wire = dial(where, LIMITS)
    wire.write(write_head(b"GET /metrics HTTP/1.1", [host(where), (b"Connection", b"close")], b""))
    answer = wire.read_answer()
    text = wire.finish_answer().body.decode()
    wire.close()
    assert answer.status == 200
    families = text_string_to_metric_families(text)
    return {(one.name, *one.labels.values()): one.value for family in families for one in family.samples}


def started(world: World, where: Where) -> None:
    world.config["metrics"] = told(where)
    world.configure()
    world.start()


def test_counts_and_gauges(world: World) -> None:
    where = free()
    world.members[6]["host_port"] = "127.0.0.1:1"
    started(world, where)
    free_ones = ("a", "free", "200", 0), ("b", "free", "500 200", 1), ("e", "free", "200", 6)
    for trace, track, body, to in (*free_ones, ("c", "once", "500", 2), ("d", "tag", "hang 200", 3)):
        assert world.hand_in(trace, track, body, to) == 202
    assert world.hand_in("f", "free", "200", 6, left=300) == 202
    until(lambda: world.told("c") and world.told("f") and world.count("b") == 2)
    until(lambda: scrape(where).get(("ashpath_envelopes_ended_total", "completed", "free")) == 2)
    found: Any = scrape(where)
    assert found["ashpath_envelopes_taken_total", "free"] == 4
    assert found["ashpath_envelopes_ended_total", "undeliverable", "once"] == 1
    assert found["ashpath_envelopes_ended_total", "deferred", "free"] == 1
    assert found["ashpath_shots_total", "completed"] == 2 == found["ashpath_shot_seconds_count", "completed"]
    assert found["ashpath_shots_total", "error"] == 2 and found["ashpath_shots_total", "no connection"] >= 1
    assert found["ashpath_envelopes_held",] == 2 and found["ashpath_shots_out",] == 1
    assert found["ashpath_slots",] == SETTINGS["specifics"]["slots"]
    assert 0 < found["ashpath_ledger_bytes",] < found["ashpath_ledger_most_bytes",]
    assert found["ashpath_list_age_seconds",] < 10
    assert found["ashpath_destination_held", "6"] == 1 == found["ashpath_destination_in_flight", "3", ""]
    assert found["ashpath_destination_breaker", "6", ""] in (1, 2)
    assert found["ashpath_destination_limit", "6", ""] == 0 < found["ashpath_destination_limit", "0", ""]


def test_an_address_that_moves(world: World) -> None:
    """To one that is in use: one line, and the old one serves on. To none and back: counting goes on."""
    first, second, taken = free(), free(), socket.socket()
    taken.bind(("127.0.0.1", 0))
    taken.listen(1)
    started(world, first)
    assert world.hand_in("a", "free", "200", 0) == 202
    until(lambda: scrape(first).get(("ashpath_envelopes_ended_total", "completed", "free")) == 1)
    reread(world, "metrics not moved", metrics=told(taken.getsockname()))
    assert scrape(first)["ashpath_envelopes_taken_total", "free"] == 1
    reread(world, "configuration not read", metrics={"listen": "nowhere"})
    reread(world, "configuration read", metrics=told(second))
    until(lambda: scrape(second)["ashpath_envelopes_taken_total", "free"] == 1)
    with pytest.raises(OSError):
        scrape(first)
    reread(world, "configuration read", metrics=None)
    with pytest.raises(OSError):
        scrape(second)
    reread(world, "configuration read", metrics=told(first))
    assert world.hand_in("b", "free", "200", 0) == 202
    until(lambda: scrape(first)["ashpath_envelopes_taken_total", "free"] == 2)
    assert world.process is not None and world.process.poll() is None


def test_the_own_file(tmp_path: Path) -> None:
    """Taken at SIGHUP, both ways; an address in use at the start is one line that names file and key."""
    alone, where = Alone(tmp_path), free()
    alone.start()
    alone.rest += f'[metrics]\nlisten = "127.0.0.1:{where[1]}"\n'
    alone.write()
    assert "metrics.listen" in alone.reread()
    assert alone.hand_in("a", "free", "200", 0) == 202
    until(lambda: scrape(where).get(("ashpath_envelopes_ended_total", "completed", "free")) == 1)
    (tmp_path / "second").mkdir()
    second = Alone(tmp_path / "second", rest=alone.rest)
    done = second.run("serve", str(second.file))
    said = f"ashpath: {second.file}: metrics.listen: 127.0.0.1:{where[1]}: Address already in use\n"
    assert (done.returncode, done.stderr) == (2, said)
    alone.rest = alone.rest.partition("[metrics]")[0]
    alone.write()
    alone.reread()
    with pytest.raises(OSError):
        scrape(where)
    alone.stop()
    second.stop()


def test_readers_that_say_nothing(world: World) -> None:
    """Guards turns, and other readers, against those that connect and stay, or do not read."""
    where = free()
    started(world, where)
    silent = [socket.create_connection(where) for _ in range(metrics.READERS + 2)]
    silent[0].sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
    began = monotonic()
    for n in range(20):
        assert world.hand_in(f"a{n}", "free", "200", 0) == 202
    assert monotonic() - began < 1.0
    with gevent.Timeout(3 * metrics.PATIENCE + 2):
        assert scrape(where)["ashpath_envelopes_taken_total", "free"] == 20
    for sock in silent:
        sock.close()


@pytest.mark.parametrize(
    ("value", "words"),
    [
        ("taken", "127.0.0.1:PORT: Address already in use"),
        ({"listen": "nowhere"}, "found {'listen': 'nowhere'}, expected an address with a port"),
        ("far", "found 'far', expected an address with a port"),
        ({"port": 9}, "found {'port': 9}, expected an address with a port"),
    ],
)
def test_bad_addresses_are_one_line_and_exit_2(world: World, value: Any, words: str) -> None:
    taken = socket.socket()
    taken.bind(("127.0.0.1", 0))
    taken.listen(1)
    port = taken.getsockname()[1]
    world.config["metrics"] = told(("127.0.0.1", port)) if value == "taken" else value
    world.configure()
    run = [sys.executable, "-m", "ashpath"]
    done = subprocess.run(run, env=world.environment(), capture_output=True, timeout=60)
    words = f"metrics.listen: {words.replace('PORT', str(port))}"
    said = f"ashpath: cannot start from {world.folder}/config.json: {words}"
    assert done.returncode == 2 and done.stderr.decode().splitlines() == [said]


def test_not_imported_where_nobody_reads() -> None:
    words = "import sys, ashpath.node.start; print({'prometheus_client', 'gevent.pywsgi'} & {*sys.modules})"
    done = subprocess.run([sys.executable, "-c", words], capture_output=True, timeout=60)
    assert done.stdout == b"set()\n"
