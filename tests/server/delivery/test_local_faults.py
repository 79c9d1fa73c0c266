"""Connects that fail because of a local fault must not count against a destination.

Failure: with ENOBUFS or EADDRNOTAVAIL at connect, healthy endpoints were treated as down. Each failed connect
opened a circuit breaker for a second, and messages with time left were deferred.
Cause: only the errnos for missing descriptors were distinguished from an outage of the far end, and an
attempt that was not sent was started again at once, until its message had no attempts left.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import gevent
from gevent import Timeout
from support.sender_harness import SenderHarness, wait_until

from ashpath.emulator.fault_injection.call_faults import CallFault, FaultyCall, ProcessFaults

ERRORS = ("ENOBUFS", "EADDRNOTAVAIL", "ENOMEM", "ENETUNREACH", "EMFILE", "EAGAIN")
FAILING_CONNECTS = 24
MESSAGES = 40
TIME_LEFT_MS = 4000


def run_with_failing_connects(folder: Path, error: str) -> str:
    """Runs one sender whose connects fail for a while; returns a description of the faults, or ""."""
    folder.mkdir()
    harness = SenderHarness(folder)
    fault = CallFault(FaultyCall.CONNECT, error, skip=2, count=FAILING_CONNECTS)  # skips discovery's connects
    harness.faults = ProcessFaults((fault,))
    try:
        harness.start()
        names = [f"m{number}" for number in range(MESSAGES)]
        for number, name in enumerate(names):
            harness.submit(name, "free", "200", number % 4, time_left_ms=TIME_LEFT_MS)
            gevent.sleep(0.02)
        with suppress(Timeout), Timeout(TIME_LEFT_MS / 1000):
            wait_until(lambda: all(harness.attempt_count(name) for name in names))
        log = (folder / "log").read_text()
        missing = sum(not harness.attempt_count(name) for name in names)
        breakers = log.count("breaker open") + log.count("ailing")
        return f"{missing} not delivered, {breakers} breakers" if missing or breakers else ""
    finally:
        harness.stop()


def test_local_connect_faults_delay_messages_without_opening_breakers(tmp_path: Path) -> None:
    """Runs one sender for each errno, concurrently."""
    results: dict[str, Callable[[], str]] = {
        error: gevent.spawn(run_with_failing_connects, tmp_path / error, error).get for error in ERRORS
    }
    assert {error: fault for error, get in results.items() if (fault := get())} == {}
