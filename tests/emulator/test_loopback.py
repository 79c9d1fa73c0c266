"""Two short days on sockets: senders in processes of their own, the same witness, nearly the same outcome."""

from __future__ import annotations

from pathlib import Path

import pytest

from ashpath.config.loading import read_configuration
from ashpath.config.platform_form import file_document
from ashpath.core.interface import AttemptOutcome
from ashpath.emulator.loopback import Loopback
from ashpath.emulator.scenario import read_scenario
from ashpath.emulator.scoreboard import Scoreboard
from ashpath.emulator.simulate import find, play, play_on_sockets
from ashpath.emulator.simulation import Work

# The day, what is replaced in it so that it takes some seconds, and how far G may be from virtual time's.
DAYS = [
    ("silent-bank", {'at = "12s"': 'at = "2s"', 'lasts = "12s"': 'lasts = "2s"'}, 0.08),
    ("kills", {'at = "12s"': 'at = "2s"', 'at = "20s"': 'at = "3500ms"', 'at = "28s"': 'at = "5s"'}, 0.05),
]


@pytest.mark.parametrize(("name", "changes", "near"), DAYS)
def test_short_day(tmp_path: Path, name: str, changes: dict[str, str], near: float) -> None:
    text = find(name).read_text().replace('lasts = "50s"\nrate = 80', 'lasts = "8s"\nrate = 60')
    for old, new in changes.items():
        assert old in text
        text = text.replace(old, new)
    path = tmp_path / "day.toml"
    path.write_text(text)
    ours, virtual = play_on_sockets(path, 1, tmp_path), play(path, 1, "module")
    assert not ours.result["rules"] and not virtual.result["rules"], ours.broken
    assert ours.result["handed_in"] == virtual.result["handed_in"]
    assert sum(ours.result["ends"].values()) == ours.result["handed_in"]
    assert abs(ours.result["g"] - virtual.result["g"]) <= near, (ours.result["g"], virtual.result["g"])
    written = read_configuration(tmp_path / "sender-0" / "sender.toml")
    assert file_document(written)["tracks"]["check-result"]["window"] == "5s"


def test_what_sockets_cannot_play(tmp_path: Path) -> None:
    for name, words in (("split", "split"), ("pile", "held > 150"), ("clocks", "clock")):
        with pytest.raises(ValueError, match=words):
            play_on_sockets(find(name), 1, tmp_path)


KILLS = [row for row in Path(__file__).with_name("kills.txt").read_text().splitlines() if row[0] != "#"]


@pytest.mark.parametrize("case", KILLS)
def test_kills_between_word_and_answer(tmp_path: Path, case: str) -> None:
    id_, rows, lost = case.split(": ")
    path, tracks = find("kills"), ["check-status", "check-result"]
    run = Loopback(read_scenario(path), path.parent, tmp_path, 1, Scoreboard(tracks))
    run.works[id_] = Work(id_, int(id_[0]), 0, None, 900_000, run.tracks[int(id_[0])].deadline, 0)
    run.see(900_000, run.of_clients, "asked", id_, -1)
    where = (id_, next(iter(run.stands)))
    for row in rows.split(", "):
        at, what, sender = int(row.split()[0]) * 1000, row.split()[1], int((row + " 0").split()[2])
        seen = {
            "kill": (run.witness_kill, sender),
            "shot": (run.witness_shot, *where),
            "completed": (run.witness_outcome, *where, AttemptOutcome.DELIVERED, at - 100_000, 0),
        }
        run.see(at, *seen.get(what, (run.of_clients, what, id_, sender)))
    run.stop()
    run.replay()
    assert run.witness.counts["lost"] == int(lost), run.witness.broken
