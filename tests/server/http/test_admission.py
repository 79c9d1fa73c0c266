"""Which requests are accepted, and which are rejected and why."""

from __future__ import annotations

import os
from dataclasses import replace
from pathlib import Path

import pytest
from support.stages import desk, parsed
from support.world import LIMITS, TERMS, request

from ashpath.server.delivery.connection_pool import ConnectionPool
from ashpath.server.delivery.endpoint_registry import EndpointRegistry
from ashpath.server.storage.write_ahead_log import BLOCK, WriteAheadLog


def test_id_held_already(tmp_path: Path) -> None:
    """The same id from another client meets no second entry, until the first has its end."""
    take_in, host, ledger = desk(tmp_path)
    admit, first = take_in.admission, parsed(request("i", "free", "200", 1))
    assert admit.admit(admit.parse_request(first)) == (202, 0)
    assert admit.admit(admit.parse_request(parsed(request("i", "once", "500", 1)))) == (409, 0)
    assert len(ledger.live) == 1 and host.seen == ["take i"]
    ledger.record_finished(next(iter(ledger.live.values())))
    assert not ledger.by_trace_id


def test_destinations_served(tmp_path: Path) -> None:
    """A destination between an endpoint and its successor is served; one long without any is forgotten."""
    route = EndpointRegistry(["plain"], ["here"], ConnectionPool(LIMITS), None)
    row = {"id": "e1", "cell": 1, "phase": "up", "host_port": "127.0.0.1:1"}
    route.apply_members([row], whole=True)
    route.apply_members([], whole=True)
    assert route.serves(1) and not route.serves(2)
    route.pool.limits = replace(LIMITS, forget_destination_s=0.0)
    route.apply_members([{**row, "cell": 2}], whole=True)
    assert route.serves(2) and not route.serves(1)


def test_ledger_full(tmp_path: Path) -> None:
    """Never more than the disk holds, old and new file together; a 503 where there is no room, none lost."""
    most = 8 * BLOCK
    take_in, _, ledger = desk(tmp_path, most)
    statuses, sizes, put = [], [], os.replace

    def replacing(new: Path, old: Path) -> None:
        sizes.append(sum(file.stat().st_size + 512 for file in tmp_path.iterdir()))
        put(new, old)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("ashpath.server.storage.write_ahead_log.os.replace", replacing)
        for number in range(60):
            entry = take_in.admission.parse_request(parsed(request(f"f{number}", "free", "200" * 100, 1)))
            statuses.append(take_in.admission.admit(entry)[0])
            if statuses[-1] == 202:
                ledger.record_attempt(entry, 1, "e1")
                ledger.record_outcome(entry, may_have_run=True)
                ledger.record_attempt(entry, 2, "e1")
        assert statuses.count(503) > 20 and statuses.count(202) == len(ledger.live) > 5
        for _ in range(300):
            ledger.record_outcome(entry := next(iter(ledger.live.values())), may_have_run=True)
            ledger.record_attempt(entry, 3, "e1")
    assert sizes and max(sizes) <= most
    ledger.close()
    again = WriteAheadLog(tmp_path, most)
    assert again.live.keys() == ledger.live.keys() and next(iter(again.live.values())).attempts == 302
    for entry in list(again.live.values()):
        again.record_finished(entry)
    assert not again.live and again.reserved == 0


def test_room(tmp_path: Path) -> None:
    take_in, host, ledger = desk(tmp_path)
    host.messages = dict.fromkeys(range(TERMS.queue_capacity))
    entry = take_in.admission.parse_request(parsed(request("r", "free", "200", 1)))
    assert take_in.admission.admit(entry) == (503, 0) and not ledger.live
