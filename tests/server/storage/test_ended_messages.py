"""The table of ended messages: retention, its bound, and its records in the write-ahead log."""

from __future__ import annotations

import pytest

from ashpath.core.time_units import SECOND
from ashpath.server.storage import ended_messages
from ashpath.server.storage.ended_messages import MAX_ENTRIES, RETENTION, EndedMessages
from ashpath.server.timers import stored_time


def table(*trace_ids: str, deadline: int | None = None) -> EndedMessages:
    made = EndedMessages()
    for trace_id in trace_ids:
        made.add(trace_id, stored_time() + SECOND if deadline is None else deadline)
    return made


def test_message_is_known_until_its_retention_is_over(monkeypatch: pytest.MonkeyPatch) -> None:
    ended = table("a")
    assert "a" in ended
    later = stored_time() + SECOND + RETENTION
    for offset, is_known in ((-SECOND // 10, True), (SECOND // 10, False)):
        monkeypatch.setattr(ended_messages, "stored_time", lambda offset=offset: later + offset)
        assert ("a" in ended) is is_known
    ended.add("b", later + SECOND)
    assert len(ended) == 1
    assert "c" not in table("c", deadline=0)


def test_oldest_messages_are_evicted_and_counted() -> None:
    ended = table(*map(str, range(MAX_ENTRIES + 2)))
    assert len(ended) == MAX_ENTRIES
    assert ended.evicted == 2
    assert "1" not in ended
    assert "2" in ended


def test_records_have_the_latest_messages_that_fit() -> None:
    ended = table("a", "b", "c")
    whole = b"".join(ended.records(10_000))
    assert [name in whole for name in (b'"a"', b'"b"', b'"c"')] == [True] * 3
    part = b"".join(ended.records(len(whole) - 1))
    assert [name in part for name in (b'"a"', b'"b"', b'"c"')] == [False, True, True]
    assert not list(ended.records(0))
