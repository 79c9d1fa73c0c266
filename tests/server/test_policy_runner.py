"""Batches of the policy: recording of attempts, order of a key, duplicates."""

from __future__ import annotations

import errno
from http import HTTPStatus
from time import monotonic

import gevent
import pytest
from support.stages import read_request
from support.world import LIMITS, World, request, until

from ashpath.server.http.admission import AdmissionResult
from ashpath.server.http.connection import HttpConnection
from ashpath.server.http.messages import HttpRequest
from ashpath.server.platform_deployment import create_runtime
from ashpath.server.storage.stored_message import StoredMessage


def test_the_same_message_again_with_its_call_out(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """Its client left before the 202 was out, and submits it again: no second call beside the first, over a
    kill neither, as the ledger knows of the call until it has its outcome."""
    for name, value in world.environment().items():
        monkeypatch.setenv(name, value)
    sender = create_runtime()[0].sender
    sender.delivery.policy_runner.restore(list(sender.delivery.registry.records.values()))
    data = request("a", "once", "slow 200", 1)
    entry = sender.clients.admission.parser.parse(read_request(data))
    assert sender.clients.admission.admit(entry) == AdmissionResult(HTTPStatus.ACCEPTED)
    until(lambda: world.count("a") == 1)
    sender.delivery.policy_runner.client_disconnected(entry)
    assert sender.clients.admission.admit(
        sender.clients.admission.parser.parse(read_request(data))
    ) == AdmissionResult(HTTPStatus.CONFLICT)
    assert (
        sender.delivery.write_ahead_log.live[entry.message_id].in_flight_since is not None
        and not sender.delivery.policy_runner.messages
    )
    until(lambda: not sender.delivery.policy_runner.attempts)
    assert not sender.delivery.write_ahead_log.live and not sender.delivery.policy_runner.abandoned
    assert sender.clients.admission.admit(
        sender.clients.admission.parser.parse(read_request(data))
    ) == AdmissionResult(HTTPStatus.ACCEPTED)
    until(lambda: world.count("a") == 2 and not sender.delivery.policy_runner.attempts)


def test_the_next_of_a_key_waits_for_the_notice_of_the_one_before(world: World) -> None:
    """Guards the order of a key: a message given up is over once the platform has heard, and no sooner, also
    where a restart finds its notice owed."""
    seen: list[tuple[str, bool]] = []
    answer = world.answer

    def note(wire: HttpConnection, call: HttpRequest) -> bool:
        seen.append((call.headers[b"x-trace-id"].decode(), bool(world.told("one"))))
        return answer(wire, call)

    world.answer = note  # type: ignore[method-assign]
    world.deaf = 10**6
    world.start()
    assert world.hand_in("one", "tag", "hang", 1, left=700, key="k") == 202
    assert world.hand_in("two", "tag", "200", 1, key="k") == 202
    assert world.hand_in("other", "tag", "200", 2, key="j") == 202
    until(lambda: world.deaf < 10**6 - 2)  # its notice is owed, and was turned away
    until(lambda: world.count("other"))
    world.kill()
    world.start()
    until(lambda: world.deaf < 10**6 - 6)
    assert not world.count("two")
    world.deaf = 0
    until(lambda: world.count("two"))
    assert ("two", True) in seen and ("two", False) not in seen


def test_a_disk_that_is_full_for_a_moment(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards what was taken on: no call is made unrecorded, and no try is spent within the same turn."""
    for name, value in world.environment().items():
        monkeypatch.setenv(name, value)
    sender = create_runtime()[0].sender
    sender.delivery.policy_runner.restore(list(sender.delivery.registry.records.values()))
    record, refused = sender.delivery.write_ahead_log.record_attempt, []

    def shot(entry: StoredMessage, at: int, endpoint: str) -> None:
        if len(refused) < 3:
            refused.append(monotonic())
            raise OSError(errno.ENOSPC, "no space")
        record(entry, at, endpoint)

    monkeypatch.setattr(sender.delivery.write_ahead_log, "record_attempt", shot)
    entry = sender.clients.admission.parser.parse(read_request(request("a", "once", "200", 1)))
    gevent.get_hub().loop.update_now()  # the start took a while, and its timers count from before
    assert sender.clients.admission.admit(entry) == AdmissionResult(HTTPStatus.ACCEPTED) and len(refused) == 1
    until(lambda: world.count("a") == 1 and not sender.delivery.write_ahead_log.live)
    assert len(refused) == 3 and refused[2] - refused[0] > 1.5 * LIMITS.retry_s
