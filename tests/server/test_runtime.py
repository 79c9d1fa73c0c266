"""Supervision of a sender's services, and what is left at the end of its run."""

from __future__ import annotations

import os

import gevent
import pytest
import structlog
from support.sender_harness import SenderHarness, wait_until

from ashpath.server.errors import StartupError
from ashpath.server.platform_deployment import create_runtime
from ashpath.server.runtime import supervise
from ashpath.server.storage.file_lock import try_lock


def test_failed_service_is_started_again() -> None:
    failures: list[Exception | None] = [StartupError("x"), None]

    def service() -> None:
        failure = failures.pop(0)
        if failure is not None:
            raise failure

    supervise(service, 0.01, structlog.get_logger())
    assert not failures


# A process that adopts the log calls its messages: the log was unlocked while an attempt was out.
def test_run_ends_with_log_locked_and_attempts_given_up(
    harness: SenderHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name, value in harness.environment().items():
        monkeypatch.setenv(name, value)
    monkeypatch.setattr("ashpath.server.runtime.gevent.signal_handler", lambda *_: None)
    monkeypatch.setattr("ashpath.server.runtime.enable_garbage_collector", lambda: None)
    runtime = create_runtime()[0]
    log = runtime.sender.delivery.write_ahead_log
    running = gevent.spawn(runtime.run)
    wait_until(lambda: harness.submit("out", "free", "hang", 1) == 202)
    wait_until(lambda: harness.attempt_count("out"))
    (attempt,) = runtime.sender.delivery.policy_runner.attempts.values()

    def send_more() -> None:
        """Replaces the close of the files, as this process runs on and may write to them."""
        assert attempt.connection is not None
        with pytest.raises(BrokenPipeError):
            attempt.connection.sock.send(b"x")

    monkeypatch.setattr(log, "close_files", send_more)
    runtime.sender.shutdown.ended.set()
    running.get()
    log_lock = os.open(harness.folder / "state" / "journal.lock", os.O_RDWR)
    assert not try_lock(log_lock)
    os.close(log_lock)
    for greenlet in runtime.greenlets:
        greenlet.kill(block=False)
    runtime.sender.clients.listener.stop()
    monkeypatch.setattr(log, "close_files", lambda: None)
    log.close()
