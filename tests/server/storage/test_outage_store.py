"""Outages that outlive the process."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from ashpath.server.storage import outage_store as outages
from ashpath.server.storage.outage_store import OutageStore


class Lines:
    """In place of the log: the events."""

    def __init__(self) -> None:
        self.seen: list[str] = []

    def error(self, event: str, **_: object) -> None:
        self.seen.append(event)


def test_outages_outlive_the_process(tmp_path: Path) -> None:
    """Kept at each change of mode: while it is out, then until it is warm; the rate it had goes with it."""
    log = Lines()
    one = OutageStore(tmp_path, log)
    one.mode_changed(7, "", True, 1.5, 60_000_000)
    one.mode_changed(7, "", True, 9.0, 60_000_000)  # its breaker opened again: no change
    one.mode_changed(8, "e8", True, 0.5, 60_000_000)
    one.mode_changed(9, "", False, 0.5, 60_000_000)  # never out
    assert OutageStore(tmp_path, log).active() == [(7, "", 1.5), (8, "e8", 0.5)]
    one.mode_changed(7, "", False, 1.5, 60_000_000)
    one.mode_changed(8, "e8", False, 0.5, -1)  # warm at once
    assert OutageStore(tmp_path, log).active() == [(7, "", 1.5)] and not log.seen


def test_outages_that_cannot_be_kept(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A torn or foreign file is none, and said; a full disk is said once; no file grows with destinations."""
    log = Lines()
    for text in (b"", b'{"version": 1, "out": [[7]]}', b'{"version": 2, "out": []}', b"[]", b'{"version":1}'):
        (tmp_path / "outages").write_bytes(text)
        assert OutageStore(tmp_path, log).active() == []
    assert log.seen == ["outages not read, none are known"] * 5
    one = OutageStore(tmp_path, log)
    for number in range(500):
        one.mode_changed(number, "e" * outages.LONGEST, True, 1.0, 1)
    one.mode_changed(999, "e" * 4096, True, 1.0, 1)
    assert 2 * (tmp_path / "outages").stat().st_size < outages.SPACE
    assert len(one.active()) == outages.MOST and one.active()[-1][0] == 499
    log.seen.clear()

    def full(*_: object) -> None:
        raise OSError(errno.ENOSPC, "no space")

    monkeypatch.setattr(outages.os, "replace", full)
    for number in (600, 601):
        one.mode_changed(number, "", True, 1.0, 1)
    assert log.seen == ["outages not written"] and [path.name for path in tmp_path.iterdir()] == ["outages"]
