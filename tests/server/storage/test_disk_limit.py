"""The disk limit of a state directory, at every disk call of several processes' logs.

Each case plays processes of one sender on one directory, and measures all files of the directory, in whole
blocks, before and after each call that may let a file grow.
"""

from __future__ import annotations

import os
import shutil
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from random import Random

import pytest
from support.failing_disk import KILL, FailingDisk, KilledError, failing_calls

from ashpath.server.storage.directory_lock import PATIENCE_S, DirectoryLock
from ashpath.server.storage.directory_usage import directory_usage
from ashpath.server.storage.disk_usage_layout import FILE_BYTES
from ashpath.server.storage.file_lock import FileLock
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog

MAX_BYTES = 256 << 10
SEEDS = range(40)
STEPS = 1500  # of one seed
GROWING_CALLS = ("write", "replace", "ftruncate")
BODY_BYTES = (0, 200, 3000, 30_000)
FAR_DEADLINE = 2**60


class SizeWatch:
    """The most bytes that the files of a directory took at any disk call."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.most = 0

    def measure(self) -> None:
        usage = directory_usage(self.directory)
        usage.pop("disk-usage", None)  # the logs' limit leaves it out
        self.most = max(self.most, sum(usage.values()))

    @contextmanager
    def watching(self) -> Iterator[None]:
        """Measures at each call within the context."""
        with pytest.MonkeyPatch.context() as patch:
            for name in GROWING_CALLS:
                patch.setattr(os, name, self._wrap(getattr(os, name)))
            yield

    def _wrap(self, real: Callable[..., object]) -> Callable[..., object]:
        def call(*arguments: object) -> object:
            self.measure()
            try:
                return real(*arguments)
            finally:
                self.measure()

        return call


class Processes:
    """The processes of one sender on one directory; all but the last one drain."""

    def __init__(self, directory: Path, random: Random) -> None:
        self.directory = directory
        self.random = random
        self.logs: list[WriteAheadLog] = []
        self.accepted: set[str] = set()
        self.finished: set[str] = set()
        self.number = 0

    def start(self) -> None:
        """Starts a process. As all run in this process, two at most have a log of their own."""
        self.logs.append(WriteAheadLog(self.directory, MAX_BYTES))

    def end_first(self) -> None:
        """Ends the first process; its log stays as it is, as after a SIGKILL."""
        self.logs.pop(0).close()

    def submit(self) -> None:
        """Submits a message to the last process, or, seldom, to another one."""
        log = self.logs[-1] if self.random.random() < 0.9 else self.random.choice(self.logs)
        self.number += 1
        body = b"x" * self.random.choice(BODY_BYTES)
        message_id = log.messages.last_id + 1
        message = StoredMessage(message_id, f"t{self.number}", 0, 1, None, None, FAR_DEADLINE, body)
        if log.record_submitted(message):
            self.accepted.add(message.trace_id)

    def attempt(self) -> None:
        """Makes an attempt for a message, and may finish it, with a notice or without."""
        log = self.random.choice(self.logs)
        if not log.messages.live:
            return
        message = self.random.choice(list(log.messages.live.values()))
        with suppress(OSError):
            log.record_attempt(message, self.number, "endpoint")
        if self.random.random() < 0.4:
            log.record_outcome(message, may_have_run=True)
            return
        if self.random.random() < 0.2:
            log.record_finished(message, "notice")
        self.finished.add(message.trace_id)
        log.record_finished(message)

    def step(self) -> None:
        """Does one thing that senders do."""
        choice = self.random.random()
        if choice < 0.6:
            self.submit()
        elif choice < 0.97:
            self.attempt()
        elif choice < 0.98 and len(self.logs) == 1:
            self.start()
        elif choice < 0.99 and len(self.logs) == 2:
            self.end_first()
        else:
            log = self.random.choice(self.logs)
            log.adopt()
            log.leave_room_for_others()

    def live(self) -> set[str]:
        """Returns the trace ids that the next process finds, from a copy of the directory."""
        copy = self.directory.with_name("copy")
        shutil.copytree(self.directory, copy)
        log = WriteAheadLog(copy, MAX_BYTES)
        live = set(log.messages.by_trace_id)
        log.close()
        shutil.rmtree(copy)
        return live


@pytest.mark.parametrize("seed", SEEDS)
def test_upgrades_stay_within_limit_at_every_call(tmp_path: Path, seed: int) -> None:
    """Guards against the two logs of a hot upgrade that each take the disk as if it were alone (issue 69)."""
    watch = SizeWatch(tmp_path / "state")
    processes = Processes(tmp_path / "state", Random(seed))
    with watch.watching():
        processes.start()
        for _ in range(STEPS):
            processes.step()
    assert watch.most <= MAX_BYTES
    assert processes.accepted - processes.finished <= processes.live()
    assert processes.accepted
    for log in processes.logs:
        log.close()


@pytest.mark.parametrize("seed", SEEDS)
def test_failing_rewrites_and_kills_stay_within_limit(tmp_path: Path, seed: int) -> None:
    """Guards against records that are appended over the limit while the log cannot be rewritten, and against
    copies of killed processes that nobody counts."""
    watch = SizeWatch(tmp_path / "state")
    random = Random(seed)
    processes = Processes(tmp_path / "state", random)
    with watch.watching():
        processes.start()
        for _ in range(STEPS // 50):
            error = random.choice(("EIO", "ENOSPC", KILL))
            disk = FailingDisk(random.choice(("replace", "write", "open")), error, random.randint(0, 40), 3)
            try:
                with failing_calls(disk):
                    for _ in range(50):
                        processes.step()
            except (KilledError, OSError):
                for log in processes.logs:
                    log.close()
                processes.accepted = processes.finished = set()  # a killed process could not tell
                processes.logs.clear()
                processes.start()
    assert watch.most <= MAX_BYTES
    for log in processes.logs:
        log.close()


def submit_until_full(log: WriteAheadLog, prefix: str, body_bytes: int) -> int:
    """Submits messages until one is refused; returns the number of accepted ones."""
    for number in range(10**6):
        message_id = log.messages.last_id + 1
        message = StoredMessage(
            message_id, f"{prefix}{number}", 0, 1, None, None, FAR_DEADLINE, b"x" * body_bytes
        )
        if not log.record_submitted(message):
            return number
    raise AssertionError


@pytest.mark.parametrize("body_bytes", [100, 4000, 40_000])
def test_full_log_is_adopted_beside_another_one(tmp_path: Path, body_bytes: int) -> None:
    """A full log of a killed process is adopted whole, within the limit, by a process that has messages."""
    watch = SizeWatch(tmp_path)
    with watch.watching():
        old = WriteAheadLog(tmp_path, MAX_BYTES)
        accepted = submit_until_full(old, "o", body_bytes)
        for message in list(old.messages.live.values())[: accepted // 3]:
            old.record_finished(message)  # room for a few of the other process
        new = WriteAheadLog(tmp_path, MAX_BYTES)
        submit_until_full(new, "n", body_bytes)
        owed = old.messages.by_trace_id.keys() | new.messages.by_trace_id.keys()
        old.close()
        new.adopt()
        assert set(new.messages.by_trace_id) == owed
        for message in list(new.messages.live.values()):
            new.record_attempt(message, 1, "endpoint")
            new.record_finished(message)
        assert submit_until_full(new, "m", body_bytes) >= accepted - 1
    assert watch.most <= MAX_BYTES
    new.close()


def test_new_process_has_room_that_obsolete_records_of_old_one_took(tmp_path: Path) -> None:
    """Guards against an upgrade that refuses what is new as the old log is large, though little is owed."""
    old = WriteAheadLog(tmp_path, MAX_BYTES)
    alone = submit_until_full(old, "o", 1000)
    for message in list(old.messages.live.values()):
        old.record_finished(message)
    assert old.file.written > MAX_BYTES // 3
    new = WriteAheadLog(tmp_path, MAX_BYTES)
    old.leave_room_for_others()  # as the sender does at intervals, and with each record
    assert submit_until_full(new, "n", 1000) >= alone - 1
    old.close()
    new.close()


def test_slot_of_killed_process_is_freed(tmp_path: Path) -> None:
    """The slots are limited in number; kills at any moment must not use them up."""
    for number in range(40):
        first = WriteAheadLog(tmp_path, MAX_BYTES)
        second = WriteAheadLog(tmp_path, MAX_BYTES)
        message = StoredMessage(1, f"s{number}", 0, 1, None, None, FAR_DEADLINE, b"")
        assert second.record_submitted(message)
        first.close()
        second.close()
    log = WriteAheadLog(tmp_path, MAX_BYTES)
    assert len(log.messages.live) == 40
    assert not log.other_logs_bytes
    assert (tmp_path / "disk-usage").stat().st_size == FILE_BYTES
    log.close()


def test_empty_first_log_is_not_adopted_again_and_again(tmp_path: Path) -> None:
    """Guards against a rewrite of the whole log at each look for orphans, for good after an upgrade."""
    old = WriteAheadLog(tmp_path, MAX_BYTES)
    new = WriteAheadLog(tmp_path, MAX_BYTES)
    assert submit_until_full(new, "n", 1000)
    old.close()
    assert new.adopt() == []
    inode = new.file.path.stat().st_ino
    assert new.adopt() == []
    assert new.file.path.stat().st_ino == inode
    new.close()


def test_lock_that_a_stopped_process_holds_holds_up_one_write_alone(tmp_path: Path) -> None:
    """Guards against a sender that waits at each record while the other process of an upgrade is stopped."""
    log = WriteAheadLog(tmp_path, MAX_BYTES)
    other = DirectoryLock(tmp_path)
    message = StoredMessage(1, "a", 0, 1, None, None, FAR_DEADLINE, b"")
    with other:
        assert not log.record_submitted(message)
        began = time.monotonic()
        assert not any(log.record_submitted(message) for _ in range(20))
        assert time.monotonic() - began < PATIENCE_S
    other.close()
    assert log.record_submitted(message)
    log.close()


def churn(log: WriteAheadLog, count: int, body_bytes: int) -> None:
    """Submits messages and finishes each at once."""
    for number in range(count):
        message_id = log.messages.last_id + 1
        body = b"x" * body_bytes
        message = StoredMessage(message_id, f"c{number}", 0, 1, None, None, FAR_DEADLINE, body)
        if log.record_submitted(message):
            log.record_finished(message)


def submit(log: WriteAheadLog, prefix: str, count: int, body_bytes: int) -> None:
    """Submits messages, each of which has to be accepted."""
    for number in range(count):
        message_id = log.messages.last_id + 1
        body = b"x" * body_bytes
        message = StoredMessage(message_id, f"{prefix}{number}", 0, 1, None, None, FAR_DEADLINE, body)
        assert log.record_submitted(message)


def test_log_of_earlier_release_counts(tmp_path: Path) -> None:
    """A living process of an earlier release has a log and no slot."""
    lock = FileLock(tmp_path / "journal-1.lock")
    assert lock.acquire()
    (tmp_path / "journal-1").write_bytes(b"x" * (MAX_BYTES // 4))
    watch = SizeWatch(tmp_path)
    with watch.watching():
        log = WriteAheadLog(tmp_path, MAX_BYTES)
        churn(log, 200, 3000)
    assert watch.most <= MAX_BYTES
    lock.release()
    log.close()


def test_orphan_is_appended_where_a_rewrite_has_no_room(tmp_path: Path) -> None:
    """The log of a killed process, most of it obsolete, and the live messages leave no room for a copy."""
    watch = SizeWatch(tmp_path)
    with watch.watching():
        old = WriteAheadLog(tmp_path, MAX_BYTES)
        submit(old, "o", 1, 30_000)
        churn(old, 40, 3000)
        new = WriteAheadLog(tmp_path, MAX_BYTES)
        submit(new, "n", 11, 4000)
        old.close()
        assert [message.trace_id for message in new.adopt()] == ["o0"]
    assert watch.most <= MAX_BYTES
    new.close()


def test_either_log_can_be_rewritten_at_any_time(tmp_path: Path) -> None:
    """The room of the largest copy is kept free by the other process too."""
    old = WriteAheadLog(tmp_path, MAX_BYTES)
    submit(old, "o", 22, 4000)
    new = WriteAheadLog(tmp_path, MAX_BYTES)
    submit(new, "n", 5, 4000)
    for _ in range(60):
        churn(new, 1, 1500)
        assert old.repair()
        assert not old.rewrite_failing
    old.close()
    new.close()
