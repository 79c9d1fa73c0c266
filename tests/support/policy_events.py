"""Events for a policy under test, to be passed to `PolicyHarness.run_batch`."""

from __future__ import annotations

from collections.abc import Callable

from ashpath.core.interface import AttemptOutcome, LoadReport
from ashpath.policy.delivery_policy import DeliveryPolicy

PolicyEvent = Callable[[DeliveryPolicy], None]


def timer_fired(token: str) -> PolicyEvent:
    return lambda policy: policy.timer_fired(token)


def attempt_finished(
    message_id: int, outcome: AttemptOutcome, retry_after: int, finished: bool, report: LoadReport | None
) -> PolicyEvent:
    return lambda policy: policy.attempt_finished(message_id, outcome, retry_after, finished, report)


def restore_outage(outage_key: tuple[int, str], rate: float) -> PolicyEvent:
    return lambda policy: policy.restore_outage(*outage_key, rate)
