"""Scenarios of the emulator, played anew, come to the stored figures exactly.

The two quickest of those that `python -m benchmarks.simulation_figures` plays. A change that is not meant to
change a decision leaves them as they are; one that is stores new figures and says why.
"""

from __future__ import annotations

import pytest

from benchmarks import simulation_figures


@pytest.mark.parametrize("name", ["fast-errors seed 1", "burst seed 1"])
def test_outcome_as_stored(name: str) -> None:
    found = simulation_figures.as_stored(simulation_figures.play(name))
    assert found == simulation_figures.stored()[name]


def test_every_scenario_is_stored() -> None:
    assert list(simulation_figures.stored()) == simulation_figures.names()


def test_a_changed_figure_is_reported() -> None:
    expected = simulation_figures.stored()["burst seed 1"]
    found = {**expected, "shots": expected["shots"] + 1}
    line = f"shots: expected {expected['shots']}, found {found['shots']}"
    assert simulation_figures.differences(expected, found) == [line]
