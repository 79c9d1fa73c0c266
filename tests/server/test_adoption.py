"""Adoption of what a process that is gone left in its write-ahead log."""

from __future__ import annotations

from pathlib import Path

import gevent
import structlog
from support.world import wait_until

from ashpath.server.adoption import OrphanAdopter
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.timers import stored_time

MAX_BYTES = 1 << 20
INTERVAL_S = 0.01
HOUR_US = 3_600_000_000


class RecordingAdopter:
    """Remembers what it is to go on with, a list for each call."""

    def __init__(self) -> None:
        self.calls: list[list[StoredMessage]] = []

    def adopt(self, messages: list[StoredMessage]) -> None:
        self.calls.append(messages)


def test_messages_are_adopted_once_their_process_is_gone(tmp_path: Path) -> None:
    """In the order in which they were accepted; not while the process lives."""
    theirs = WriteAheadLog(tmp_path, MAX_BYTES)
    ours = WriteAheadLog(tmp_path, MAX_BYTES)
    for number in (1, 2):
        message = StoredMessage(number, f"t{number}", 0, 1, None, None, stored_time() + HOUR_US, b"body")
        assert theirs.record_submitted(message)
    assert ours.adopt() == []  # their process still lives
    adopter = RecordingAdopter()
    greenlet = gevent.spawn(OrphanAdopter(ours, adopter, INTERVAL_S, structlog.get_logger()).run)
    try:
        theirs.close()
        wait_until(lambda: adopter.calls)
    finally:
        greenlet.kill()
        ours.close()
    assert [[message.trace_id for message in messages] for messages in adopter.calls] == [["t1", "t2"]]
