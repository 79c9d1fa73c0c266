"""Timers: in which order they fire, and when the loop looks again."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest
from support.world import wait_until

from ashpath.server.timers import Timers, now

FAR = 3_600_000_000  # microseconds: not within a test


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


def test_all_that_are_due_fire_together_in_the_order_of_their_times(
    timers: Timers, listener: RecordingListener
) -> None:
    due = now() - 10
    timers.add(due + 2, "second")
    timers.add(due, "first")
    timers.add(due + 2, "third, as it was scheduled later")
    wait_until(lambda: listener.calls)
    assert listener.calls == [["first", "second", "third, as it was scheduled later"]]


def test_a_timer_fires_once(timers: Timers, listener: RecordingListener) -> None:
    timers.add(now(), "once")
    wait_until(lambda: listener.calls)
    timers.add(now(), "later")
    wait_until(lambda: len(listener.calls) == 2)
    assert listener.calls == [["once"], ["later"]]


def test_an_earlier_timer_is_not_held_up_by_one_that_is_waited_for(
    timers: Timers, listener: RecordingListener
) -> None:
    timers.add(now() + FAR, "far")
    gevent.sleep(0)  # the loop waits for it now
    timers.add(now(), "near")
    wait_until(lambda: listener.calls)
    assert listener.calls == [["near"]]
    assert [timer.token for timer in timers.heap] == ["far"]


def test_the_time_to_the_next_one() -> None:
    timers = Timers(RecordingListener())
    assert timers.seconds_to_next(5) is None
    timers.add(2_500_005, "a")
    assert timers.seconds_to_next(5) == 2.5
