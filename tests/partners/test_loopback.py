"""Two short days on sockets: senders in processes of their own, the same witness, nearly the same outcome."""

from __future__ import annotations

from pathlib import Path

import pytest

from ashpath.door import Ending
from ashpath.partners.account import Account
from ashpath.partners.day import read_day
from ashpath.partners.loopback import Loopback
from ashpath.partners.rehearse import find, play, play_on_sockets
from ashpath.partners.virtual import Work
from ashpath.plan.read import read
from ashpath.plan.told import document

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
    written = read(tmp_path / "sender-0" / "sender.toml")
    assert document(written)["tracks"]["check-result"]["window"] == "5s"


def test_what_sockets_cannot_play(tmp_path: Path) -> None:
    for name, words in (("split", "split"), ("pile", "held > 150"), ("clocks", "clock")):
        with pytest.raises(ValueError, match=words):
            play_on_sockets(find(name), 1, tmp_path)


# Guards the account against a hand-in that was read, but not answered, as its sender was killed: the client
# goes elsewhere, and the killed one's next life goes on with it. Track 0 may be repeated, track 1 is tagged.
ELSEWHERE = "1200 taken 2, 1300 shot, 1400 completed"
KILLED = [
    ("0-1", f"1000 unanswered 1, 1010 kill 1, {ELSEWHERE}, 3100 shot", 0),
    ("0-1", f"1000 unanswered 1, {ELSEWHERE}, 3100 shot", 1),
    ("0-1", f"1000 unanswered 1, 1010 kill 2, {ELSEWHERE}, 3100 shot", 1),
    ("0-1", f"1000 unanswered 1, 5000 kill 1, {ELSEWHERE}, 6100 shot", 1),
    ("0-1", f"1000 unanswered 1, 1010 kill 1, {ELSEWHERE}, 3100 shot, 3150 shot, 3200 completed", 0),
    ("1-1", "1000 unanswered 1, 1010 kill 1, 1200 taken 2", 1),  # it is still owed its end
    ("1-1", "1000 unanswered 1, 1010 kill 1, 1200 taken 2, 1300 shot, 9000 bounced, 9010 aborted", 0),
    # Guards it against a 200 that nobody read: the next life sends again, or aborts what it may not send.
    ("1-1", "1000 taken 1, 1300 shot, 1400 completed, 1405 kill 1, 3100 shot", 0),
    ("1-1", "1000 taken 1, 1300 shot, 1400 completed, 1405 kill 1, 8100 aborted", 0),
    ("1-1", "1000 taken 1, 1300 shot, 1400 completed, 2405 kill 1, 8100 aborted", 1),
]


@pytest.mark.parametrize(("id_", "rows", "lost"), KILLED)
def test_kills_between_word_and_answer(tmp_path: Path, id_: str, rows: str, lost: int) -> None:
    path = find("kills")
    run = Loopback(read_day(path), path.parent, tmp_path, 1, Account(["check-status", "check-result"]))
    endpoint = next(iter(run.stands))
    track, cutoff = int(id_[0]), run.tracks[int(id_[0])].cutoff
    run.works[id_] = Work(id_, track, 0, None, 900_000, cutoff, 0)
    run.see(900_000, run.of_clients, "asked", id_, -1)
    for row in rows.split(", "):
        at, what, sender = int(row.split()[0]) * 1000, row.split()[1], int((row + " 0").split()[2])
        if what == "kill":
            run.see(at, run.witness_kill, sender)
        elif what == "shot":
            run.see(at, run.witness_shot, id_, endpoint)
        elif what == "completed":
            run.see(at, run.witness_outcome, id_, endpoint, Ending.COMPLETED, at - 100_000, 0)
        else:
            run.see(at, run.of_clients, what, id_, sender)
    run.stop()
    run.replay()
    assert run.witness.counts["lost"] == lost, run.witness.broken
