"""Timers: in which order they fire, and when the loop looks again."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest
from support.world import until

from ashpath.server.timers import Timers, now

HOUR_US = 3_600_000_000  # microseconds: not within a test


class RecordingListener:
    """Remembers what fired, a list for each call."""

    def __init__(self) -> None:
        self.calls: list[list[str]] = []

    def timers_fired(self, tokens: list[str]) -> None:
        self.calls.append(tokens)


@pytest.fixture
def listener() -> RecordingListener:
    return RecordingListener()


@pytest.fixture
def timers(listener: RecordingListener) -> Iterator[Timers]:
    """Timers whose loop runs."""
    running = Timers(listener)
    greenlet = gevent.spawn(running.run)
    yield running
    greenlet.kill()


def test_due_timers_fire_together_in_order_of_time(timers: Timers, listener: RecordingListener) -> None:
    due = now() - 10
    timers.add(due + 2, "second")
    timers.add(due, "first")
    timers.add(due + 2, "third, as it was scheduled later")
    until(lambda: listener.calls)
    assert listener.calls == [["first", "second", "third, as it was scheduled later"]]


def test_timer_fires_only_once(timers: Timers, listener: RecordingListener) -> None:
    timers.add(now(), "once")
    until(lambda: listener.calls)
    timers.add(now(), "later")
    until(lambda: len(listener.calls) == 2)
    assert listener.calls == [["once"], ["later"]]


def test_earlier_timer_fires_while_a_later_one_is_awaited(
    timers: Timers, listener: RecordingListener
) -> None:
    timers.add(now() + HOUR_US, "far")
    gevent.sleep(0)  # the loop waits for it now
    timers.add(now(), "near")
    until(lambda: listener.calls)
    assert listener.calls == [["near"]]
    assert [timer.token for timer in timers.heap] == ["far"]


def test_seconds_to_next_timer_are_computed() -> None:
    timers = Timers(RecordingListener())
    assert timers.seconds_to_next(5) is None
    timers.add(2_500_005, "a")
    assert timers.seconds_to_next(5) == 2.5
