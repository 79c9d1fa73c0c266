"""Hot upgrades between the release before the renaming of packages and this tree, in both directions.

The earlier release runs from `tests/fixtures/releases`. Both processes share the listening socket and the
state directory. Guards against lost and duplicate messages, and against detached endpoints and Retry-After
that only one of the processes observes.
"""

from __future__ import annotations

import signal
from pathlib import Path
from time import monotonic

import gevent
import pytest
from gevent.pool import Group
from support.sender_harness import ROOT, SenderHarness, wait_until
from support.server import terminate

EARLIER = ROOT / "tests" / "fixtures" / "releases" / "ashpath-3949f73.zip"
RELEASES = [(EARLIER, ROOT), (ROOT, EARLIER)]
UPGRADE_IDS = ["to this tree", "back to the earlier release"]


CLIENT_COUNT = 4  # each submits one message at a time


class Load:
    """Clients that submit one message after another until they are stopped.

    The messages are of a class that must not run twice, as repeatable messages are attempted again when a
    kill interrupts their attempt."""

    def __init__(self, harness: SenderHarness, clients: int = CLIENT_COUNT) -> None:
        self.accepted: list[str] = []
        self._harness = harness
        self._running = True
        self._clients = Group()
        for client in range(clients):
            self._clients.spawn(self._submit, client)

    def _submit(self, client: int) -> None:
        number = 0
        while self._running:
            number += 1
            trace = f"load-{client}-{number}"
            if self._harness.submit(trace, "once", "200", 10 + client) == 202:
                self.accepted.append(trace)
            gevent.sleep(0.01)

    def stop(self) -> list[str]:
        """Stops the clients; returns the trace ids of the accepted messages."""
        self._running = False
        self._clients.join()
        return self.accepted


@pytest.mark.parametrize("end_signal", [signal.SIGTERM, signal.SIGKILL], ids=["SIGTERM", "SIGKILL"])
@pytest.mark.parametrize(("first", "second"), RELEASES, ids=UPGRADE_IDS)
def test_upgrade_neither_loses_nor_duplicates_messages(
    pair: tuple[SenderHarness, SenderHarness], first: Path, second: Path, end_signal: signal.Signals
) -> None:
    """The old process ends under load, with messages queued and in flight."""
    old, new = start_with_releases(pair, first, second)
    load = Load(old)
    wait_until(lambda: len(load.accepted) > 20)
    assert old.submit("in-flight", "once", "hang", 1, time_left_ms=8000) == 202
    wait_until(lambda: old.attempt_count("in-flight") == 1)
    new.start()
    assert old.kill(end_signal) == (0 if end_signal is signal.SIGTERM else -signal.SIGKILL)
    before = len(load.accepted)
    wait_until(lambda: len(load.accepted) > before + 20)
    accepted = load.stop()
    # An attempt is recorded before it is sent. After a kill between the two, the attempt counts as possibly
    # run, and the message ends with a notification.
    wait_until(lambda: all(new.attempt_count(trace) or new.notified(trace) for trace in accepted))
    assert [trace for trace in accepted if new.attempt_count(trace) > 1] == []
    unattempted = [trace for trace in accepted if not new.attempt_count(trace)]
    assert all(new.notified(trace) == ["undeliverable"] for trace in unattempted)
    assert len(unattempted) <= (0 if end_signal is signal.SIGTERM else CLIENT_COUNT)
    wait_until(lambda: new.notified("in-flight"))
    assert new.notified("in-flight") == ["undeliverable"]
    assert new.attempt_count("in-flight") == 1


@pytest.mark.parametrize(("first", "second"), RELEASES, ids=UPGRADE_IDS)
def test_detached_endpoint_applies_to_both_processes(
    pair: tuple[SenderHarness, SenderHarness], first: Path, second: Path
) -> None:
    """Endpoints that an operator detaches at either process get no attempt from the other."""
    old, new = start_with_releases(pair, first, second)
    new.start()
    assert new.operator_command(b"DETACH e5\n").startswith(b"OK")
    assert old.operator_command(b"DETACH e6\n").startswith(b"OK")
    terminate(old)
    for destination in (5, 6):
        assert new.submit(f"detached-{destination}", "free", "200", destination, time_left_ms=2500) == 202
    wait_until(lambda: new.notified("detached-5") and new.notified("detached-6"))
    assert new.attempt_count("detached-5") == new.attempt_count("detached-6") == 0


@pytest.mark.parametrize(("first", "second"), RELEASES, ids=UPGRADE_IDS)
def test_retry_after_applies_to_both_processes(
    pair: tuple[SenderHarness, SenderHarness], first: Path, second: Path
) -> None:
    """The process that received the Retry-After is killed; the other sends nothing to that destination
    until it has passed. The process is killed because an orderly shutdown would wait for the Retry-After
    itself."""
    old, new = start_with_releases(pair, first, second)
    new.start()
    assert old.submit("rejected", "free", "wait 200", 7) == 202
    wait_until(lambda: old.attempt_count("rejected") == 1)
    received = monotonic()
    old.kill()
    assert new.submit("next", "free", "200", 7) == 202
    assert monotonic() - received < 1.0
    wait_until(lambda: new.attempt_count("next") == 1)
    assert monotonic() - received > 1.8


def start_with_releases(
    pair: tuple[SenderHarness, SenderHarness], first: Path, second: Path
) -> tuple[SenderHarness, SenderHarness]:
    """Restarts the first process of the pair from release `first`; the second, of `second`, is not started
    yet."""
    old, new = pair
    terminate(old)
    old.release = first
    new.release = second
    old.start()
    return old, new
