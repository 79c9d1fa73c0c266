"""Errors that the validation of a scenario file reports."""

from __future__ import annotations

from pathlib import Path

import pytest

from ashpath.config.errors import InvalidConfigurationError
from ashpath.emulator.runs import scenario_path
from ashpath.emulator.scenario.conditions import FaultCondition, parse_condition
from ashpath.emulator.scenario.loading import read_scenario

# A text of a scenario file, its replacement (`|` stands for a line break), and the expected error.
INVALID_SCENARIOS = """
    share = 5          ~ share = -1             ~ partners.bank.share: found -1
    count = 3          ~ count = 0              ~ partners.bank.count: found 0
    kind = "slow"      ~ kind = "slower"        ~ troubles[0].kind: found 'slower'
    at = "10s"         ~ at = "10s"|when = "held > 3" ~ troubles[0].at: found both or neither
    at = "10s"         ~ when = "held is 3"     ~ troubles[0].when: found 'held is 3'
    to = ["bank"]      ~ to = ["banc"]          ~ troubles[0].to: found 'banc'
    to = ["bank"]      ~ to = ["bank/9"]        ~ troubles[0].to: found 'bank/9'
    check-status = 1,  ~ check-stats = 1,       ~ clients.mix.check-stats: found an undefined track
    lasts = "50s"      ~ lasts = "5s"|played = "9s" ~ spans[0].played: found more than lasts
    window = "5s"      ~ window = "1s"          ~ tracks.check-result.window: found 1s
    senders = 3        ~ senders = 0            ~ fleet.senders: found 0
"""


@pytest.mark.parametrize("row", [row.strip() for row in INVALID_SCENARIOS.strip().splitlines()])
def test_invalid_scenario_is_reported_with_path_of_faulty_key(tmp_path: Path, row: str) -> None:
    old, new, message = (part.strip() for part in row.split("~"))
    text = scenario_path("pile").read_text()
    path = tmp_path / "day.toml"
    path.write_text(text.replace(old, new.replace("|", "\n"), 1))
    with pytest.raises(InvalidConfigurationError) as caught:
        read_scenario(path)
    assert any(message in line for line in caught.value.lines), caught.value.lines


def test_condition_threshold_accepts_exponent_notation() -> None:
    assert parse_condition("held > 1e9") == FaultCondition("held", True, 1e9)
