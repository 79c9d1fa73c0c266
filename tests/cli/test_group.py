"""The group of commands: help, version, completion, and aliases of commands."""

from __future__ import annotations

import pytest
from support.standalone import StandaloneSender


def test_version_option_prints_program_name(alone: StandaloneSender) -> None:
    assert alone.run("--version").stdout.startswith("ashpath ")


def test_help_lists_commands_without_aliases(alone: StandaloneSender) -> None:
    listed = alone.run("-h").stdout
    assert "submit" in listed
    assert "hand-in" not in listed


def test_command_help_lists_its_options(alone: StandaloneSender) -> None:
    assert "--kill" in alone.run("demo", "-h").stdout


def test_completion_prints_shell_script(alone: StandaloneSender) -> None:
    assert "_ASHPATH_COMPLETE" in alone.run("completion", "bash").stdout


@pytest.mark.parametrize(
    ("body", "exit_code"),
    [("200", 0), ("500", 4)],
)
def test_hand_in_alias_behaves_as_submit(
    alone: StandaloneSender, url: str, body: str, exit_code: int
) -> None:
    """Two messages that differ only in their ids and destinations give the same output and exit code."""
    alone.start()
    outputs = []
    for number, name in enumerate(("submit", "hand-in")):
        arguments = [
            "--url",
            url,
            "--to",
            str(number),
            "--track",
            "once",
            "--id",
            name,
            "--wait",
            "--body",
            "-",
        ]
        run = alone.run(name, *arguments, input=body)
        assert run.returncode == exit_code, run
        outputs.append(run.stdout.replace(name, "ID"))
    assert outputs[0]
    assert outputs[0] == outputs[1]


def test_rehearse_alias_behaves_as_simulate(alone: StandaloneSender) -> None:
    simulated = alone.run("simulate", "calm", "--seed", "2", "--modes")
    rehearsed = alone.run("rehearse", "calm", "--seed", "2", "--modes")
    assert simulated.returncode == 0
    assert simulated.stdout.startswith("calm: ")
    assert (rehearsed.returncode, rehearsed.stdout) == (simulated.returncode, simulated.stdout)


def test_rehearse_alias_rejects_as_simulate_does(alone: StandaloneSender) -> None:
    simulated = alone.run("simulate", "no-such-day")
    rehearsed = alone.run("rehearse", "no-such-day")
    assert simulated.returncode == 2
    assert (rehearsed.returncode, rehearsed.stderr) == (simulated.returncode, simulated.stderr)
