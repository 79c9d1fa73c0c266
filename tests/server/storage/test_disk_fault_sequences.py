"""Random sequences of disk faults over several processes on one state directory.

Each process has up to four faults of its own, some within a repair, an adoption or the start; it is killed,
or the disk works again before it is.
"""

from __future__ import annotations

import shutil
from contextlib import suppress
from pathlib import Path
from random import Random
from unittest.mock import Mock

import pytest
from support.failing_disk import FOR_GOOD, KILL, SHORT, FailingDisk, KilledError, failing_calls
from support.log_workload import (
    EARLIER_MESSAGES,
    MAX_LOG_BYTES,
    Process,
    SenderHarness,
    at_most_once_messages_run_twice,
    write_earlier_log,
)

from ashpath.server.log_repair import LogRepairer
from ashpath.server.storage.write_ahead_log import WriteAheadLog

SEEDS = range(150)
PROCESSES = 3
MAX_MESSAGES = 120  # of one process
CALLS = ("write", "write", "ftruncate", "replace", "open", "flock", "unlink", "fstat")
KILLED_CALLS = ("write", "ftruncate", "replace", "unlink")


def draw_fault(random: Random) -> FailingDisk:
    call = random.choice(CALLS)
    errors = ["ENOSPC", "EIO"]
    if call == "write":
        errors.append(SHORT)
    if call in KILLED_CALLS and random.random() < 0.3:
        errors.append(KILL)
    first = random.choice((0, 1, 2, 3, random.randint(0, 200)))
    return FailingDisk(call, random.choice(errors), first, random.choice((1, 3, 20, FOR_GOOD)))


class FaultyProcess:
    """One process on a state directory, under faults of the disk."""

    def __init__(self, folder: Path, harness: SenderHarness, random: Random) -> None:
        self.folder = folder
        self.harness = harness
        self.random = random
        self.log: WriteAheadLog | None = None
        self.killed = False

    def run(self, first_number: int) -> int:
        """Runs the process until its end; returns the number of the next message."""
        number = first_number
        faults = [draw_fault(self.random) for _ in range(self.random.randint(1, 4))]
        with failing_calls(*faults):
            try:
                with suppress(OSError):
                    self.log = WriteAheadLog(self.folder, MAX_LOG_BYTES)
                if self.log is None:
                    return number
                process = Process(self.log, self.harness)
                process.restore_some(self.random)
                repairer = LogRepairer(self.log, 1.0, Mock())
                for _ in range(self.random.randint(0, MAX_MESSAGES)):
                    number += 1
                    process.accept(number - 1)
                    if self.random.random() < 0.1:
                        repairer.repair_if_behind()
            except KilledError:
                self.killed = True
        return number

    def check(self, after: WriteAheadLog, owed: set[str]) -> None:
        """Checks the log that the next process would start with."""
        restored = set(after.messages.by_trace_id)
        assert owed <= restored
        if self.killed:
            return  # the killed process could not tell the client or the endpoint what it had written
        assert restored <= self.harness.accepted
        if self.log is not None and not self.log.needs_repair:
            assert restored == set(self.log.messages.by_trace_id)


@pytest.mark.parametrize("seed", SEEDS)
def test_sequence_of_faults_loses_and_repeats_nothing(tmp_path: Path, seed: int) -> None:
    random = Random(seed)
    harness = SenderHarness()
    folder = tmp_path / "0"
    write_earlier_log(folder, harness)
    number = EARLIER_MESSAGES
    for generation in range(1, PROCESSES + 1):
        process = FaultyProcess(folder, harness, random)
        number = process.run(number)
        if process.log is not None and not process.killed:
            process.log.adopt()  # the disk works again, and the adopter looks for orphans
        owed = harness.accepted - harness.ended
        shutil.copytree(folder, tmp_path / "check")
        after = WriteAheadLog(tmp_path / "check", MAX_LOG_BYTES)
        process.check(after, owed)
        harness.accepted |= set(after.messages.by_trace_id)
        after.close()
        shutil.rmtree(tmp_path / "check")
        folder = Path(shutil.copytree(folder, tmp_path / f"{generation}"))
        if process.log is not None:
            process.log.close()
    last = WriteAheadLog(folder, MAX_LOG_BYTES)
    Process(last, harness).restore()
    last.close()
    assert harness.accepted == harness.ended
    assert at_most_once_messages_run_twice(harness) == []
