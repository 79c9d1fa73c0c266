"""Delivery policies with one defect each, and one that never lets virtual time advance."""

from __future__ import annotations

from msgspec.structs import replace

from ashpath.core.interface import (
    AttemptOutcome,
    EndpointRecord,
    EndpointStatus,
    LoadReport,
    PolicyActions,
    PolicySettings,
)
from ashpath.core.messages import Message
from ashpath.policy.delivery_policy import DeliveryPolicy
from ashpath.policy.destination import Destination
from ashpath.policy.gate import Gate


class UnreportedFailurePolicy(DeliveryPolicy):
    """Reports no final outcome for the messages that it gives up."""

    def finish_undelivered(self, message: Message) -> None:
        self.finish(message)


class LongDeduplicationWindowPolicy(DeliveryPolicy):
    """Assumes a deduplication window four times as long as the real one."""

    def __init__(self, settings: PolicySettings, actions: PolicyActions) -> None:
        traffic_classes = tuple(
            replace(one, deduplication_window=4 * one.deduplication_window)
            for one in settings.traffic_classes
        )
        super().__init__(replace(settings, traffic_classes=traffic_classes), actions)


class RemovalIgnoringPolicy(DeliveryPolicy):
    """Ignores the removal of endpoints."""

    def update_endpoints(self, rows: list[EndpointRecord], complete: bool) -> None:
        super().update_endpoints([row for row in rows if row.status is EndpointStatus.ACTIVE], complete)
        for row in rows:
            if row.status is EndpointStatus.REMOVED and row.destination in self.destinations:
                destination = self.destinations[row.destination]
                destination.endpoints = [
                    destination.known_endpoints.get(row.endpoint_id) or destination.endpoints[0]
                ]

    def still_valid(self, message_id: int, now: int) -> bool:
        return True


class RetryAfterOnlyGate(Gate):
    """Closes for a Retry-After only."""

    def opens_at(self, now: int) -> int | None:
        return self.retry_after_until if now < self.retry_after_until else None


class UnlimitedPolicy(DeliveryPolicy):
    """Has no slow start, no circuit breaker and no limit."""

    def new_destination(self, number: int) -> Destination:
        destination = super().new_destination(number)
        destination.gate.__class__ = RetryAfterOnlyGate
        return destination


class UnorderedPolicy(DeliveryPolicy):
    """Treats ordered messages as unordered."""

    def submit(
        self, message_id: int, number: int, traffic_class: int, key: int | None, time_left: int
    ) -> None:
        super().submit(message_id, number, traffic_class, None, time_left)


class RetryAfterIgnoringPolicy(DeliveryPolicy):
    """Ignores Retry-After and limit reports."""

    def attempt_finished(
        self,
        message_id: int,
        outcome: AttemptOutcome,
        retry_after: int,
        final: bool,
        report: LoadReport | None,
    ) -> None:
        super().attempt_finished(message_id, outcome, 0, final, None)


class TimerRepeatingPolicy(DeliveryPolicy):
    """Schedules each timer again at once."""

    def timer_fired(self, token: str) -> None:
        self.actions.schedule_timer(self.now, token)
