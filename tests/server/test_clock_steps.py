"""Deadlines and windows measure elapsed time, also across a restart with a stepped wall clock.

Guards against stored times that are compared with the wall clock at a restart: after a kill, a clock one hour
ahead made the sender give up messages that had most of their time left, and a clock one hour back put their
deadlines off by an hour.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import gevent
from gevent import Timeout
from support.sender_harness import SenderHarness, wait_until

from ashpath.emulator.fault_injection.call_faults import ClockStep, ProcessFaults

HOUR_S = 3600.0
LONG_MS, SHORT_MS = 20_000, 2_500
NOTIFICATION_DUE_S = 3.5  # after the restart, for the message with the short deadline


def run_with_clock_step(folder: Path, step_s: float) -> str:
    """Kills a sender that has two messages, restarts it with a stepped clock, and returns the faults seen."""
    folder.mkdir()
    harness = SenderHarness(folder)
    try:
        harness.start()
        harness.submit("long", "free", "hang 200", 1, time_left_ms=LONG_MS)
        harness.submit("short", "free", "hang hang hang hang", 2, time_left_ms=SHORT_MS)
        wait_until(lambda: harness.attempt_count("long") and harness.attempt_count("short"))
        harness.kill()
        harness.faults = ProcessFaults(clock=(ClockStep(0.0, step_s),))
        harness.start()
        with suppress(Timeout), Timeout(NOTIFICATION_DUE_S):
            wait_until(lambda: harness.attempt_count("long") == 2 and harness.notified("short"))
        given_up = bool(harness.notified("long")) or harness.attempt_count("long") < 2
        late = not harness.notified("short")
        return f"long given up: {given_up}, short late: {late}" if given_up or late else ""
    finally:
        harness.stop()


def test_restart_with_stepped_clock_keeps_deadlines(tmp_path: Path) -> None:
    """Steps of seconds and of an hour run concurrently, each with a sender of its own."""
    results: dict[float, Callable[[], str]] = {
        step_s: gevent.spawn(run_with_clock_step, tmp_path / str(step_s), step_s).get
        for step_s in (-HOUR_S, -30.0, 0.0, 30.0, HOUR_S)
    }
    assert {step_s: fault for step_s, get in results.items() if (fault := get())} == {}
