"""Senders start on data that the code of 2026-12-02 stored on disk; see test_stored_data.py."""

from __future__ import annotations

import shutil
from pathlib import Path

from support.sender_harness import SenderHarness, wait_until
from support.standalone import StandaloneSender
from support.stored_data import STORED

from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog

FINAL_STATES = {
    "s-first": "completed",
    "s-second": "undeliverable",
    "s-third": "withdrawn",
    "s-fourth": "deferred",
    "s-fifth": "completed",
    "s-again": "completed",
    "s-sixth": "undeliverable",
}


def test_platform_sender_finishes_stored_messages(harness: SenderHarness) -> None:
    """A process that starts on the stored state directory ends each message as its traffic class allows."""
    shutil.copytree(STORED / "platform", harness.folder / "state", dirs_exist_ok=True)
    harness.start()
    wait_until(lambda: len(harness.notifications) >= 5 and len(harness.attempts) >= 3)
    reported = {line["id"]: (line["status"], line.get("again_ms")) for line in harness.notifications}
    undeliverable = dict.fromkeys(["p-owed", "p-tried", "p-out", "p-orphan-out"], ("undeliverable", None))
    assert reported == {**undeliverable, "p-deferred": ("deferred", 500)}
    assert set(harness.attempts) == {"p-waiting", "p-ran", "p-ran-and-out"}
    # These messages wait for the endpoint that an operator has detached.
    waiting = ["p-bytes", "p-empty", "p-orphan-waiting"]
    wait_until(lambda: [message.trace_id for message in live_messages(harness)] == waiting)


def live_messages(harness: SenderHarness) -> list[StoredMessage]:
    """Returns the live messages of the running sender's log, read from a copy."""
    copied = harness.folder / f"copy-{len(list(harness.folder.iterdir()))}"
    copied.mkdir()
    shutil.copy(harness.folder / "state" / "journal", copied)
    log = WriteAheadLog(copied, 1 << 20)
    log.close()
    return list(log.messages.live.values())


def test_standalone_sender_reports_stored_final_states(tmp_path: Path) -> None:
    sender = StandaloneSender(tmp_path)
    shutil.copytree(STORED / "standalone", tmp_path / "standalone")
    configuration = (STORED / "sender.toml").read_text()
    sender.file.write_text(configuration.replace("127.0.0.1:8080", f"127.0.0.1:{sender.address[1]}"))
    try:
        sender.start()
        assert {message: sender.state(message) for message in FINAL_STATES} == FINAL_STATES
        # The first attempt of s-ran may have run, and the deduplication window has passed.
        assert sender.state("s-ran") == "undeliverable"
    finally:
        sender.stop()
    imprint = (tmp_path / "standalone" / "imprint").read_bytes()
    assert imprint == (STORED / "standalone" / "imprint").read_bytes()
