"""`ashpath held`, `destinations` and `ledger`, with one message in flight."""

from __future__ import annotations

import orjson
import pytest
from support.sender_harness import wait_until
from support.standalone import StandaloneSender


@pytest.fixture
def in_flight(alone: StandaloneSender, url: str) -> StandaloneSender:
    """A running sender that waits for the response to message `h`."""
    alone.start()
    arguments = ["--to", "1", "--track", "tag", "--body", "-", "--id", "h"]
    assert alone.run("submit", "--url", url, *arguments, input="hang").returncode == 0
    wait_until(lambda: alone.attempt_count("h"))
    return alone


def test_held_lists_message_in_flight(in_flight: StandaloneSender, url: str) -> None:
    assert orjson.loads(in_flight.run("held", url, "--json").stdout)["id"] == "h"
    table = in_flight.run("held", url).stdout.splitlines()
    assert table[0].startswith("id\tnumber\tstate")
    assert table[1].startswith("h\t")


def test_destinations_count_message_in_flight(in_flight: StandaloneSender, url: str) -> None:
    lines = in_flight.run("destinations", url, "--json").stdout.splitlines()
    rows = [orjson.loads(line) for line in lines]
    assert {row["number"]: row["out"] for row in rows}[1] == 1


def test_ledger_counts_message_of_running_sender(in_flight: StandaloneSender) -> None:
    stats = orjson.loads(in_flight.run("ledger", "stats", str(in_flight.folder / "state"), "--json").stdout)
    assert stats["live"] == 1
    assert stats["out"] == 1
    assert stats["by_track"] == {"tag": 1}


def test_ledger_shows_message_after_kill(in_flight: StandaloneSender) -> None:
    in_flight.kill()
    row = orjson.loads(in_flight.run("ledger", "show", str(in_flight.folder / "state"), "--json").stdout)
    assert row["id"] == "h"
    assert row["state"] == "out"
