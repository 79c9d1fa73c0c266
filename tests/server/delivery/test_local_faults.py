"""Connections that fail on this machine say nothing of a destination.

Seen: with ENOBUFS or EADDRNOTAVAIL at connect, endpoints that were well were treated as down: each failure
opened a breaker for a second, and messages were deferred that had time left.
Cause: of all errnos only those of descriptors were told apart from an outage of the far end, and an attempt
that was not sent was begun again at once, until its message had none left.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import gevent
from gevent import Timeout
from support.world import World, until

from ashpath.emulator.fault_injection.call_faults import CallFault, FaultyCall, ProcessFaults

ERRORS = ("ENOBUFS", "EADDRNOTAVAIL", "ENOMEM", "ENETUNREACH", "EMFILE", "EAGAIN")
FAILING_CONNECTS = 24
MESSAGES = 40
TIME_LEFT_MS = 4000


def run_with_failing_connects(folder: Path, error: str) -> str:
    """What was wrong with one sender, all of whose connects fail for a while."""
    folder.mkdir()
    world = World(folder)
    fault = CallFault(FaultyCall.CONNECT, error, skip=2, count=FAILING_CONNECTS)  # discovery has its own
    world.faults = ProcessFaults((fault,))
    try:
        world.start()
        names = [f"m{number}" for number in range(MESSAGES)]
        for number, name in enumerate(names):
            world.submit(name, "free", "200", number % 4, time_left_ms=TIME_LEFT_MS)
            gevent.sleep(0.02)
        with suppress(Timeout), Timeout(TIME_LEFT_MS / 1000):
            until(lambda: all(world.attempt_count(name) for name in names))
        log = (folder / "log").read_text()
        missing = sum(not world.attempt_count(name) for name in names)
        breakers = log.count("breaker open") + log.count("ailing")
        return f"{missing} not delivered, {breakers} breakers" if missing or breakers else ""
    finally:
        world.stop()


def test_local_connect_faults_delay_messages_without_opening_breakers(tmp_path: Path) -> None:
    """Each errno with a sender of its own, side by side."""
    results: dict[str, Callable[[], str]] = {
        error: gevent.spawn(run_with_failing_connects, tmp_path / error, error).get for error in ERRORS
    }
    assert {error: fault for error, get in results.items() if (fault := get())} == {}
