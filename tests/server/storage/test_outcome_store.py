"""The store of final states: bounded in memory and on disk, and recovered by the next incarnation."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from support.failing_disk import FOR_GOOD, SHORT, FailingDisk, failing_calls
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


def test_line_written_after_a_torn_one_is_read_although_truncation_failed(tmp_path: Path) -> None:
    """The torn line is truncated before the next write, and written again before the next line."""
    store = OutcomeStore(tmp_path, MAX_BYTES, RETENTION_US, RecordingLogger().logger)
    store.add("first", FinalState.DELIVERED)
    with failing_calls(FailingDisk("write", SHORT, 0, 1), FailingDisk("ftruncate", "EIO", 0, 1)):
        store.add("second", FinalState.DELIVERED)
        store.add("third", FinalState.DELIVERED)
    store.close()
    assert open_store(tmp_path).trace_ids() == ["first", "second", "third"]


def test_store_opens_on_a_full_disk_with_a_torn_line(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    store.add("first", FinalState.DELIVERED)
    store.close()
    with (tmp_path / "ends").open("ab") as file:
        file.write(b'["torn","comp')
    with failing_calls(FailingDisk("write", "ENOSPC", 0, FOR_GOOD)):
        store = OutcomeStore(tmp_path, MAX_BYTES, RETENTION_US, RecordingLogger().logger)
        store.add("second", FinalState.DELIVERED)
        assert store.needs_repair
    assert store.repair()
    store.close()
    assert open_store(tmp_path).trace_ids() == ["first", "second"]


def test_final_state_is_forgotten_after_retention_time(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    store.add("next", FinalState.REJECTED, 500)
    assert store.get("next")
    store.retention = -1
    assert not store.get("next")
