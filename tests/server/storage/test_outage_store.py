"""The store of outages: it survives the process, its file is bounded, and failed writes are logged."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest
from support.loggers import RecordingLogger

from ashpath.server.storage.directory_lock import LOCK_FILE
from ashpath.server.storage.outage_store import (
    MAX_ENDPOINT_CHARACTERS,
    MAX_FILE_BYTES,
    MAX_OUTAGES,
    OutageStore,
)

MINUTE_US = 60_000_000
UNREADABLE = [b"", b'{"version": 1, "out": [[7]]}', b'{"version": 2, "out": []}', b"[]", b'{"version":1}']


def active(store: OutageStore) -> list[tuple[int, str, float]]:
    return [(outage.destination, outage.endpoint, outage.rate) for outage in store.active()]


def test_outages_outlive_the_process(tmp_path: Path) -> None:
    """An outage is stored during the outage and during the slow start after it, with the rate before it."""
    log = RecordingLogger()
    store = OutageStore(tmp_path, log.logger)
    store.outage_began(7, "", 1.5)
    store.outage_began(7, "", 9.0)  # in outage already: no change
    store.outage_began(8, "e8", 0.5)
    store.outage_ended(9, "", 0.5, MINUTE_US)  # was not in outage: no change
    assert active(OutageStore(tmp_path, log.logger)) == [(7, "", 1.5), (8, "e8", 0.5)]
    store.outage_ended(7, "", 1.5, MINUTE_US)
    store.outage_ended(8, "e8", 0.5, -1)  # slow start over at once
    assert active(OutageStore(tmp_path, log.logger)) == [(7, "", 1.5)]
    assert not log.events


@pytest.mark.parametrize("content", UNREADABLE)
def test_unreadable_file_counts_as_no_outage(tmp_path: Path, content: bytes) -> None:
    """A torn file or one of another version is logged, and no outage is known."""
    log = RecordingLogger()
    (tmp_path / "outages").write_bytes(content)
    assert active(OutageStore(tmp_path, log.logger)) == []
    assert log.events == ["outages not read, none are known"]


@pytest.mark.parametrize("character", ["e", "é", "\x01"])
def test_outage_file_size_is_bounded_for_many_destinations(tmp_path: Path, character: str) -> None:
    """Guards also against ids whose characters take several bytes each."""
    store = OutageStore(tmp_path, RecordingLogger().logger)
    for number in range(500):
        store.outage_began(number, character * MAX_ENDPOINT_CHARACTERS, 1.0)
    store.outage_began(999, "e" * 4096, 1.0)
    assert (tmp_path / "outages").stat().st_size <= MAX_FILE_BYTES
    assert OutageStore(tmp_path, RecordingLogger().logger).active()[-1].destination == 499
    assert len(store.active()) == MAX_OUTAGES
    assert store.active()[-1].destination == 499


def test_failed_outage_writes_are_logged_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    log = RecordingLogger()
    store = OutageStore(tmp_path, log.logger)
    store.outage_began(1, "", 1.0)

    def full(*_: object) -> None:
        raise OSError(errno.ENOSPC, "no space")

    monkeypatch.setattr(os, "replace", full)
    for number in (600, 601):
        store.outage_began(number, "", 1.0)
    assert log.events == ["outages not written"]
    # No temporary file is left beside the file and the lock of the directory.
    assert sorted(path.name for path in tmp_path.iterdir()) == [LOCK_FILE, "outages"]
