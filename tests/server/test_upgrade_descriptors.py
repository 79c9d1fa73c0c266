"""The limit of descriptors over hot upgrades of real processes, beside crowds of clients."""

from __future__ import annotations

import copy
import resource
import signal
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from functools import partial

import gevent
import pytest
from gevent import socket
from support.sender_harness import SenderHarness, free_address, wait_until

from ashpath.emulator.process_sockets import open_sockets

HANGING_DESTINATIONS = range(16)  # of 40
SLOTS = 51
MAX_OPEN = 1000  # messages; more than wait for the endpoints that hang
USUAL_CLIENTS = 20
SUBMIT_INTERVAL_S = 0.2  # of each usual client
PATIENCE_S = 2.0  # of a usual client for its response
REDIAL_S = 0.1  # of a silent client
WATCH_INTERVAL_S = 0.02
CALM_S = 1.5  # before each upgrade; a process that drains has not ended by then: three overlap
BESIDE_EACH_OTHER_S = 1.0  # before a process is killed, which drains no client
TIME_LEFT_MS = 4000


class Play:
    """Usual clients, silent ones, and a count of the sockets of all processes."""

    def __init__(self, first: SenderHarness, silent_clients: int) -> None:
        self.harness = first
        self.processes = [first]
        self.most = 0
        self.statuses: Counter[int] = Counter()
        self.greenlets = [gevent.spawn(self.count)]
        self.greenlets += [gevent.spawn(self.stay_silent) for _ in range(silent_clients)]
        self.greenlets += [
            gevent.spawn(partial(self.submit_often, number)) for number in range(USUAL_CLIENTS)
        ]

    def count(self) -> None:
        """Counts at each interval, until it is killed."""
        while True:
            ids = [process.process.pid for process in self.processes if process.process is not None]
            self.most = max(self.most, len(open_sockets(ids)))
            gevent.sleep(WATCH_INTERVAL_S)

    def submit_often(self, client: int) -> None:
        """Submits messages until it is killed."""
        number = 0
        while True:
            number += 1
            destination = (client + number * USUAL_CLIENTS) % len(self.harness.members)
            body = "hang" if destination in HANGING_DESTINATIONS else "200"
            status = 0
            with suppress(gevent.Timeout), gevent.Timeout(PATIENCE_S):
                status = self.harness.submit(f"m{client}-{number}", "free", body, destination, TIME_LEFT_MS)
            self.statuses[status] += 1
            gevent.sleep(SUBMIT_INTERVAL_S)

    def stay_silent(self) -> None:
        """Connects and says nothing, again and again."""
        while True:
            with suppress(OSError), socket.create_connection(self.harness.address) as connection:
                connection.recv(1)
            gevent.sleep(REDIAL_S)

    def upgrade(self, end_signal: signal.Signals) -> None:
        """Starts a further process, and ends the last one with a signal."""
        old = self.processes[-1]
        new = copy.copy(old)
        new.control_address = free_address()
        new.start()
        self.processes.append(new)
        assert old.process is not None
        if end_signal is signal.SIGKILL:
            gevent.sleep(BESIDE_EACH_OTHER_S)
        old.process.send_signal(end_signal)


@pytest.fixture
def many_descriptors() -> Iterator[None]:
    """Lets this process, which has the other ends of all connections, hold as many as it may."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


# Each process of an upgrade held as many sockets as the sender may: 294 to 303 of 256 (review/8).
@pytest.mark.usefixtures("many_descriptors")
@pytest.mark.parametrize(
    ("sockets", "silent_clients", "end_signal"),
    [
        pytest.param(256, 0, signal.SIGTERM, id="256, no crowd"),
        pytest.param(256, 256, signal.SIGTERM, id="256, silent crowd"),
        pytest.param(256, 256, signal.SIGKILL, id="256, silent crowd, SIGKILL"),
        pytest.param(1024, 1024, signal.SIGTERM, id="1024, silent crowd"),
    ],
)
def test_processes_of_two_upgrades_hold_no_more_sockets_than_one_sender_may(
    pair: tuple[SenderHarness, SenderHarness],
    sockets: int,
    silent_clients: int,
    end_signal: signal.Signals,
) -> None:
    current, _ = pair
    current.kill()
    current.config["limits"] = current.config["limits"] | {"sockets": sockets, "disk_mb": 3}
    settings = copy.deepcopy(current.config["settings"])
    settings["specifics"]["slots"] = SLOTS
    settings["limits"]["max-open"] = MAX_OPEN
    current.config["settings"] = settings
    current.configure()
    current.start()
    play = Play(current, silent_clients)
    try:
        for _ in range(2):
            gevent.sleep(CALM_S)
            play.upgrade(end_signal)
        ended = [process.process for process in play.processes[:-1]]
        wait_until(lambda: all(process is None or process.poll() is not None for process in ended))
        gevent.sleep(CALM_S)
    finally:
        gevent.killall(play.greenlets)
        for process in play.processes:
            if process.process is not None:
                process.process.kill()
                process.process.wait()
        current.process = None
    assert play.most <= sockets
    assert play.statuses[202] > 0
    if not silent_clients:
        assert play.statuses.keys() == {202}
