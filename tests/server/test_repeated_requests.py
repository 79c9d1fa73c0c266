"""A request that comes a second time, on another connection, does not deliver its message again."""

from __future__ import annotations

from support.sender_harness import SenderHarness, wait_until


# A copy of a request that came after the delivery of its message was accepted, and delivered once more.
def test_delivered_message_that_comes_again_is_not_delivered_again(harness: SenderHarness) -> None:
    harness.start()
    assert harness.submit("a", "once", "200", 1) == 202
    wait_until(lambda: harness.attempt_count("a"))
    assert (
        harness.submit("b", "free", "200", 1) == 202
    )  # the outcome of the first is recorded by its delivery
    wait_until(lambda: harness.attempt_count("b"))
    assert harness.submit("a", "once", "200", 1) == 202
    assert harness.submit("c", "free", "200", 1) == 202
    wait_until(lambda: harness.attempt_count("c"))
    assert harness.attempt_count("a") == 1
