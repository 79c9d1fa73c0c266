"""`ashpath submit` with a running sender."""

from __future__ import annotations

import orjson
import pytest
from support.standalone import StandaloneSender


@pytest.mark.parametrize(
    ("body", "traffic_class", "destination", "exit_code", "state"),
    [
        ("200", "once", "1", 0, "completed"),
        ("500", "once", "2", 4, "undeliverable"),
        ("200", "free", "6", 3, "deferred"),
    ],
)
def test_wait_follows_message_to_final_outcome(
    alone: StandaloneSender,
    url: str,
    body: str,
    traffic_class: str,
    destination: str,
    exit_code: int,
    state: str,
) -> None:
    alone.destinations[6] = 'endpoints = ["127.0.0.1:1"]'
    alone.write()
    alone.start()
    path = alone.folder / "body"
    path.write_text(body)
    arguments = ["--to", destination, "--track", traffic_class, "--body", str(path), "--expires", "2s"]
    run = alone.run("submit", "--url", url, *arguments, "--wait", "--json")
    assert run.returncode == exit_code, run
    assert orjson.loads(run.stdout)["state"] == state


def test_body_is_read_from_standard_input(alone: StandaloneSender, url: str) -> None:
    alone.start()
    arguments = ["--to", "1", "--track", "tag", "--body", "-", "--id", "h"]
    run = alone.run("submit", "--url", url, *arguments, input="hang")
    assert run.returncode == 0
    assert run.stdout == "h taken on\n"
