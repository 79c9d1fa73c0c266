"""The current code writes the content of `fixtures/stored_data` with the same bytes; see test_stored_data.py.

In a hot upgrade, and after a rollback, the former release reads data that this release wrote.
"""

from __future__ import annotations

import os
from pathlib import Path

import orjson
import pytest
from support.loggers import error_raising_logger
from support.stored_data import FUTURE, MAX_LOG_BYTES, PAST, STORED

from ashpath.cli.standalone_deployment import FileConfiguration
from ashpath.server.storage import outage_store, outcome_store
from ashpath.server.storage.detached_endpoints import DetachedEndpoints
from ashpath.server.storage.final_state import FinalState
from ashpath.server.storage.shared_memory import SharedMemory
from ashpath.server.storage.state_directory import StateDirectory
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.traffic_class_ids import TrafficClassIds
from ashpath.server.storage.write_ahead_log import WriteAheadLog

PLATFORM, STANDALONE = STORED / "platform", STORED / "standalone"


def test_written_log_has_the_stored_bytes(tmp_path: Path) -> None:
    """The stored log lacks the last five bytes."""
    log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    messages = [StoredMessage(n, f"t-{n}", 0, n, None, None, FUTURE, b"body %d" % n) for n in (1, 2, 3)]
    for message in messages:
        log.record_submitted(message)
    log.record_attempt(messages[1], PAST, "e2")
    log.record_outcome(messages[1], may_have_run=True)
    log.close()
    assert (tmp_path / "journal").read_bytes()[:-5] == (STORED / "torn" / "journal").read_bytes()


def test_written_finished_message_has_the_stored_bytes(tmp_path: Path) -> None:
    log = WriteAheadLog(tmp_path, MAX_LOG_BYTES)
    message = StoredMessage(11, "p-told", 0, 1, None, None, FUTURE + 11, b"200")
    log.record_submitted(message)
    log.record_finished(message, '{"id":"p-told","status":"undeliverable"}')
    log.record_finished(message)
    log.close()
    written = (tmp_path / "journal").read_bytes()
    assert (PLATFORM / "journal").read_bytes().endswith(written)


def test_rewriting_a_rewritten_log_changes_no_byte(tmp_path: Path) -> None:
    """The stored log was rewritten once, and its process appended records afterwards."""
    path = tmp_path / "journal"
    path.write_bytes((PLATFORM / "journal").read_bytes())
    WriteAheadLog(tmp_path, MAX_LOG_BYTES).close()
    first = path.read_bytes()
    WriteAheadLog(tmp_path, MAX_LOG_BYTES).close()
    assert path.read_bytes() == first
    unchanged = first.index(b'["taken",2,') - 8  # the first message has no record after the rewrite
    assert (PLATFORM / "journal").read_bytes()[:unchanged] == first[:unchanged]


def test_written_shared_memory_has_the_stored_bytes(tmp_path: Path) -> None:
    memory = SharedMemory(tmp_path, 1)
    memory.publish_retry_after(30, "", FUTURE + 1)
    memory.publish_retry_after(31, "e31", FUTURE)
    memory.publish_retry_after(31, "e31", FUTURE + 2)
    memory.publish_retry_after(32, "é" * 21 + "x", FUTURE + 3)
    memory.publish_retry_after(33, "e" * 44, FUTURE + 4)
    memory.publish_retry_after(34, "ended", PAST)
    memory.publish_detached_change()
    memory.close()
    assert (tmp_path / "board-0").read_bytes() == (PLATFORM / "board-0").read_bytes()


def test_written_outages_have_the_stored_bytes(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(outage_store, "stored_time", lambda: PAST)
    written = outage_store.OutageStore(tmp_path, error_raising_logger())
    written.outage_began(20, "", 12.5)
    for endpoint, destination, rate, ramp in (("e21-é", 21, 0.1, FUTURE - PAST), ("e22", 22, 3.0, 1)):
        written.outage_began(destination, endpoint, rate)
        written.outage_ended(destination, endpoint, rate, ramp)
    assert (tmp_path / "outages").read_bytes() == (PLATFORM / "outages").read_bytes()


def test_written_detached_endpoints_have_the_stored_bytes(tmp_path: Path) -> None:
    for endpoint in ("e3", "e-ü", "gone"):
        DetachedEndpoints(tmp_path, error_raising_logger()).change(endpoint, detached=True)
    assert (tmp_path / "held-endpoints").read_bytes() == (PLATFORM / "held-endpoints").read_bytes()


def test_written_traffic_class_ids_have_the_stored_bytes(tmp_path: Path) -> None:
    TrafficClassIds(tmp_path).write(TrafficClassIds(PLATFORM).read())
    assert (tmp_path / "track-numbers").read_bytes() == (PLATFORM / "track-numbers").read_bytes()


def test_written_imprint_and_lock_have_the_stored_bytes(tmp_path: Path) -> None:
    folder = StateDirectory(tmp_path, "relay-1")
    folder.write(FileConfiguration.read(STORED / "sender.toml").sender.settings.document["classes"])
    folder.close()
    assert (tmp_path / "imprint").read_bytes() == (STANDALONE / "imprint").read_bytes()
    assert (tmp_path / "lock").read_bytes() == b"%d\n" % os.getpid()


def test_written_final_outcomes_have_the_stored_bytes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The written file has the complete lines of both stored files, without those that were cut off."""
    stored = (STANDALONE / "ends.old").read_bytes() + (STANDALONE / "ends").read_bytes()
    lines = [line for line in stored.splitlines(keepends=True) if line.endswith(b"]\n")]
    written = outcome_store.OutcomeStore(tmp_path, MAX_LOG_BYTES, 60_000_000, error_raising_logger())
    for trace_id, state, at, retry_after in map(orjson.loads, lines):
        monkeypatch.setattr(outcome_store, "stored_time", lambda at=at: at)
        written.add(trace_id, FinalState(state), retry_after)
    written.close()
    assert (tmp_path / "ends").read_bytes() == b"".join(lines)
