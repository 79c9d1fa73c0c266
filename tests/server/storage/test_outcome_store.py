"""The store of final states: bounded in memory and on disk, and recovered by the next incarnation."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from support.loggers import RecordingLogger, error_raising_logger

from ashpath.server.storage.final_state import FinalState
from ashpath.server.storage.outcome_store import OutcomeStore

MAX_BYTES = 4096
RETENTION_US = 10**12


def open_store(directory: Path) -> OutcomeStore:
    return OutcomeStore(directory, MAX_BYTES, RETENTION_US, error_raising_logger())


def add_outcomes(store: OutcomeStore) -> None:
    for number in range(500):
        store.add(f"e{number}", FinalState.DELIVERED)


def test_outcome_store_bounds_memory_and_disk(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    for number in range(500):
        store.add(f"e{number}", FinalState.DELIVERED)
        assert store.size <= MAX_BYTES
        assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= MAX_BYTES
    assert store.get("e499")
    assert not store.get("e0")


def test_a_torn_line_does_not_swallow_the_next_one(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    add_outcomes(store)
    with (tmp_path / "ends").open("ab") as file:
        file.write(b'["torn","comp')
    store.close()
    store = open_store(tmp_path)
    store.add("next", FinalState.REJECTED, 500)
    store.close()
    store = open_store(tmp_path)
    assert store.get("next")
    assert store.get("e499")
    assert not store.get("torn")


def test_failed_outcome_writes_are_logged_once_and_retried(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    log = RecordingLogger()
    store = OutcomeStore(tmp_path, MAX_BYTES, RETENTION_US, log.logger)
    full = os.open("/dev/full", os.O_WRONLY)
    monkeypatch.setattr(store.file, "descriptor", full)
    store.add("unwritten", FinalState.DELIVERED)
    store.add("unwritten2", FinalState.DELIVERED)
    assert store.get("unwritten")
    assert log.events == ["outcomes not written"]
    assert store.needs_repair
    assert not store.repair()
    monkeypatch.undo()  # writes succeed again
    assert store.repair()
    assert log.events == ["outcomes not written", "outcomes written again"]
    store.close()
    reopened = open_store(tmp_path)
    assert reopened.trace_ids() == ["unwritten", "unwritten2"]


def test_final_state_is_forgotten_after_retention_time(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    store.add("next", FinalState.REJECTED, 500)
    assert store.get("next")
    store.retention = -1
    assert not store.get("next")
