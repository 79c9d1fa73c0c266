"""A message that is adopted ahead of one whose attempt waits for it."""

from __future__ import annotations

from unittest.mock import Mock

import pytest
from msgspec.structs import replace
from support.policy_harness import DEFAULT_SETTINGS

from ashpath.core.interface import (
    AttemptOutcome,
    DestinationKindSettings,
    EndpointRecord,
    EndpointStatus,
    PreviousAttempts,
    RetrySafety,
    TrafficClassSettings,
)
from ashpath.core.time_units import MILLISECOND, SECOND
from ashpath.policy.delivery_policy import DeliveryPolicy

ORDERED = TrafficClassSettings(
    value=1.0,
    latency_objective=2 * SECOND,
    deadline=10 * SECOND,
    retry_safety=RetrySafety.IDEMPOTENT,
    deduplication_window=0,
    deduplicates_across_zones=True,
    late_value_share=0.3,
    ordered=True,
)
SETTLE_TIME = 150 * MILLISECOND
WAITING, ADOPTED, KEY, DESTINATION = 9, 5, 7, 1


@pytest.fixture
def actions() -> Mock:
    return Mock()


@pytest.fixture
def policy(actions: Mock) -> DeliveryPolicy:
    """A policy that has adopted a message while an attempt of a later one of its key waits for it."""
    settings = replace(
        DEFAULT_SETTINGS,
        traffic_classes=(ORDERED,),
        destination_kinds=(DestinationKindSettings(limit_per_endpoint=True, max_batch_size=1),),
        settle_time=SETTLE_TIME,
    )
    policy = DeliveryPolicy(settings, actions)
    policy.begin_batch(0)
    endpoints = [EndpointRecord(name, DESTINATION, 0, 0, EndpointStatus.ACTIVE, 0.0) for name in ("x1", "x2")]
    policy.update_endpoints(endpoints, True)
    policy.submit(WAITING, DESTINATION, 0, KEY, 10 * SECOND)
    policy.end_batch()
    policy.begin_batch(MILLISECOND)
    previous = PreviousAttempts(0, None, "", unresolved=False)
    policy.restore(ADOPTED, DESTINATION, 0, KEY, 10 * SECOND, previous, followers={WAITING})
    policy.end_batch()
    return policy


def finish(policy: DeliveryPolicy, message_id: int, outcome: AttemptOutcome, at: int) -> None:
    policy.begin_batch(at)
    policy.attempt_finished(message_id, outcome, 0, outcome is AttemptOutcome.DELIVERED, None)
    policy.end_batch()


def started(actions: Mock) -> list[int]:
    """Returns the ids of the messages whose attempts were started, in their order."""
    return [call.args[0] for call in actions.start_attempt.call_args_list]


# The attempt of the later message was sent 10 ms after that of the adopted one was given up (drawn day 22).
def test_attempt_that_waited_is_not_sent_while_its_key_rests(policy: DeliveryPolicy, actions: Mock) -> None:
    assert started(actions) == [WAITING, ADOPTED]
    assert not policy.still_valid(WAITING, 2 * MILLISECOND)
    finish(policy, ADOPTED, AttemptOutcome.TIMED_OUT, 10 * MILLISECOND)
    policy.begin_batch(11 * MILLISECOND)
    policy.finish_undelivered(policy.messages[ADOPTED])
    policy.end_batch()
    assert not policy.still_valid(WAITING, SETTLE_TIME)
    assert policy.still_valid(WAITING, SETTLE_TIME + 10 * MILLISECOND)


def test_message_whose_attempt_waited_in_vain_is_not_tried_again_before_the_adopted_one_has_ended(
    policy: DeliveryPolicy, actions: Mock
) -> None:
    finish(policy, WAITING, AttemptOutcome.NOT_SENT, 2 * MILLISECOND)
    assert started(actions) == [WAITING, ADOPTED]
    finish(policy, ADOPTED, AttemptOutcome.DELIVERED, 3 * MILLISECOND)
    assert started(actions) == [WAITING, ADOPTED, WAITING]
