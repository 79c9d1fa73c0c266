"""The descriptor limit of a run reaches the process of a real sender, and idle clients crowd that sender."""

from __future__ import annotations

import os
import resource
from collections.abc import Iterator
from pathlib import Path
from random import Random

import gevent
import pytest
from support.world import wait_until

from ashpath.emulator.fault_injection.call_faults import ProcessFaults
from ashpath.emulator.fault_injection.discovery_agent import DiscoveryAgent
from ashpath.emulator.soak.clients import SoakClients
from ashpath.emulator.soak.plan import CROWDING_CLIENTS, FEW_DESCRIPTORS
from ashpath.emulator.soak.records import SoakRecords
from ashpath.emulator.soak.sender import SenderOptions, SoakSender
from ashpath.emulator.soak.settings import soak_settings
from ashpath.emulator.stand_ins import free_port, stand_in_limits

LIMITS = stand_in_limits(descriptors=4096, timeout_s=60.0)


@pytest.fixture
def crowded_sender(tmp_path: Path) -> Iterator[SoakSender]:
    agent = DiscoveryAgent([], LIMITS)
    options = SenderOptions(ProcessFaults(), FEW_DESCRIPTORS)
    records = SoakRecords()
    sender = SoakSender(
        0, free_port(), tmp_path / "n0", soak_settings(), [agent], [agent.address], options, records, LIMITS
    )
    sender.start()
    wait_until(lambda: records.incarnations[0].ready_at)
    yield sender
    sender.kill()
    agent.stop()


def descriptor_count(sender: SoakSender) -> int:
    return len(os.listdir(f"/proc/{sender.process_id}/fd"))


def test_crowd_fills_client_connections_of_sender_with_few_descriptors(crowded_sender: SoakSender) -> None:
    """A request is still answered: the crowd takes the descriptors of clients only, and gives way."""
    soft_limit, _ = resource.prlimit(crowded_sender.process_id, resource.RLIMIT_NOFILE)
    assert soft_limit == FEW_DESCRIPTORS
    before = descriptor_count(crowded_sender)
    records = SoakRecords()
    clients = SoakClients(0, crowded_sender.address, 20.0, 1, records, Random(1), LIMITS)
    crowd = gevent.spawn(clients.crowd, CROWDING_CLIENTS)
    wait_until(lambda: descriptor_count(crowded_sender) >= before + 20)
    requests = gevent.spawn(clients.run)
    wait_until(lambda: any(one.status == 503 for one in records.submissions.values()))
    assert descriptor_count(crowded_sender) < FEW_DESCRIPTORS
    gevent.killall([crowd, requests])
