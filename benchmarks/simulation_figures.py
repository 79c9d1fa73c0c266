"""Plays the scenarios whose outcome is stored, and compares it, or writes it.

    .venv/bin/python -m benchmarks.simulation_figures [--write]

Each is played in virtual time with the decision module: the same code gives the same figures. A change that
is not meant to change a decision leaves all of them as they are. All figures are simulated.
"""

from __future__ import annotations

import argparse
import sys
from hashlib import sha256
from pathlib import Path
from typing import Any

import orjson

from ashpath.emulator.policies import DELIVERY_POLICY, POLICIES
from ashpath.emulator.runs import scenario_path
from ashpath.emulator.scenario.loading import read_scenario
from ashpath.emulator.scoreboard import Scoreboard
from ashpath.emulator.simulation.run import Simulation

STORED = Path(__file__).parent.parent / "tests" / "fixtures" / "simulation_figures.json"
SCENARIOS = ("silent-bank", "burst", "kills", "in-turn", "fast-errors", "fleet-calm")
SEEDS = (1, 2)
DECIMAL_PLACES = 6  # of a sum of values: its last bits depend on the machine's library of functions

Figures = dict[str, Any]


def outcome_names() -> list[str]:
    """Every scenario with every seed, as they are named in the file."""
    return [f"{scenario} seed {seed}" for scenario in SCENARIOS for seed in SEEDS]


def run_scenario(name: str) -> Figures:
    """The outcome of one scenario: what the emulator writes, and figures that it rounds or leaves out."""
    scenario, _, seed = name.partition(" seed ")
    path = scenario_path(scenario)
    scenario_file = read_scenario(path)
    scoreboard = Scoreboard(list(scenario_file.traffic_classes), keeps_mode_changes=True)
    Simulation(scenario_file, path.parent, int(seed), POLICIES[DELIVERY_POLICY], scoreboard).run()
    return {
        **scoreboard.result(),
        "payoff_asked_for": [round(value, DECIMAL_PLACES) for value in scoreboard.value_requested],
        "payoff_delivered": [round(value, DECIMAL_PLACES) for value in scoreboard.value_delivered],
        "changes_of_mode": mode_change_digest(scoreboard),
    }


def mode_change_digest(scoreboard: Scoreboard) -> Figures:
    """Which sender changed its mode at which microsecond, as a digest; not the text that says so."""
    changes = [[change.at, change.sender] for change in scoreboard.mode_changes]
    return {"count": len(changes), "sha256": sha256(orjson.dumps(changes)).hexdigest()}


def read_stored_figures() -> dict[str, Figures]:
    """The stored outcomes, by name."""
    return dict(orjson.loads(STORED.read_bytes()))


def after_json_round_trip(figures: Figures) -> Figures:
    """As they are once written and read."""
    return dict(orjson.loads(orjson.dumps(figures)))


def differences(expected: Figures, found: Figures) -> list[str]:
    """A line for each figure that is not as expected."""
    return [
        f"{key}: expected {expected.get(key)}, found {found.get(key)}"
        for key in sorted(expected.keys() | found.keys())
        if expected.get(key) != found.get(key)
    ]


def write() -> int:
    """Stores what is played now; the exit code."""
    figures = {name: run_scenario(name) for name in outcome_names()}
    STORED.write_bytes(orjson.dumps(figures, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))
    print(f"{len(figures)} outcomes written to {STORED.name}")
    return 0


def compare() -> int:
    """The exit code: 1 if a figure differs."""
    expected = read_stored_figures()
    changed = 0
    for name in outcome_names():
        lines = differences(expected[name], after_json_round_trip(run_scenario(name)))
        changed += bool(lines)
        print(f"{name}: {'CHANGED' if lines else 'as stored'}", flush=True)
        for line in lines:
            print(f"    {line}")
    print(f"{changed} of {len(outcome_names())} outcomes changed")
    return 1 if changed else 0


def main() -> int:
    """The command; its exit code."""
    parser = argparse.ArgumentParser(prog="simulation_figures")
    parser.add_argument("--write", action="store_true", help="store what is played now")
    return write() if parser.parse_args().write else compare()


if __name__ == "__main__":
    sys.exit(main())
