"""Failing starts under the platform's agent: an invalid environment or configuration file."""

from __future__ import annotations

import sys

import pytest
from gevent import subprocess
from support.sender_harness import SenderHarness


def test_failed_start_prints_one_line(harness: SenderHarness) -> None:
    variables = [
        ("RELAY_STATE", ""),
        ("RELAY_CONFIG", ""),
        ("RELAY_CONFIG", "/nowhere"),
        ("RELAY_LISTEN", "x"),
    ]
    for name, value in [*variables, ("", "{"), ("", "[]"), ("", '{"seed": "x"}')]:
        environment = harness.environment()
        environment.pop(name, None)
        if name and value:
            environment[name] = value
        elif value:
            (harness.folder / "config.json").write_text(value)
        run = subprocess.run([sys.executable, "-m", "ashpath"], env=environment, capture_output=True)
        errors = run.stderr.decode()
        assert run.returncode != 0, errors
        assert len(errors.splitlines()) == 1, errors
        assert errors.startswith("ashpath: "), errors


@pytest.mark.parametrize(
    ("name", "value", "problem"),
    [
        ("RELAY_ACCEPT_FD", "seven", "RELAY_ACCEPT_FD is no open socket: 'seven'"),
        ("RELAY_ACCEPT_FD", "250", "RELAY_ACCEPT_FD is no open socket: '250'"),  # not open
        ("RELAY_CONTROL", "nowhere", "RELAY_CONTROL: 'nowhere' is no address with a port"),
    ],
)
def test_invalid_variable_prints_one_line_and_exits_with_2(
    harness: SenderHarness, name: str, value: str, problem: str
) -> None:
    environment = {**harness.environment(), name: value}
    completed = subprocess.run(
        [sys.executable, "-m", "ashpath"], env=environment, capture_output=True, timeout=60
    )
    assert completed.returncode == 2
    assert completed.stderr.decode().splitlines() == [f"ashpath: {problem}"]


def test_invalid_address_keeps_its_error_line(harness: SenderHarness) -> None:
    """Operators match this line; it names no exception type that this program defines."""
    config = harness.folder / "config.json"
    line = f"ashpath: cannot start from {config}: ValueError 'x' is no address with a port"
    for name in ("RELAY_LISTEN", "RELAY_DISCOVERY"):
        environment = {**harness.environment(), name: "x"}
        completed = subprocess.run(
            [sys.executable, "-m", "ashpath"], env=environment, capture_output=True, timeout=60
        )
        assert completed.returncode == 2
        assert completed.stderr.decode().splitlines() == [line]
