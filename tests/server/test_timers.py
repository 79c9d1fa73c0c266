"""Timers: the order in which they fire, and how long the loop waits."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest
from support.sender_harness import wait_until

from ashpath.server.timers import Timers, now

HOUR_US = 3_600_000_000  # later than the end of any test


class RecordingListener:
    """Records the tokens that fired, one list per call."""

    def __init__(self) -> None:
        self.calls: list[list[str]] = []

    def timers_fired(self, tokens: list[str]) -> None:
        self.calls.append(tokens)


@pytest.fixture
def listener() -> RecordingListener:
    return RecordingListener()


@pytest.fixture
def timers(listener: RecordingListener) -> Iterator[Timers]:
    """Timers with a running loop."""
    running = Timers(listener)
    greenlet = gevent.spawn(running.run)
    yield running
    greenlet.kill()


def test_due_timers_fire_together_in_order_of_time(timers: Timers, listener: RecordingListener) -> None:
    due = now() - 10
    timers.add(due + 2, "second")
    timers.add(due, "first")
    timers.add(due + 2, "third, as it was scheduled later")
    wait_until(lambda: listener.calls)
    assert listener.calls == [["first", "second", "third, as it was scheduled later"]]


def test_timer_fires_only_once(timers: Timers, listener: RecordingListener) -> None:
    timers.add(now(), "once")
    wait_until(lambda: listener.calls)
    timers.add(now(), "later")
    wait_until(lambda: len(listener.calls) == 2)
    assert listener.calls == [["once"], ["later"]]


def test_earlier_timer_fires_while_a_later_one_is_awaited(
    timers: Timers, listener: RecordingListener
) -> None:
    timers.add(now() + HOUR_US, "far")
    gevent.sleep(0)  # from here on the loop waits for this timer
    timers.add(now(), "near")
    wait_until(lambda: listener.calls)
    assert listener.calls == [["near"]]
    assert [timer.token for timer in timers.heap] == ["far"]


def test_seconds_to_next_timer_are_computed() -> None:
    timers = Timers(RecordingListener())
    assert timers.seconds_to_next(5) is None
    timers.add(2_500_005, "a")
    assert timers.seconds_to_next(5) == 2.5
