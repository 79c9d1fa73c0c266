"""The descriptor limit and the hot upgrade of a run reach the processes of a real sender."""

from __future__ import annotations

import os
import resource
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random
from time import monotonic

import gevent
import pytest
from support.sender_harness import wait_until

from ashpath.emulator.fault_injection.call_faults import ProcessFaults
from ashpath.emulator.fault_injection.discovery_agent import DiscoveryAgent
from ashpath.emulator.soak.clients import SoakClients
from ashpath.emulator.soak.plan import CROWDING_CLIENTS, FEW_DESCRIPTORS, StopMethod
from ashpath.emulator.soak.records import SoakRecords
from ashpath.emulator.soak.sender import SenderOptions, SoakSender
from ashpath.emulator.soak.settings import soak_settings
from ashpath.emulator.stand_ins import STAND_IN_LIMITS, free_port


@pytest.fixture
def records() -> SoakRecords:
    return SoakRecords()


@contextmanager
def started_sender(folder: Path, options: SenderOptions, records: SoakRecords) -> Iterator[SoakSender]:
    agent = DiscoveryAgent([], STAND_IN_LIMITS)
    sender = SoakSender(
        0,
        free_port(),
        folder / "n0",
        soak_settings(),
        [agent],
        [agent.address],
        options,
        records,
        STAND_IN_LIMITS,
    )
    sender.start()
    wait_until(lambda: records.incarnations[0].ready_at)
    yield sender
    sender.close()
    agent.stop()


@pytest.fixture
def crowded_sender(tmp_path: Path, records: SoakRecords) -> Iterator[SoakSender]:
    with started_sender(tmp_path, SenderOptions(ProcessFaults(), FEW_DESCRIPTORS), records) as sender:
        yield sender


@pytest.fixture
def upgraded_sender(tmp_path: Path, records: SoakRecords) -> Iterator[SoakSender]:
    with started_sender(tmp_path, SenderOptions(ProcessFaults(), upgrades=1), records) as sender:
        yield sender


def descriptor_count(sender: SoakSender) -> int:
    return len(os.listdir(f"/proc/{sender.process_id}/fd"))


def test_crowd_fills_client_connections_of_sender_with_few_descriptors(
    crowded_sender: SoakSender, records: SoakRecords
) -> None:
    """A request is still answered: the crowd takes the descriptors of clients only, and gives way."""
    soft_limit, _ = resource.prlimit(crowded_sender.process_id, resource.RLIMIT_NOFILE)
    assert soft_limit == FEW_DESCRIPTORS
    before = descriptor_count(crowded_sender)
    clients = SoakClients(0, crowded_sender.address, 20.0, 1, records, Random(1), STAND_IN_LIMITS)
    crowd = gevent.spawn(clients.crowd, CROWDING_CLIENTS)
    wait_until(lambda: descriptor_count(crowded_sender) >= before + 20)
    requests = gevent.spawn(clients.run)
    wait_until(lambda: any(one.status == 503 for one in records.submissions.values()))
    assert descriptor_count(crowded_sender) < FEW_DESCRIPTORS
    gevent.killall([crowd, requests])


@pytest.mark.parametrize("how", StopMethod)
def test_hot_upgrade_replaces_process_that_serves(
    upgraded_sender: SoakSender, records: SoakRecords, how: StopMethod
) -> None:
    """Requests are answered before and after it, and the records tell what happened to both processes."""
    clients = SoakClients(0, upgraded_sender.address, 40.0, 1, records, Random(1), STAND_IN_LIMITS)
    requests = gevent.spawn(clients.run)
    wait_until(lambda: any(one.status == 503 for one in records.submissions.values()))
    old_process_id = upgraded_sender.process_id
    upgraded_sender.upgrade(how)
    ended_at = monotonic()
    wait_until(lambda: any(one.sent_at > ended_at and one.status for one in records.submissions.values()))
    requests.kill()
    old, new = records.incarnations
    wait_until(lambda: old.exited_at < monotonic())
    assert upgraded_sender.process_id != old_process_id
    assert old.hands_over
    assert not new.hands_over
    assert new.ready_at < old.end_began_at <= old.exited_at
    assert (old.killed_at < old.exited_at) is (how is StopMethod.KILL)
    assert records.crashes == []
