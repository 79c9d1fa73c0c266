"""Two short scenarios on loopback, with sender processes: the rules hold as in the simulation, and the result
is within a tolerance of the simulation's."""

from __future__ import annotations

from pathlib import Path

import pytest

from ashpath.config.file_document import file_document
from ashpath.config.loading import read_configuration
from ashpath.emulator.errors import UnsupportedFaultError
from ashpath.emulator.runs import run_on_loopback, scenario_path, simulate

# The scenario, the texts to replace in it so that a run takes a few seconds, and the tolerance between its G
# and the simulation's.
SCENARIOS = [
    ("silent-bank", {'at = "12s"': 'at = "2s"', 'lasts = "12s"': 'lasts = "2s"'}, 0.08),
    ("kills", {'at = "12s"': 'at = "2s"', 'at = "20s"': 'at = "3500ms"', 'at = "28s"': 'at = "5s"'}, 0.05),
]


@pytest.mark.parametrize(("name", "changes", "tolerance"), SCENARIOS)
def test_short_loopback_run_agrees_with_simulation(
    tmp_path: Path, name: str, changes: dict[str, str], tolerance: float
) -> None:
    text = scenario_path(name).read_text().replace('lasts = "50s"\nrate = 80', 'lasts = "8s"\nrate = 60')
    for old, new in changes.items():
        assert old in text
        text = text.replace(old, new)
    path = tmp_path / "day.toml"
    path.write_text(text)
    ours, simulated = run_on_loopback(path, 1, tmp_path), simulate(path, 1, "module")
    assert not ours.result["rules"], ours.violations
    assert not simulated.result["rules"], simulated.violations
    assert ours.result["handed_in"] == simulated.result["handed_in"]
    assert sum(ours.result["ends"].values()) == ours.result["handed_in"]
    assert abs(ours.result["g"] - simulated.result["g"]) <= tolerance, (
        ours.result["g"],
        simulated.result["g"],
    )
    written = read_configuration(tmp_path / "sender-0" / "sender.toml")
    assert file_document(written)["tracks"]["check-result"]["window"] == "5s"


def test_loopback_run_rejects_simulation_only_faults(tmp_path: Path) -> None:
    for name, fault in (("split", "split"), ("pile", "held > 150"), ("clocks", "clock")):
        with pytest.raises(UnsupportedFaultError, match=fault):
            run_on_loopback(scenario_path(name), 1, tmp_path)
