"""The effect of each log record on the table of live messages."""

from __future__ import annotations

import pytest

from ashpath.server.storage.live_messages import GROWTH_BYTES, LiveMessages
from ashpath.server.storage.record_codec import (
    AttemptFinished,
    AttemptStarted,
    MessageFinished,
    MessageSubmitted,
    Record,
)
from ashpath.server.storage.stored_message import StoredMessage

SIZE = 100  # bytes of a record


def submitted(message_id: int = 1, trace_id: str = "t") -> MessageSubmitted:
    return MessageSubmitted(StoredMessage(message_id, trace_id, 0, 1, None, None, 7, b""))


def table(*records: Record) -> LiveMessages:
    messages = LiveMessages()
    for record in records:
        messages.apply(record, SIZE)
    return messages


def test_a_submitted_message_is_live() -> None:
    messages = table(submitted(3, "trace"))
    assert messages.live[3] is messages.by_trace_id["trace"]
    assert messages.last_id == 3
    assert messages.reserved_bytes == SIZE + len("trace") + GROWTH_BYTES


def test_a_started_attempt_is_in_flight() -> None:
    message = table(submitted(), AttemptStarted(1, 77, "e1")).live[1]
    assert message.attempts == 1
    assert message.in_flight_since == 77
    assert message.in_flight_endpoint == "e1"


def test_attempt_that_cannot_have_run_leaves_only_its_count() -> None:
    message = table(submitted(), AttemptStarted(1, 77, "e1"), AttemptFinished(1, False)).live[1]
    assert message.attempts == 1
    assert message.in_flight_since is None
    assert message.in_flight_endpoint == ""
    assert message.first_run_at is None


def test_the_first_attempt_that_may_have_run_is_remembered() -> None:
    attempts: list[Record] = []
    for at, endpoint in ((77, "e1"), (78, "e2")):
        attempts += [AttemptStarted(1, at, endpoint), AttemptFinished(1, True)]
    message = table(submitted(), *attempts).live[1]
    assert message.first_run_at == 77
    assert message.first_run_endpoint == "e1"


def test_a_finished_message_with_a_notice_stays_live() -> None:
    messages = table(submitted(), MessageFinished(1, "notice"))
    assert messages.live[1].finished
    assert messages.live[1].notice == "notice"


@pytest.mark.parametrize("before", [[], [MessageFinished(1, "notice")]])
def test_finished_message_without_notice_is_removed(before: list[Record]) -> None:
    messages = table(submitted(), *before, MessageFinished(1, None))
    assert not messages.live
    assert not messages.by_trace_id
    assert messages.reserved_bytes == 0
    assert messages.last_id == 1


@pytest.mark.parametrize(
    "record", [AttemptStarted(2, 77, "e1"), AttemptFinished(2, True), MessageFinished(2, "notice")]
)
def test_record_of_message_that_is_not_live_is_ignored(record: Record) -> None:
    messages = table(submitted(), record)
    assert list(messages.live) == [1]
    assert messages.live[1].attempts == 0
