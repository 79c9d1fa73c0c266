"""File notifier: lines written, and retries after failed writes."""

from __future__ import annotations

from pathlib import Path
from unittest.mock import Mock, call

import gevent
import pytest
from support.limits import limits_with
from support.notifications import ended_message
from support.sender_harness import LIMITS, wait_until

from ashpath.server.delivery.file_notifier import FileNotifier
from ashpath.server.delivery.rotating_file import RotatingFile


def test_each_notification_is_one_line_of_the_file(tmp_path: Path) -> None:
    limits = limits_with(notification_batch=2).notifications
    file = RotatingFile(tmp_path / "n", 1000, 1)
    notifier = FileNotifier(file, limits, LIMITS.services.retry_s, Mock(), Mock())
    for trace_id in "abc":
        notifier.add(ended_message(trace_id))
    running = gevent.spawn(notifier.run)
    wait_until(lambda: not notifier.has_pending)
    running.kill()
    lines = (tmp_path / "n").read_text().splitlines()
    assert lines == [f'{{"id":"{trace_id}","status":"undeliverable"}}' for trace_id in "abc"]


def test_failed_write_leaves_notification_pending(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A failed write is logged once and retried; the first successful write after it is logged too."""
    logger, log = Mock(), Mock()
    file = RotatingFile(tmp_path / "n", 1000, 1)
    append = file.append
    failures = [OSError("full"), OSError("full")]

    def fail_first(data: bytes) -> None:
        if failures:
            raise failures.pop()
        append(data)

    monkeypatch.setattr(file, "append", fail_first)
    notifier = FileNotifier(file, LIMITS.notifications, 0.001, log, logger)
    message = ended_message("a")
    notifier.add(message)
    running = gevent.spawn(notifier.run)
    wait_until(lambda: not notifier.has_pending)
    running.kill()
    log.record_finished.assert_called_once_with(message)
    assert (tmp_path / "n").read_text() == '{"id":"a","status":"undeliverable"}\n'
    assert logger.mock_calls == [
        call.error("notifications not written", error="full", pending=1),
        call.info("notifications written again", pending=1),
    ]
