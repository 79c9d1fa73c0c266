"""The interfaces between the simulation and the policy that it runs.

The delivery policy and the baselines stand behind `PolicyUnderTest`. A `PolicyFactory` makes one for each
incarnation of a sender. `GlobalView` is what no real policy can see; the oracle alone looks at it.
"""

from __future__ import annotations

from collections.abc import Set as AbstractSet
from typing import Protocol

from ashpath.core.interface import (
    AttemptOutcome,
    EndpointRecord,
    LoadReport,
    PolicyActions,
    PolicySettings,
    PreviousAttempts,
)
from ashpath.emulator.destination.model import DestinationModel

NOT_RUN_OUTCOMES: AbstractSet[AttemptOutcome] = frozenset(
    {
        AttemptOutcome.OVERLOADED,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.CONNECTION_TABLE_FULL,
        AttemptOutcome.NOT_SENT,
    }
)
"""Outcomes that prove that the attempt had no effect."""


class PolicyUnderTest(Protocol):
    """What a sender reports to its policy, always between `begin_batch` and `end_batch`.

    Times are microseconds. See `ashpath.core.interface` for the actions that a policy asks for in return.
    """

    def begin_batch(self, now: int) -> None:
        """Opens a batch of events at this moment."""

    def end_batch(self) -> None:
        """Closes the batch: the policy decides now."""

    def update_endpoints(self, records: list[EndpointRecord], complete: bool) -> None:
        """Service discovery reported these endpoints; `complete`: and there are no others."""

    def submit(
        self, message_id: int, number: int, traffic_class: int, key: int | None, time_left: int
    ) -> None:
        """A message for a destination was accepted, `time_left` before its deadline."""

    def restore(
        self,
        message_id: int,
        number: int,
        traffic_class: int,
        key: int | None,
        time_left: int,
        previous: PreviousAttempts,
    ) -> None:
        """The previous incarnation had accepted this message."""

    def restore_outage(self, number: int, endpoint_id: str, rate: float) -> None:
        """The previous incarnation saw this destination or endpoint down."""

    def still_valid(self, message_id: int, now: int) -> bool:
        """Whether an attempt may still be sent, now that its connection is open."""

    def attempt_finished(
        self,
        message_id: int,
        outcome: AttemptOutcome,
        retry_after: int,
        final: bool,
        report: LoadReport | None,
    ) -> None:
        """An attempt has its outcome; `retry_after` is its Retry-After, 0 for none."""

    def client_disconnected(self, message_id: int) -> None:
        """Nobody waits for this message any more."""

    def timer_fired(self, token: str) -> None:
        """A timer that the policy scheduled is due."""


class GlobalView(Protocol):
    """The true state of destinations and network, over all senders."""

    def destination(self, number: int) -> DestinationModel:
        """The model of a destination."""

    def is_split(self, sender: int, destination: int) -> bool:
        """Whether the network between the two is cut."""

    def calls_in_flight(self, destination: int) -> int:
        """Calls of all senders that have no outcome."""

    def calls_on_the_way(self, destination: int) -> int:
        """Those of them that have not reached the destination."""

    def recent_recovery_calls(self, destination: int) -> int:
        """Calls that count towards a collapse of a destination that is down or in slow start."""


class PolicyFactory(Protocol):
    """Makes the policy of one incarnation of a sender."""

    def __call__(
        self, settings: PolicySettings, actions: PolicyActions, view: GlobalView, /
    ) -> PolicyUnderTest:
        """A policy that knows no endpoint and no message."""
