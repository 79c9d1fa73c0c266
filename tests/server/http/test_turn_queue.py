"""Turns of clients without an accepted message, between other events of the loop."""

from __future__ import annotations

from time import monotonic

import gevent

from ashpath.server.http.turn_queue import TurnQueue

TURN_S = 0.002


def work(turns: TurnQueue, count: int, done: list[int], number: int) -> None:
    """Takes turns that each hold the event loop for a while."""
    for _ in range(count):
        turns.wait()
        until = monotonic() + TURN_S
        while monotonic() < until:
            pass
        done.append(number)


def test_other_events_wait_for_one_slice_at_most() -> None:
    """Guards against a crowd whose turns all come before the next event of another client."""
    turns = TurnQueue(slice_s=TURN_S)
    done: list[int] = []
    crowd = [gevent.spawn(work, turns, 10, done, number) for number in range(20)]
    turns_between = []
    while not all(greenlet.dead for greenlet in crowd):
        before = len(done)
        gevent.sleep(0.0001)  # an event of the loop, not a callback
        turns_between.append(len(done) - before)
    assert len(done) == 200
    assert max(turns_between[1:]) <= 2


def test_turns_are_taken_in_order() -> None:
    turns = TurnQueue(slice_s=0.0)
    done: list[int] = []
    gevent.joinall([gevent.spawn(work, turns, 2, done, number) for number in range(3)])
    assert done == [0, 1, 2, 0, 1, 2]


def test_greenlet_that_gave_up_its_wait_costs_no_turn() -> None:
    turns = TurnQueue(slice_s=60.0)
    done: list[int] = []
    waiting = gevent.spawn(work, turns, 1, done, 3)
    gevent.sleep(0)  # it is in the queue
    waiting.kill(block=False)
    gevent.spawn(work, turns, 1, done, 7).join()
    assert done == [7]
