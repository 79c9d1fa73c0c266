"""Writes what stands in `fixtures/stored_data` anew and compares the bytes; see test_stored_data.py.

In a hot upgrade, and after a way back, the former release reads what this one wrote.
"""

from __future__ import annotations

import os
from pathlib import Path

import orjson
import pytest
from test_stored_data import DISK, FAR, STORED, THEN, NoErrors

from ashpath.command.sender import FromFile
from ashpath.node import ends, holds, numbers, outages
from ashpath.node.board import Board
from ashpath.node.folder import Folder
from ashpath.node.ledger import Entry, Ledger

PLATFORM, STANDALONE = STORED / "platform", STORED / "standalone"


def test_journal(tmp_path: Path) -> None:
    """The stored one lacks the last five bytes."""
    ledger = Ledger(tmp_path, DISK)
    entries = [Entry(n, f"t-{n}", 0, n, None, None, FAR, b"body %d" % n) for n in (1, 2, 3)]
    for entry in entries:
        ledger.taken(entry)
    ledger.shot(entries[1], THEN, "e2")
    ledger.outcome(entries[1], may_have_run=True)
    ledger.close()
    assert (tmp_path / "journal").read_bytes()[:-5] == (STORED / "torn" / "journal").read_bytes()


def test_journal_of_a_message_that_is_over(tmp_path: Path) -> None:
    ledger = Ledger(tmp_path, DISK)
    entry = Entry(11, "p-told", 0, 1, None, None, FAR + 11, b"200")
    ledger.taken(entry)
    ledger.ended(entry, '{"id":"p-told","status":"undeliverable"}')
    ledger.ended(entry)
    ledger.close()
    written = (tmp_path / "journal").read_bytes()
    assert (PLATFORM / "journal").read_bytes().endswith(written)


def test_journal_written_anew(tmp_path: Path) -> None:
    """The stored one was written anew once, then its process appended to it."""
    path = tmp_path / "journal"
    path.write_bytes((PLATFORM / "journal").read_bytes())
    Ledger(tmp_path, DISK).close()
    first = path.read_bytes()
    Ledger(tmp_path, DISK).close()
    assert path.read_bytes() == first
    unchanged = first.index(b'["taken",2,') - 8  # the first message: not touched since
    assert (PLATFORM / "journal").read_bytes()[:unchanged] == first[:unchanged]


def test_board(tmp_path: Path) -> None:
    board = Board(tmp_path, 1)
    board.told(30, "", FAR + 1)
    board.told(31, "e31", FAR)
    board.told(31, "e31", FAR + 2)
    board.told(32, "é" * 21 + "x", FAR + 3)
    board.told(33, "e" * 44, FAR + 4)
    board.told(34, "ended", THEN)
    board.held()
    board.close()
    assert (tmp_path / "board-0").read_bytes() == (PLATFORM / "board-0").read_bytes()


def test_outages(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(outages, "wall", lambda: THEN)
    written = outages.Outages(tmp_path, NoErrors())
    written.note(20, "", True, 12.5, 0)
    for endpoint, destination, rate, ramp in (("e21-é", 21, 0.1, FAR - THEN), ("e22", 22, 3.0, 1)):
        written.note(destination, endpoint, True, rate, 0)
        written.note(destination, endpoint, False, rate, ramp)
    assert (tmp_path / "outages").read_bytes() == (PLATFORM / "outages").read_bytes()


def test_endpoints_held_by_operators(tmp_path: Path) -> None:
    for endpoint in ("e3", "e-ü", "gone"):
        holds.change(tmp_path, endpoint, True, NoErrors())
    assert (tmp_path / "held-endpoints").read_bytes() == (PLATFORM / "held-endpoints").read_bytes()


def test_track_numbers(tmp_path: Path) -> None:
    numbers.write(tmp_path, numbers.read(PLATFORM))
    assert (tmp_path / "track-numbers").read_bytes() == (PLATFORM / "track-numbers").read_bytes()


def test_imprint_and_lock(tmp_path: Path) -> None:
    folder = Folder(tmp_path, "relay-1")
    folder.write(FromFile(STORED / "sender.toml").settings["classes"])
    folder.close()
    assert (tmp_path / "imprint").read_bytes() == (STANDALONE / "imprint").read_bytes()
    assert (tmp_path / "lock").read_bytes() == b"%d\n" % os.getpid()


def test_ends(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The same lines, in one file, as the stored two have between those that were cut off."""
    stored = (STANDALONE / "ends.old").read_bytes() + (STANDALONE / "ends").read_bytes()
    lines = [line for line in stored.splitlines(keepends=True) if line.endswith(b"]\n")]
    written = ends.Ends(tmp_path, DISK, 60_000_000, NoErrors())
    for trace, state, at, come_back in map(orjson.loads, lines):
        monkeypatch.setattr(ends, "wall", lambda at=at: at)
        written.add(trace, state, come_back)
    written.close()
    assert (tmp_path / "ends").read_bytes() == b"".join(lines)
