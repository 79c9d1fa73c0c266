"""Runs of scenarios: reproducibility, the rules, the scenario library and the command."""

from __future__ import annotations

from pathlib import Path

import pytest
from support.standalone import StandaloneSender

from ashpath.cli.check import command as check
from ashpath.emulator.policies import POLICIES
from ashpath.emulator.runs import (
    SCENARIO_LIBRARY,
    outcome_file,
    policy_table,
    scenario_path,
    simulate,
    simulate_all,
)
from ashpath.emulator.scenario.loading import read_scenario

SHORT_SCENARIOS = [
    "calm",
    "burst",
    "silent-bank",
    "shut",
    "fast-errors",
    "lost-answers",
    "resets",
    "replaced",
    "kills",
    "in-turn",
    "split",
    "pile",
]


@pytest.mark.parametrize("name", SHORT_SCENARIOS)
def test_delivery_policy_keeps_rules_and_scores_near_oracle(name: str) -> None:
    """The policy breaks no rule, every request ends, and G is at most 0.06 below that of the oracle."""
    ours, best = (simulate(scenario_path(name), 2, policy).result for policy in ("module", "oracle"))
    assert not ours["rules"]
    assert sum(ours["ends"].values()) == ours["handed_in"]
    assert ours["g"] >= best["g"] - 0.06, (ours["g"], best["g"])


def test_scenarios_in_library_are_valid(capsys: pytest.CaptureFixture[str]) -> None:
    found = sorted(SCENARIO_LIBRARY.glob("*.toml"))
    wide = [
        path
        for path in found
        if (scenario := read_scenario(path)).fleet.senders >= 200
        and sum(group.count * group.endpoints for group in scenario.destinations.values()) >= 200
    ]
    assert len(found) >= 15
    assert len(wide) >= 3
    assert all(check.main([str(path)], standalone_mode=False) == 0 for path in found)
    assert "sound: a day of 3 senders" in capsys.readouterr().out
    for path in found:
        incident = read_scenario(path).about.incident
        assert not incident or (SCENARIO_LIBRARY.parents[2] / "docs" / "incidents" / incident).exists()


def test_same_scenario_and_seed_give_the_same_bytes() -> None:
    """The outcome file must not depend on the number of processes, the clock or state of earlier runs."""
    path = scenario_path("pile")
    scenario = read_scenario(path)
    played = [list(simulate_all(path, [1, 2, 3], ["module", "retries"], jobs)) for jobs in (1, 1, 3)]
    first, again, spread = (outcome_file(scenario, "pile", runs) for runs in played)
    assert first == again == spread
    other, another = (outcome_file(scenario, "pile", [simulate(path, seed, "module")]) for seed in (4, 5))
    assert other != another


def test_policy_table_has_a_row_for_each_policy() -> None:
    rows = policy_table(list(simulate_all(scenario_path("pile"), [1], list(POLICIES), 1)))
    assert [row["policy"] for row in rows] == list(POLICIES)
    assert rows[0]["rules_broken"] == 0


def test_simulate_command_reports_results_and_input_errors(tmp_path: Path) -> None:
    alone = StandaloneSender(tmp_path)
    try:
        file = tmp_path / "out.json"
        words = ["--seeds", "1..2", "--policy", "all", "--jobs", "2", "--json", str(file)]
        ran = alone.run("rehearse", "calm", *words)
        assert ran.returncode == 0, ran
        assert len(file.read_bytes().splitlines()) == 1 + 2 * len(POLICIES), ran
        assert "calm: nothing is wrong" in ran.stdout
        assert "(simulated)" in ran.stdout
        story = alone.run("rehearse", "calm", "--story", "0-1")
        assert "taken on for destination" in story.stdout
        assert "shot ended: completed" in story.stdout
        for row, said in (
            ("no-such", "the library has"),
            ("calm --policy x", "expected all"),
            ("calm --seeds 9..1", "--seeds"),
            ("calm --seed 1 --seeds 1", "both"),
            ("none.toml", "No such file"),
        ):
            ran = alone.run("rehearse", *row.split())
            assert ran.returncode == 2, ran
            assert said in ran.stderr, ran
            assert ran.stderr.count("\n") == 1, ran
    finally:
        alone.stop()
