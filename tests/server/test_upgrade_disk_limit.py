"""The disk limit of all files of the state directory over hot upgrades of real processes under load."""

from __future__ import annotations

import copy
import signal
from collections import Counter
from pathlib import Path
from time import monotonic

import gevent
import pytest
from support.sender_harness import SenderHarness, free_address, wait_until

from ashpath.server.storage.directory_usage import directory_usage

LIMIT_BYTES = 1_000_000  # of `disk_mb` 1, by the smaller reading of a megabyte
RATE = 100  # messages a second
BODY = "200 " * 1800
HANGING_BODY = "hang " * 1400
HANGING_SHARE = 100  # every message of this number goes to the endpoint that hangs
HANGING = 39
START_BYTES = range(150_000, 220_000)  # of the directory as the new process starts
UPGRADES = 2
AFTER_S = 2.0  # a process that drains has not ended by then: three overlap
WATCH_INTERVAL_S = 0.004
TIME_LEFT_MS = 6000


class Play:
    """Clients that submit at a steady rate, and a watch of the directory's size."""

    def __init__(self, harness: SenderHarness) -> None:
        self.harness = harness
        self.folder = harness.folder / "state"
        self.most = 0
        self.statuses: Counter[int] = Counter()
        self.accepted: list[str] = []
        self.greenlets = [gevent.spawn(self.watch), gevent.spawn(self.submit_all)]

    def watch(self) -> None:
        """Measures the directory at each interval until it is killed."""
        while True:
            self.most = max(self.most, sum(directory_usage(self.folder).values()))
            gevent.sleep(WATCH_INTERVAL_S)

    def submit_all(self) -> None:
        """Submits messages until it is killed."""
        number = 0
        began = monotonic()
        while True:
            number += 1
            gevent.spawn(self.submit, number)
            gevent.sleep(max(0.0, began + number / RATE - monotonic()))

    def submit(self, number: int) -> None:
        """Submits one message, and counts the status of the response."""
        hangs = number % HANGING_SHARE == 0
        destination = HANGING if hangs else number % HANGING
        body = HANGING_BODY if hangs else BODY
        status = self.harness.submit(f"m{number}", "free", body, destination, TIME_LEFT_MS)
        self.statuses[status] += 1
        if status == 202:
            self.accepted.append(f"m{number}")

    def stop_submitting(self) -> None:
        """Ends the load; the watch goes on."""
        self.greenlets.pop().kill()

    def unfinished(self) -> list[str]:
        """Returns the accepted messages that have neither been delivered nor notified."""
        notified = {line["id"] for line in self.harness.notifications}
        attempts = self.harness.attempts
        return [trace for trace in self.accepted if trace not in notified and trace not in attempts]


def start_next(process: SenderHarness) -> SenderHarness:
    """Starts one more process of the sender beside the running one."""
    following = copy.copy(process)
    following.control_address = free_address()
    following.start()
    return following


@pytest.mark.parametrize("end_signal", [signal.SIGTERM, signal.SIGKILL], ids=["SIGTERM", "SIGKILL"])
def test_upgrades_under_load_stay_within_disk_limit(
    pair: tuple[SenderHarness, SenderHarness], tmp_path: Path, end_signal: signal.Signals
) -> None:
    """Guards against review/3: the old log stayed, and the new one grew as if it had the disk for itself."""
    current, _ = pair
    current.kill()
    current.config["settings"] = copy.deepcopy(current.config["settings"])
    current.config["settings"]["limits"]["max-open"] = 1000
    current.configure()
    current.start()
    play = Play(current)
    processes = [current]
    ended = []
    try:
        for _ in range(UPGRADES):
            gevent.sleep(AFTER_S)
            with gevent.Timeout(20):
                while sum(directory_usage(tmp_path / "state").values()) not in START_BYTES:
                    gevent.sleep(WATCH_INTERVAL_S)
            processes.append(start_next(processes[-1]))
            ending = processes[-2].process
            assert ending is not None
            ending.send_signal(end_signal)
            ended.append(ending)
        wait_until(lambda: all(process.poll() is not None for process in ended))
        gevent.sleep(AFTER_S)
        play.stop_submitting()
        wait_until(lambda: not play.unfinished())
    finally:
        gevent.killall(play.greenlets)
        for process in processes:
            if process.process is not None:
                process.process.kill()
                process.process.wait()
        current.process = None
    assert play.most <= LIMIT_BYTES
    assert play.statuses[202] > 10 * play.statuses[503], play.statuses
