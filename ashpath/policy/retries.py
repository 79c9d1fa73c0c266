"""Decides whether a message may be sent again, and how an undelivered message is answered."""

from __future__ import annotations

from ashpath.core.interface import RetrySafety
from ashpath.core.messages import Message
from ashpath.core.sender_state import SenderState
from ashpath.policy import tuning


def may_be_sent(state: SenderState, message: Message) -> bool:
    """Returns whether an attempt is safe, and has time to succeed once a gate opens.

    Restored messages without an attempt wait only for a Retry-After, not for a gate that may open later than
    their deadline.
    """
    destination = message.destination
    untried = message.restored_untried and not message.attempts
    sent_at = state.now + destination.opens_in(only_retry_after=untried)
    expected = destination.queues.expected_duration(message.traffic_class)
    if message.deadline_at - sent_at <= expected:
        return False
    if message.attempts >= state.settings.max_attempts > 0:
        return False
    retry_safety = message.traffic_class.settings.retry_safety
    if message.first_run is None or retry_safety is RetrySafety.IDEMPOTENT:
        return True
    return retry_safety is RetrySafety.DEDUPLICATED and sent_at < retry_window_end(state, message)


def retry_window_end(state: SenderState, message: Message) -> int:
    """Returns the latest time in microseconds at which a retry may start and still be recognized as a repeat.

    The connect timeout is subtracted, as the retry may need a new connection.
    """
    started_at = message.first_run.started_at if message.first_run else state.now
    window = message.traffic_class.settings.deduplication_window
    return started_at + window - state.settings.connect_timeout


def re_evaluation_time(state: SenderState, message: Message) -> int:
    """Returns when a queued message is re-evaluated, in microseconds.

    The time is its latency objective, its deadline or the end of its deduplication window, less the expected
    duration of a call.
    """
    expected = message.destination.queues.expected_duration(message.traffic_class)
    at = message.objective_at
    if at - expected <= state.now:
        at = message.deadline_at
    if message.first_run and message.traffic_class.settings.retry_safety is RetrySafety.DEDUPLICATED:
        at = min(at, retry_window_end(state, message) + expected)
    return max(state.now, at - expected)


def answer_undelivered(state: SenderState, message: Message) -> None:
    """Rejects a message that is safe to submit again, with a Retry-After; fails any other."""
    retry_safety = message.traffic_class.settings.retry_safety
    if message.first_run is None or retry_safety is RetrySafety.IDEMPOTENT:
        opens_in = max(tuning.DEFAULT_RETRY_AFTER, message.destination.opens_in())
        state.actions.reject(message.message_id, min(state.settings.max_retry_after, opens_in))
    else:
        state.actions.fail(message.message_id)
