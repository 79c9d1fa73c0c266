"""Runs the scenarios whose outcomes are stored, and compares the outcomes, or stores new ones.

    .venv/bin/python -m benchmarks.simulation_figures [--write]

Each scenario runs in virtual time with the delivery policy, so the same code gives the same figures. A change
that is not meant to change a decision leaves all of them as they are. All figures are simulated.
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
DECIMAL_PLACES = 6  # of a sum of values, as its last bits depend on the machine's math library

Figures = dict[str, Any]


def outcome_names() -> list[str]:
    """Returns the names of the outcomes in the file: each scenario with each seed."""
    return [f"{scenario} seed {seed}" for scenario in SCENARIOS for seed in SEEDS]


def run_scenario(name: str) -> Figures:
    """Runs a scenario. Returns the emulator's result, with figures that the result rounds or leaves out."""
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
    """Returns a digest of the time and the sender of each mode change, without the text of the change."""
    changes = [[change.at, change.sender] for change in scoreboard.mode_changes]
    return {"count": len(changes), "sha256": sha256(orjson.dumps(changes)).hexdigest()}


def read_stored_figures() -> dict[str, Figures]:
    """Returns the stored outcomes by name."""
    return dict(orjson.loads(STORED.read_bytes()))


def after_json_round_trip(figures: Figures) -> Figures:
    """Returns the figures as they are after writing and reading them as JSON."""
    return dict(orjson.loads(orjson.dumps(figures)))


def differences(expected: Figures, found: Figures) -> list[str]:
    """Returns a line for each figure that differs."""
    return [
        f"{key}: expected {expected.get(key)}, found {found.get(key)}"
        for key in sorted(expected.keys() | found.keys())
        if expected.get(key) != found.get(key)
    ]


def write() -> int:
    """Runs all scenarios and stores their outcomes. Returns the exit code."""
    figures = {name: run_scenario(name) for name in outcome_names()}
    STORED.write_bytes(orjson.dumps(figures, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))
    print(f"{len(figures)} outcomes written to {STORED.name}")
    return 0


def compare() -> int:
    """Runs all scenarios and prints differences. Returns the exit code, 1 if a figure differs."""
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
    """Runs the command and returns its exit code."""
    parser = argparse.ArgumentParser(prog="simulation_figures")
    parser.add_argument("--write", action="store_true", help="store the outcomes of this run")
    return write() if parser.parse_args().write else compare()


if __name__ == "__main__":
    sys.exit(main())
