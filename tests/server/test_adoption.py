"""Adoption of the messages that an ended process left in its write-ahead log."""

from __future__ import annotations

from pathlib import Path

import gevent
import structlog
from support.sender_harness import wait_until

from ashpath.server.adoption import OrphanAdopter
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.timers import stored_time

MAX_BYTES = 1 << 20
INTERVAL_S = 0.01
HOUR_US = 3_600_000_000


class RecordingAdopter:
    """Records the messages of each call of `adopt`, one list per call."""

    def __init__(self) -> None:
        self.calls: list[list[StoredMessage]] = []

    def adopt(self, messages: list[StoredMessage]) -> None:
        self.calls.append(messages)


def test_messages_are_adopted_after_their_process_ends(tmp_path: Path) -> None:
    """Messages are adopted in the order in which they were accepted, and not while their process runs."""
    other_log = WriteAheadLog(tmp_path, MAX_BYTES)
    own_log = WriteAheadLog(tmp_path, MAX_BYTES)
    for number in (1, 2):
        message = StoredMessage(number, f"t{number}", 0, 1, None, None, stored_time() + HOUR_US, b"body")
        assert other_log.record_submitted(message)
    assert own_log.adopt() == []  # the other process still runs
    adopter = RecordingAdopter()
    greenlet = gevent.spawn(
        OrphanAdopter(own_log, adopter, INTERVAL_S, INTERVAL_S, structlog.get_logger()).run
    )
    try:
        other_log.close()
        wait_until(lambda: adopter.calls)
    finally:
        greenlet.kill()
        own_log.close()
    assert [[message.trace_id for message in messages] for messages in adopter.calls] == [["t1", "t2"]]


# A message whose time ended just after its process was notified up to 0.5 s late (issue 81; REPORT-2).
def test_log_of_process_that_ends_in_an_upgrade_is_adopted_at_the_short_interval(tmp_path: Path) -> None:
    other_log = WriteAheadLog(tmp_path, MAX_BYTES)
    own_log = WriteAheadLog(tmp_path, MAX_BYTES)
    message = StoredMessage(0, "t1", 0, 1, None, None, stored_time() + HOUR_US, b"body")
    assert other_log.record_submitted(message)
    adopter = RecordingAdopter()
    greenlet = gevent.spawn(OrphanAdopter(own_log, adopter, 3600.0, INTERVAL_S, structlog.get_logger()).run)
    try:
        gevent.sleep(5 * INTERVAL_S)
        assert not adopter.calls
        other_log.close()
        wait_until(lambda: adopter.calls)
    finally:
        greenlet.kill()
        own_log.close()
    assert not own_log.has_living_others
