"""`ashpath ledger` on a write-ahead log whose last record is torn, as after a crash during a write."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest
from support.standalone import StandaloneSender

from ashpath.server.storage.record_codec import MessageFinished, MessageSubmitted
from ashpath.server.storage.stored_message import StoredMessage


@pytest.fixture
def complete_records() -> bytes:
    messages = [StoredMessage(n, f"j{n}", 0, n, None, None, 10**18, b"") for n in range(5)]
    return b"".join(MessageSubmitted(message).encode() for message in messages)


@pytest.fixture
def log(tmp_path: Path, complete_records: bytes) -> Path:
    path = tmp_path / "journal"
    path.write_bytes(complete_records + MessageFinished(1, None).encode()[:-3])
    return path


def test_verify_reports_byte_of_torn_record(
    alone: StandaloneSender, log: Path, complete_records: bytes
) -> None:
    run = alone.run("ledger", "verify", str(log), "--json")
    assert run.returncode == 1
    assert orjson.loads(run.stdout)["byte"] == len(complete_records)


def test_verify_accepts_a_state_directory(
    alone: StandaloneSender, log: Path, complete_records: bytes
) -> None:
    run = alone.run("ledger", "verify", str(log.parent))
    assert f"byte {len(complete_records)}: torn" in run.stdout


def test_show_lists_complete_records_without_changes(
    alone: StandaloneSender, log: Path, complete_records: bytes
) -> None:
    before = log.read_bytes()
    shown = alone.run("ledger", "show", str(log.parent))
    assert shown.returncode == 0
    assert shown.stdout.count("\n") == 6
    assert "torn" in shown.stderr
    assert log.read_bytes() == before
