"""Supervision of a sender's services, and what is left at the end of its run."""

from __future__ import annotations

import os
from collections.abc import Callable
from unittest.mock import Mock

import gevent
import pytest
import structlog
from support.sender_harness import LIMITS, SenderHarness, wait_until

from ashpath.server.errors import StartupError
from ashpath.server.http.listener import ClientListener
from ashpath.server.platform_deployment import create_runtime
from ashpath.server.runtime import SenderRuntime, supervise
from ashpath.server.storage.file_lock import try_lock


def test_failed_service_is_started_again() -> None:
    failures: list[Exception | None] = [StartupError("x"), None]

    def service() -> None:
        failure = failures.pop(0)
        if failure is not None:
            raise failure

    supervise(service, 0.01, structlog.get_logger())
    assert not failures


def runtime_in_this_process(harness: SenderHarness, monkeypatch: pytest.MonkeyPatch) -> SenderRuntime:
    """Returns a runtime that is not started yet, and that leaves signals and garbage as they are."""
    for name, value in harness.environment().items():
        monkeypatch.setenv(name, value)
    monkeypatch.setattr("ashpath.server.runtime.gevent.signal_handler", lambda *_: None)
    monkeypatch.setattr("ashpath.server.runtime.enable_garbage_collector", lambda: None)
    return create_runtime()[0]


# A process that adopts the log calls its messages: the log was unlocked while an attempt was out.
def test_run_ends_with_log_locked_and_attempts_given_up(
    harness: SenderHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    runtime = runtime_in_this_process(harness, monkeypatch)
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


# A sender that got SIGTERM while it waited for discovery neither ended nor served (review/7).
@pytest.mark.parametrize("step", ["restore", "listen_with_retries", "listen", "start_services"])
def test_shutdown_that_begins_in_a_step_of_the_start_ends(
    harness: SenderHarness, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    runtime = runtime_in_this_process(harness, monkeypatch)
    sender = runtime.sender
    take_step: Callable[[], object] = getattr(runtime, step)

    def take_step_after_sigterm() -> object:
        gevent.spawn(sender.shutdown.run)
        gevent.sleep(sender.shutdown.limits.accept_after_term_s / 2)
        return take_step()

    monkeypatch.setattr(runtime, step, take_step_after_sigterm)
    with gevent.Timeout(sender.shutdown.limits.end_after_term_s):
        runtime.run()
    assert sender.shutdown.ended.is_set()
    for greenlet in runtime.greenlets:
        greenlet.kill(block=False)
    sender.clients.listener.stop()
    log = sender.delivery.write_ahead_log
    monkeypatch.setattr(log, "close_files", lambda: None)  # they are closed
    log.close()


def test_listener_that_does_not_listen_yet_can_be_stopped(harness: SenderHarness) -> None:
    listener = ClientListener(harness.address, LIMITS.clients, LIMITS.http, Mock(), Mock())
    listener.stop()
    listener.listen()
    listener.stop()
