"""The command line, as a user's shell has it."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import orjson
import pytest
from support.standalone import Alone
from support.world import until

from ashpath.server.storage.record_codec import MessageFinished, MessageSubmitted
from ashpath.server.storage.stored_message import StoredMessage


@pytest.fixture
def alone(tmp_path: Path) -> Iterator[Alone]:
    made = Alone(tmp_path)
    yield made
    made.stop()


def test_hand_in_and_follow(alone: Alone) -> None:
    alone.destinations[6] = 'endpoints = ["127.0.0.1:1"]'
    alone.write()
    alone.start()
    url = f"http://127.0.0.1:{alone.where[1]}"
    body = alone.folder / "body"
    ends = [
        ("200", "once", "1", 0, "completed"),
        ("500", "once", "2", 4, "undeliverable"),
        ("200", "free", "6", 3, "deferred"),
    ]
    for words, track, to, code, state in ends:
        body.write_text(words)
        run = alone.run(
            "hand-in",
            "--url",
            url,
            "--to",
            to,
            "--track",
            track,
            "--body",
            str(body),
            "--wait",
            "--expires",
            "2s",
            "--json",
        )
        assert run.returncode == code and orjson.loads(run.stdout)["state"] == state, run
    words = ["--to", "1", "--track", "tag", "--body", "-", "--id", "h"]
    run = alone.run("hand-in", "--url", url, *words, input="hang")
    assert run.returncode == 0 and run.stdout == "h taken on\n"
    until(lambda: alone.count("h"))
    assert orjson.loads(alone.run("held", url, "--json").stdout)["id"] == "h"
    table = alone.run("held", url).stdout.splitlines()
    assert table[0].startswith("id\tnumber\tstate") and table[1].startswith("h\t")
    rows = [orjson.loads(line) for line in alone.run("destinations", url, "--json").stdout.splitlines()]
    assert {row["number"]: row["out"] for row in rows}[1] == 1
    stats = orjson.loads(alone.run("ledger", "stats", str(alone.folder / "state"), "--json").stdout)
    assert stats["live"] == stats["out"] == 1 and stats["by_track"] == {"tag": 1}
    alone.kill()
    shown = alone.run("ledger", "show", str(alone.folder / "state"), "--json").stdout
    assert orjson.loads(shown)["id"] == "h" and orjson.loads(shown)["state"] == "out"


# What is asked, the exit code, and what the one line on standard error has. URL is where nobody listens.
WRONG = """
    hand-in --url URL --to 1 --track t             ~ 1 ~ Connection refused
    hand-in --url URL --track t                    ~ 2 ~ --to
    hand-in --url URL --to x --track t             ~ 2 ~ 'x' is not a valid integer
    hand-in --url URL --to 1 --track t --expires 4 ~ 2 ~ found '4', expected a duration
    hand-in --url URL --to 1 --track t --body none ~ 2 ~ No such file
    hand-in --url URL --to 1 --track a/b           ~ 2 ~ --track: found 'a/b'
    hand-in --url ftp://x --to 1 --track t         ~ 2 ~ expected http://HOST:PORT
    held http://127.0.0.1:x                        ~ 2 ~ expected http://HOST:PORT
    held URL                                       ~ 1 ~ Connection refused
    ledger verify none                             ~ 2 ~ No such file
    ledger weigh none                              ~ 2 ~ weigh
    serve none                                     ~ 2 ~ No such file
    explain rules.slot                             ~ 2 ~ is it 'rules.slots'
    explian                                        ~ 2 ~ no such command
    demo --seconds 0                               ~ 2 ~ --seconds
    demo --keep /dev/null/x --seconds 2            ~ 1 ~ --keep
    completion csh                                 ~ 2 ~ csh
"""


def test_wrong_words(alone: Alone) -> None:
    for row in WRONG.strip().splitlines():
        words, code, said = (part.strip() for part in row.split("~"))
        run = alone.run(*words.replace("URL", f"http://127.0.0.1:{alone.where[1]}").split())
        assert run.returncode == int(code) and said in run.stderr, (words, run)
        assert run.stderr.startswith("ashpath: ") and run.stderr.count("\n") == 1, run.stderr


def test_plain_commands(alone: Alone, tmp_path: Path) -> None:
    assert alone.run("--version").stdout.startswith("ashpath ")
    assert "submit" in alone.run("-h").stdout and "--kill" in alone.run("demo", "-h").stdout
    assert "_ASHPATH_COMPLETE" in alone.run("completion", "bash").stdout
    journal = tmp_path / "journal"
    data = b"".join(
        MessageSubmitted(StoredMessage(n, f"j{n}", 0, n, None, None, 10**18, b"")).encode() for n in range(5)
    )
    journal.write_bytes(data + MessageFinished(1, None).encode()[:-3])
    run = alone.run("ledger", "verify", str(journal), "--json")
    assert run.returncode == 1 and orjson.loads(run.stdout)["byte"] == len(data)
    assert f"byte {len(data)}: torn" in alone.run("ledger", "verify", str(tmp_path)).stdout
    shown = alone.run("ledger", "show", str(tmp_path))
    assert shown.returncode == 0 and shown.stdout.count("\n") == 6 and "torn" in shown.stderr
    assert journal.read_bytes().startswith(data)


def test_demo_accounts_for_all(alone: Alone) -> None:
    """With the sender killed half-way."""
    run = alone.run("demo", "--seconds", "3", "--kill", "--keep", str(alone.folder / "kept"))
    last = run.stdout.splitlines()[-1]
    assert run.returncode == 0 and "doubles 0, unaccounted for 0" in last, run
    assert (alone.folder / "kept" / "log").read_text().count("event=ready") == 2
