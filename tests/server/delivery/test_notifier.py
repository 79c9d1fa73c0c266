"""Pending notifications, and the notifier without a receiver."""

from __future__ import annotations

from unittest.mock import Mock

import gevent
import pytest
from support.notifications import ended_message

from ashpath.server.delivery.notifier import NullNotifier, PendingNotifications, encode_batch


def test_batch_of_oldest_notifications_stays_pending() -> None:
    pending = PendingNotifications(Mock())
    messages = [ended_message(f"m{n}") for n in range(5)]
    for message in messages:
        pending.add(message)
    assert pending.wait_for_batch(3) == messages[:3]
    assert pending.wait_for_batch(3) == messages[:3]
    assert pending.has_pending


def test_wait_for_batch_blocks_until_message_is_added() -> None:
    pending = PendingNotifications(Mock())
    waiting = gevent.spawn(pending.wait_for_batch, 3)
    gevent.sleep(0)
    assert not waiting.ready()
    message = ended_message("late")
    pending.add(message)
    assert waiting.get(timeout=5) == [message]


def test_acknowledged_messages_leave_the_write_ahead_log() -> None:
    log = Mock()
    pending = PendingNotifications(log)
    first, second = ended_message("first"), ended_message("second")
    pending.add(first)
    pending.add(second)
    pending.acknowledge([first])
    log.record_finished.assert_called_once_with(first)
    assert pending.wait_for_batch(9) == [second]
    pending.acknowledge([second])
    assert not pending.has_pending


@pytest.mark.parametrize(("key", "waits"), [(1, True), (2, False)])
def test_message_waits_for_acknowledgement_of_its_ordering_key(key: int, waits: bool) -> None:
    pending = PendingNotifications(Mock())
    pending.add(ended_message("ended", ordering_key=1))
    acknowledged = pending.next_acknowledgement(ended_message("next", ordering_key=key))
    assert (acknowledged is not None) == waits
    pending.acknowledge(list(pending.pending))
    assert acknowledged is None or acknowledged.is_set()
    assert pending.next_acknowledgement(ended_message("next", ordering_key=1)) is None


def test_batch_is_encoded_as_one_line_per_message() -> None:
    batch = [ended_message("a"), ended_message("b")]
    assert encode_batch(batch) == (
        b'{"id":"a","status":"undeliverable"}\n{"id":"b","status":"undeliverable"}\n'
    )


def test_null_notifier_leaves_nothing_pending() -> None:
    log = Mock()
    notifier = NullNotifier(log)
    message = ended_message("a")
    notifier.add(message)
    log.record_finished.assert_called_once_with(message)
    assert not notifier.has_pending
