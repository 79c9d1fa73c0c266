"""The table by which processes tell each other of their descriptors, and the leases that it backs."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from unittest.mock import Mock

import gevent
import pytest
from support.sender_harness import wait_until

from ashpath.policy.descriptor_budget import DescriptorBudget, DescriptorKind, ProcessDescriptors
from ashpath.server.descriptors import SharedDescriptorLeases
from ashpath.server.storage.descriptor_table import SLOTS, TABLE_FILE, DescriptorTable
from ashpath.server.storage.errors import NoDescriptorSlotError

CLIENT = DescriptorKind.CLIENT
USE = ProcessDescriptors(24, (3, 4), (1, 2), draining=True)


def test_processes_see_each_other_until_they_end(tmp_path: Path) -> None:
    first = DescriptorTable(tmp_path)
    second = DescriptorTable(tmp_path)
    assert first.others() == ()
    second.write(USE)
    assert first.others() == (USE,)
    assert second.others() == ()
    second.close()
    assert first.others() == ()


def test_slot_of_killed_process_is_freed_once_its_lock_is_free(tmp_path: Path) -> None:
    table = DescriptorTable(tmp_path)
    child = os.fork()
    if not child:
        killed = DescriptorTable(tmp_path)
        killed.write(USE)
        os._exit(0)  # as a kill: the slot stays as it is
    os.waitpid(child, 0)
    assert table.others() == (USE,)
    table.free_ended()
    assert table.others() == ()


def test_slot_of_living_process_is_kept(tmp_path: Path) -> None:
    first = DescriptorTable(tmp_path)
    second = DescriptorTable(tmp_path)
    second.write(USE)
    first.free_ended()
    assert first.others() == (USE,)


def test_process_beyond_the_slots_gets_an_error(tmp_path: Path) -> None:
    tables = [DescriptorTable(tmp_path) for _ in range(SLOTS)]
    with pytest.raises(NoDescriptorSlotError):
        DescriptorTable(tmp_path)
    tables[3].close()
    DescriptorTable(tmp_path)


def leases(directory: Path, clients: int) -> SharedDescriptorLeases:
    return SharedDescriptorLeases(
        DescriptorTable(directory), DescriptorBudget(48, (clients, 0)), lambda: 24, Mock()
    )


def test_lease_of_other_process_counts_until_the_event_loop_has_closed_its_socket(tmp_path: Path) -> None:
    first, second = leases(tmp_path, 1), leases(tmp_path, 1)
    first.await_room()
    second.await_room()
    lease = first.take(CLIENT)
    assert lease is not None
    assert second.take(CLIENT) is None
    lease.release()
    lease.release()  # has no further effect
    assert second.take(CLIENT) is None
    wait_until(lambda: second.take(CLIENT))
    assert first.take(CLIENT) is None


def test_no_lease_is_taken_while_a_stopped_process_holds_the_lock(tmp_path: Path) -> None:
    own = leases(tmp_path, 1)
    own.await_room()
    stopped = os.open(tmp_path / TABLE_FILE, os.O_RDWR)
    fcntl.flock(stopped, fcntl.LOCK_EX)
    assert own.take(CLIENT) is None
    os.close(stopped)
    assert own.take(CLIENT) is not None


def test_sender_that_wants_nothing_back_stays_below_its_share(tmp_path: Path) -> None:
    old, new = leases(tmp_path, 4), leases(tmp_path, 4)
    old.await_room()
    held = [old.take(CLIENT) for _ in range(4)]
    new.await_room()
    assert not old.surplus(CLIENT)
    assert new.take(CLIENT) is None
    new.want(CLIENT, 3)
    assert new.is_below_share(CLIENT)
    assert old.surplus(CLIENT) == 2  # half of the capacity
    old.begin_draining()
    assert old.surplus(CLIENT) == 3
    for lease in held:
        assert lease is not None
        lease.release()
    gevent.sleep(0.05)
    assert not old.surplus(CLIENT)
