"""`ashpath demo`."""

from __future__ import annotations

from support.standalone import StandaloneSender


def test_every_message_has_an_outcome_though_the_sender_is_killed(alone: StandaloneSender) -> None:
    run = alone.run("demo", "--seconds", "3", "--kill", "--keep", str(alone.folder / "kept"))
    assert run.returncode == 0, run
    assert "doubles 0, unaccounted for 0" in run.stdout.splitlines()[-1]
    assert (alone.folder / "kept" / "log").read_text().count("event=ready") == 2
