"""Simulated scenarios must give the stored figures exactly.

Runs the two fastest of the scenarios of `python -m benchmarks.simulation_figures`. A change that is not meant
to change a decision of the policy leaves the figures as they are; a change that is meant to stores new
figures and says why.
"""

from __future__ import annotations

import pytest

from benchmarks import simulation_figures


@pytest.mark.parametrize("name", ["fast-errors seed 1", "burst seed 1"])
def test_simulated_outcome_equals_stored_figures(name: str) -> None:
    found = simulation_figures.after_json_round_trip(simulation_figures.run_scenario(name))
    assert found == simulation_figures.read_stored_figures()[name]


def test_stored_figures_cover_every_scenario() -> None:
    assert list(simulation_figures.read_stored_figures()) == simulation_figures.outcome_names()


def test_changed_figure_is_reported_as_difference() -> None:
    expected = simulation_figures.read_stored_figures()["burst seed 1"]
    found = {**expected, "shots": expected["shots"] + 1}
    line = f"shots: expected {expected['shots']}, found {found['shots']}"
    assert simulation_figures.differences(expected, found) == [line]
