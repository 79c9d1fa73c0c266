"""Shared memory: Retry-After notices and changes of detached endpoints reach the other process at once."""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path

import pytest

from ashpath.server.storage.shared_memory import PublishedUpdates, SharedMemory
from ashpath.server.storage.shared_memory_layout import HEADER, MAX_NOTICES, RetryAfterNotice

NO_UPDATES = PublishedUpdates([], detached_changed=False)


class Processes:
    """The memories of two processes, and of one that starts late."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.old = SharedMemory(directory)
        self.new = SharedMemory(directory)
        self.late = SharedMemory(directory)

    def close(self) -> None:
        self.new.close()
        self.late.close()


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    """Yields the processes and closes `new` and `late`; a test may close `old` itself."""
    made = Processes(tmp_path)
    yield made
    made.close()


def test_each_process_has_memory_of_its_own(processes: Processes) -> None:
    assert processes.new.own is not None
    assert processes.new.own is not processes.old.own
    assert not processes.new.changed()


def test_notice_reaches_other_process_at_its_next_check(processes: Processes) -> None:
    """A Retry-After that one process of a hot upgrade receives also limits the attempts of the other."""
    processes.old.publish_retry_after(7, "x1", 5_000_000)
    assert processes.new.changed()
    notice = RetryAfterNotice(7, "x1", 5_000_000)
    assert processes.new.updates(1_000_000) == PublishedUpdates([notice], detached_changed=False)
    assert not processes.new.changed()
    assert not processes.old.changed()


def test_notice_with_earlier_end_is_not_published(processes: Processes) -> None:
    processes.old.publish_retry_after(7, "x1", 5_000_000)
    processes.new.updates(1_000_000)
    processes.old.publish_retry_after(7, "x1", 4_000_000)
    assert not processes.new.changed()


def test_an_endpoint_id_too_long_for_a_record_binds_its_destination(processes: Processes) -> None:
    processes.old.publish_retry_after(7, "x1", 5_000_000)
    processes.old.publish_retry_after(8, "e" * 200, 6_000_000)
    notice = RetryAfterNotice(8, "", 6_000_000)
    assert notice in processes.new.updates(5_500_000).notices
    assert processes.late.updates(5_500_000).notices == [notice]  # the notice of x1 has ended


def test_change_of_detached_endpoints_is_reported_once(processes: Processes) -> None:
    processes.old.publish_detached_change()
    assert processes.new.updates(0).detached_changed
    assert not processes.new.updates(0).detached_changed


def fill_with_notices(memory: SharedMemory) -> None:
    for number in range(MAX_NOTICES + 5):
        memory.publish_retry_after(number, "y", 10_000_000 + number)


def test_full_memory_drops_the_notices_that_end_first(processes: Processes) -> None:
    processes.old.publish_retry_after(7, "x1", 5_000_000)
    fill_with_notices(processes.old)
    notices = processes.new.updates(0).notices
    assert len(notices) == MAX_NOTICES
    assert {notice.end - 10_000_000 for notice in notices} == set(range(5, MAX_NOTICES + 5))


def tear_first_record(memory: SharedMemory) -> None:
    assert memory.own is not None
    memory.own[HEADER.size + 8] ^= 1
    memory.publish_detached_change()


def test_record_with_wrong_checksum_is_ignored(processes: Processes) -> None:
    fill_with_notices(processes.old)
    tear_first_record(processes.old)
    assert len(processes.new.updates(0).notices) == MAX_NOTICES - 1


def test_new_process_recovers_notices_of_killed_process(processes: Processes) -> None:
    """After a SIGKILL the old process writes nothing more; the next owner of its memory reads the notices."""
    fill_with_notices(processes.old)
    tear_first_record(processes.old)
    processes.old.close()
    reopened = SharedMemory(processes.directory)
    assert len(reopened.updates(0).notices) == MAX_NOTICES - 1
    assert len(processes.late.updates(0).notices) == MAX_NOTICES - 1
    reopened.publish_retry_after(1, "z", 20_000_000)
    assert RetryAfterNotice(1, "z", 20_000_000) in processes.new.updates(0).notices
    reopened.close()


def test_foreign_memory_has_no_notices(tmp_path: Path) -> None:
    (tmp_path / "board-0").write_bytes(b"foreign" * 5000)
    assert SharedMemory(tmp_path, 1).updates(0) == NO_UPDATES


def test_a_full_disk_leaves_a_process_without_memory_of_its_own(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process starts without memory of its own, and can still read updates."""

    def full(*_: object) -> None:
        raise OSError(28, "no space")

    monkeypatch.setattr(os, "posix_fallocate", full)
    memory = SharedMemory(tmp_path)
    memory.publish_retry_after(1, "a", 9)
    assert memory.own is None
    assert memory.updates(0) == NO_UPDATES
