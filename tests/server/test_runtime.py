"""Start of a sender, and faults of its services."""

from __future__ import annotations

import sys

import pytest
import structlog
from gevent import subprocess
from support.world import World

from ashpath.server.runtime import StartupError, create_sender


def test_fault_of_a_part(world: World) -> None:
    """A part that fails is begun anew."""
    told = [StartupError("x"), None]
    with pytest.MonkeyPatch.context() as patch:
        for name, value in world.environment().items():
            patch.setenv(name, value)
        sender, _ = create_sender()
    sender.log = structlog.get_logger()

    def run() -> None:
        if (fault := told.pop(0)) is not None:
            raise fault

    sender.supervise(run)
    assert not told


def test_bad_starts(world: World) -> None:
    told = [("RELAY_STATE", ""), ("RELAY_CONFIG", ""), ("RELAY_CONFIG", "/nowhere"), ("RELAY_LISTEN", "x")]
    for name, value in [*told, ("", "{"), ("", "[]"), ("", '{"seed": "x"}')]:
        environment = world.environment()
        environment.pop(name, None)
        if name and value:
            environment[name] = value
        elif value:
            (world.folder / "config.json").write_text(value)
        run = subprocess.run([sys.executable, "-m", "ashpath"], env=environment, capture_output=True)
        errors = run.stderr.decode()
        assert run.returncode != 0 and len(errors.splitlines()) == 1 and errors[:9] == "ashpath: ", errors


@pytest.mark.parametrize(
    ("name", "value", "words"),
    [
        ("RELAY_ACCEPT_FD", "seven", "RELAY_ACCEPT_FD is no open socket: 'seven'"),
        ("RELAY_ACCEPT_FD", "250", "RELAY_ACCEPT_FD is no open socket: '250'"),  # not open
        ("RELAY_CONTROL", "nowhere", "RELAY_CONTROL: 'nowhere' is no address with a port"),
    ],
)
def test_bad_variables_are_one_line_and_exit_2(world: World, name: str, value: str, words: str) -> None:
    told = {**world.environment(), name: value}
    done = subprocess.run([sys.executable, "-m", "ashpath"], env=told, capture_output=True, timeout=60)
    assert done.returncode == 2 and done.stderr.decode().splitlines() == [f"ashpath: {words}"]
