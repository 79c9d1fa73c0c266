"""Hot upgrades between the release before the packages were renamed and this tree, forth and back.

The earlier release runs out of `fixtures/releases`. Both processes share the listening socket and the state
directory: no message may be lost or doubled, and what one is told binds the other.
"""

from __future__ import annotations

import signal
from pathlib import Path
from time import monotonic

import gevent
import pytest
from gevent.pool import Group
from support.server import terminate
from support.world import ROOT, World, until

EARLIER = ROOT / "tests" / "fixtures" / "releases" / "ashpath-3949f73.zip"
RELEASES = [(EARLIER, ROOT), (ROOT, EARLIER)]
UPGRADE_IDS = ["to this tree", "back to the earlier release"]


CLIENT_COUNT = 4  # each with one message at a time


class Load:
    """Clients that submit one message after another, until they are stopped.

    None of the messages may run twice: one that may is called again where its call was out as the process was
    killed, as it should be."""

    def __init__(self, world: World, clients: int = CLIENT_COUNT) -> None:
        self.accepted: list[str] = []
        self._world = world
        self._running = True
        self._clients = Group()
        for client in range(clients):
            self._clients.spawn(self._submit, client)

    def _submit(self, client: int) -> None:
        number = 0
        while self._running:
            number += 1
            trace = f"load-{client}-{number}"
            if self._world.submit(trace, "once", "200", 10 + client) == 202:
                self.accepted.append(trace)
            gevent.sleep(0.01)

    def stop(self) -> list[str]:
        """The ids of what was accepted."""
        self._running = False
        self._clients.join()
        return self.accepted


@pytest.mark.parametrize("end_signal", [signal.SIGTERM, signal.SIGKILL], ids=["SIGTERM", "SIGKILL"])
@pytest.mark.parametrize(("first", "second"), RELEASES, ids=UPGRADE_IDS)
def test_upgrade_neither_loses_nor_duplicates_messages(
    pair: tuple[World, World], first: Path, second: Path, end_signal: signal.Signals
) -> None:
    """Under load, with messages queued and in flight at the process that ends."""
    old, new = start_with_releases(pair, first, second)
    load = Load(old)
    until(lambda: len(load.accepted) > 20)
    assert old.submit("in-flight", "once", "hang", 1, time_left_ms=8000) == 202
    until(lambda: old.attempt_count("in-flight") == 1)
    new.start()
    assert old.kill(end_signal) == (0 if end_signal is signal.SIGTERM else -signal.SIGKILL)
    before = len(load.accepted)
    until(lambda: len(load.accepted) > before + 20)
    accepted = load.stop()
    # An attempt is recorded before it is sent: one that the kill kept from being sent may have run, as far as
    # the record says, and ends by its notice.
    until(lambda: all(new.attempt_count(trace) or new.notified(trace) for trace in accepted))
    assert [trace for trace in accepted if new.attempt_count(trace) > 1] == []
    unattempted = [trace for trace in accepted if not new.attempt_count(trace)]
    assert all(new.notified(trace) == ["undeliverable"] for trace in unattempted)
    assert len(unattempted) <= (0 if end_signal is signal.SIGTERM else CLIENT_COUNT)
    until(lambda: new.notified("in-flight"))
    assert new.notified("in-flight") == ["undeliverable"]
    assert new.attempt_count("in-flight") == 1


@pytest.mark.parametrize(("first", "second"), RELEASES, ids=UPGRADE_IDS)
def test_detached_endpoint_applies_to_both_processes(
    pair: tuple[World, World], first: Path, second: Path
) -> None:
    """Endpoints that an operator detaches at either."""
    old, new = start_with_releases(pair, first, second)
    new.start()
    assert new.operator_command(b"DETACH e5\n").startswith(b"OK")
    assert old.operator_command(b"DETACH e6\n").startswith(b"OK")
    terminate(old)
    for destination in (5, 6):
        assert new.submit(f"detached-{destination}", "free", "200", destination, time_left_ms=2500) == 202
    until(lambda: new.notified("detached-5") and new.notified("detached-6"))
    assert new.attempt_count("detached-5") == new.attempt_count("detached-6") == 0


@pytest.mark.parametrize(("first", "second"), RELEASES, ids=UPGRADE_IDS)
def test_retry_after_applies_to_both_processes(pair: tuple[World, World], first: Path, second: Path) -> None:
    """Received by a process that is killed then: its successor sends nothing to that destination until it is
    over. A process that ends in order would wait for it itself."""
    old, new = start_with_releases(pair, first, second)
    new.start()
    assert old.submit("rejected", "free", "wait 200", 7) == 202
    until(lambda: old.attempt_count("rejected") == 1)
    received = monotonic()
    old.kill()
    assert new.submit("next", "free", "200", 7) == 202
    assert monotonic() - received < 1.0
    until(lambda: new.attempt_count("next") == 1)
    assert monotonic() - received > 1.8


def start_with_releases(pair: tuple[World, World], first: Path, second: Path) -> tuple[World, World]:
    """The pair, its first process of one release and its second, not started yet, of the other."""
    old, new = pair
    terminate(old)
    old.release = first
    new.release = second
    old.start()
    return old, new
