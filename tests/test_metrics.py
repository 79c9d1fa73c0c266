"""What Prometheus reads of a sender: counts, gauges, readers that say nothing, and an address that moves."""

from __future__ import annotations

from pathlib import Path
from time import monotonic
from types import SimpleNamespace
from unittest.mock import Mock

import gevent
import pytest
from gevent import socket
from prometheus_client.parser import text_string_to_metric_families
from support.standalone import Alone
from support.world import LIMITS, SETTINGS, World, free, until
from test_switch import reread

from ashpath.core.destination_state import DestinationState
from ashpath.core.snapshots import BreakerState, GateSnapshot
from ashpath.server.http.connection import open_connection
from ashpath.server.http.encoding import encode_message, host_header
from ashpath.server.metrics import MOST, PATIENCE, READERS, Metrics

Where = tuple[str, int]
COMPLETED = ("envelopes_ended_total", "completed", "free")


def scrape(where: Where) -> dict[tuple[str, ...], float]:
    """Each sample by its name and the values of its labels, in the order of their names."""
    wire = open_connection(where, LIMITS)
    wire.write(encode_message(b"GET /metrics HTTP/1.1", [host_header(where), (b"Connection", b"close")], b""))
    answer = wire.read_response()
    families = text_string_to_metric_families(wire.finish_response().body.decode())
    wire.close()
    assert answer.status == 200
    samples = (one for family in families for one in family.samples)
    return {(one.name.removeprefix("ashpath_"), *one.labels.values()): one.value for one in samples}


def moved(world: World, said: str, where: Where | None) -> None:
    """Counts begin as it listens, shortly behind the line."""
    reread(world, said, metrics=where and {"listen": f"{where[0]}:{where[1]}"})
    until(lambda: where is None or socket.socket().connect_ex(where) == 0)


def test_counts_and_gauges(world: World) -> None:
    """Guards turns, and other readers, against those that connect and stay, or do not read, too."""
    where = free()
    world.members[6]["host_port"] = "127.0.0.1:1"
    world.configure()
    world.start()
    moved(world, "configuration read", where)
    for row in ("a free 0 200", "b free 1 500 200", "c once 2 500", "d tag 3 hang", "e free 6 200"):
        trace, track, to, body = row.split(" ", 3)
        assert world.hand_in(trace, track, body, int(to)) == 202
    assert world.hand_in("f", "free", "200", 6, left=300) == 202
    until(lambda: world.told("c") and world.told("f") and scrape(where).get(COMPLETED) == 2)
    found = scrape(where)
    wanted = {
        ("envelopes_taken_total", "free"): 4,
        ("envelopes_ended_total", "undeliverable", "once"): 1,
        ("envelopes_ended_total", "deferred", "free"): 1,
        ("shots_total", "completed"): 2,
        ("shot_seconds_count", "completed"): 2,
        ("shots_total", "error"): 2,
        ("envelopes_held",): 2,
        ("shots_out",): 1,
        ("slots",): SETTINGS["specifics"]["slots"],
        ("destination_held", "6"): 1,
        ("destination_in_flight", "3", ""): 1,
        ("destination_limit", "6", ""): 0,
    }
    assert {key: found[key] for key in wanted} == wanted
    assert found["shots_total", "no connection"] >= 1 and found["list_age_seconds",] < 10
    assert 0 < found["ledger_bytes",] < found["ledger_most_bytes",]
    assert found["destination_breaker", "6", ""] in (1, 2) and found["destination_limit", "0", ""] > 0
    silent = [socket.create_connection(where) for _ in range(READERS + 2)]
    silent[0].sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
    began = monotonic()
    assert [world.hand_in(f"a{n}", "free", "200", 0) for n in range(20)] == [202] * 20
    assert monotonic() - began < 1.0
    with gevent.Timeout(3 * PATIENCE + 2):
        assert scrape(where)["envelopes_taken_total", "free"] == 24


def test_rows_are_bounded() -> None:
    """Guards the reader, and turns, against a hundred thousand destinations, or one with as many routes."""
    for many, routes in ((5000, 1), (1, 5000)):
        gate = Mock(snapshot=lambda: GateSnapshot("x1", 1, 0, BreakerState.OPEN, 0.0, 0.0, False, 0))
        one = Mock(number=7, unfinished_messages=1, endpoints=[], gates=lambda n=routes, g=gate: [g] * n)
        one.snapshot = lambda max_gates, one=one: DestinationState.snapshot(one, max_gates)
        sender = SimpleNamespace(destinations=dict.fromkeys(range(many), one))
        read = Metrics(Mock(policy_runner=SimpleNamespace(policy=sender)))
        assert {len(family.samples) for family in read.destinations()} <= {min(many, MOST), MOST}


def test_an_address_that_moves(pair: tuple[World, World]) -> None:
    """To one in use: one line, and the old one serves on. To none: nobody is answered. Counts are kept. In a
    hot upgrade the new process starts beside the one that has it, and takes it once that ends."""
    old, new = pair
    first, second, taken = free(), free(), socket.socket()
    taken.bind(("127.0.0.1", 0))
    taken.listen(1)
    moved(old, "configuration read", first)
    assert old.hand_in("a", "free", "200", 0) == 202
    until(lambda: scrape(first).get(COMPLETED) == 1)
    moved(old, "metrics address not changed", taken.getsockname())
    assert scrape(first)[COMPLETED] == 1
    for before, after in ((first, second), (second, None)):
        moved(old, "configuration read", after)
        assert after is None or scrape(after)[COMPLETED] == 1
        with pytest.raises(OSError):
            scrape(before)
    moved(old, "configuration read", first)
    assert old.hand_in("b", "free", "200", 0) == 202
    until(lambda: scrape(first)[COMPLETED] == 2)
    new.start()
    assert scrape(first)[COMPLETED] == 2 and old.kill() == -9
    until(lambda: socket.socket().connect_ex(first) == 0)
    assert COMPLETED not in scrape(first)


def test_the_own_file(tmp_path: Path) -> None:
    """Taken at SIGHUP; an address in use at the start is one line that names file and key."""
    alone, where = Alone(tmp_path), free()
    alone.start()
    alone.rest += f'[metrics]\nlisten = "127.0.0.1:{where[1]}"\n'
    alone.write()
    assert "metrics.listen" in alone.reread() and scrape(where)["slots",]
    (tmp_path / "second").mkdir()
    second = Alone(tmp_path / "second", rest=alone.rest)
    said = f"ashpath: {second.file}: metrics.listen: 127.0.0.1:{where[1]}: Address already in use\n"
    done = second.run("serve", str(second.file))
    assert (done.returncode, done.stderr) == (2, said)
    alone.stop()
