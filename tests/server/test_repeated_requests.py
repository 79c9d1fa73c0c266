"""A request that comes a second time, on another connection, does not deliver its message again."""

from __future__ import annotations

import signal

import gevent
import pytest
from support.sender_harness import SenderHarness, wait_until

CONFIRMED_S = 1.0  # by then a provisional delivery is confirmed


# A copy of a request that came after the delivery of its message was accepted, and delivered once more.
def test_delivered_message_that_comes_again_is_not_delivered_again(harness: SenderHarness) -> None:
    harness.start()
    assert harness.submit("a", "once", "200", 1) == 202
    wait_until(lambda: harness.attempt_count("a"))
    assert harness.submit("b", "free", "200", 1) == 202
    wait_until(lambda: harness.attempt_count("b"))
    assert harness.submit("a", "once", "200", 1) == 409
    assert harness.submit("c", "free", "200", 1) == 202
    wait_until(lambda: harness.attempt_count("c"))
    assert harness.attempt_count("a") == 1


# The ids of ended messages were forgotten with the process, and by each rewrite of the write-ahead log.
@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGKILL])
def test_copy_is_recognized_after_restarts(harness: SenderHarness, signal_number: signal.Signals) -> None:
    harness.start()
    for trace_id, traffic_class, body in (("a", "once", "200"), ("b", "tag", "200"), ("c", "once", "500")):
        assert harness.submit(trace_id, traffic_class, body, 1) == 202
    wait_until(lambda: all(harness.attempt_count(trace_id) for trace_id in "abc") and harness.notified("c"))
    gevent.sleep(CONFIRMED_S)
    for _ in range(2):  # the second start reads the ids from a rewritten log
        harness.kill(signal_number)
        harness.start()
    assert [harness.submit(trace_id, "once", "200", 1) for trace_id in "abc"] == [409, 409, 409]
    assert harness.submit("a", "free", "200", 1) == 202  # may be repeated, and is delivered once more
    wait_until(lambda: harness.attempt_count("a") == 2)
    assert [harness.attempt_count(trace_id) for trace_id in "bc"] == [1, 1]


def test_message_that_never_ran_is_accepted_again(harness: SenderHarness) -> None:
    """A notice `deferred` tells the client to come again, which it may do under the same id."""
    harness.start()
    assert harness.submit("a", "once", "wait 200", 1, time_left_ms=400) == 202
    wait_until(lambda: harness.notified("a") == ["deferred"])
    wait_until(lambda: harness.submit("a", "once", "wait 200", 1) == 202)
    wait_until(lambda: harness.attempt_count("a") == 2)
