"""The interfaces between the simulation and the policy that it runs.

The delivery policy and the baselines implement `PolicyUnderTest`. A `PolicyFactory` creates a policy for
each incarnation of a sender. `GlobalView` gives access to state that no real policy can see; only the oracle
uses this access.
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
    """A policy, as a sender calls it. Events are reported between `begin_batch` and `end_batch`.

    `still_valid` is a query, not an event, and is called outside batches. Times are in microseconds.
    `ashpath.core.interface` has the actions that a policy requests in return.
    """

    def begin_batch(self, now: int) -> None:
        """Begins a batch of events at time `now`."""

    def end_batch(self) -> None:
        """Ends the batch, after which the policy takes its decisions."""

    def update_endpoints(self, records: list[EndpointRecord], complete: bool) -> None:
        """Applies reported endpoints; `complete` means that all others no longer exist."""

    def submit(
        self, message_id: int, number: int, traffic_class: int, key: int | None, time_left: int
    ) -> None:
        """Submits an accepted message, `time_left` before its deadline."""

    def restore(
        self,
        message_id: int,
        number: int,
        traffic_class: int,
        key: int | None,
        time_left: int,
        previous: PreviousAttempts,
    ) -> None:
        """Restores a message that the previous incarnation accepted."""

    def restore_outage(self, number: int, endpoint_id: str, rate: float) -> None:
        """Restores an outage of a destination or endpoint that the previous incarnation detected.

        `rate` is the rate of deliveries before the outage, per second.
        """

    def still_valid(self, message_id: int, now: int) -> bool:
        """Returns whether an attempt may still be sent once its connection is established."""

    def attempt_finished(
        self,
        message_id: int,
        outcome: AttemptOutcome,
        retry_after: int,
        final: bool,
        report: LoadReport | None,
    ) -> None:
        """Reports an attempt's outcome.

        `retry_after` is 0 if the response has no Retry-After. If `final`, the message must not be sent again.
        """

    def client_disconnected(self, message_id: int) -> None:
        """Reports that the client no longer waits for a message."""

    def timer_fired(self, token: str) -> None:
        """Reports that a timer of the policy is due."""


class GlobalView(Protocol):
    """The true state of destinations and the network, over all senders."""

    def destination(self, number: int) -> DestinationModel:
        """Returns the model of a destination."""

    def is_split(self, sender: int, destination: int) -> bool:
        """Returns whether the network between a sender and a destination is partitioned."""

    def calls_in_flight(self, destination: int) -> int:
        """Returns the number of all senders' calls to a destination that have no outcome yet."""

    def calls_on_the_way(self, destination: int) -> int:
        """Returns the number of calls in flight that have not reached the destination."""

    def recent_recovery_calls(self, destination: int) -> int:
        """Returns the number of calls that count towards a collapse of a recovering destination."""


class PolicyFactory(Protocol):
    """Creates the policy of one incarnation of a sender."""

    def __call__(
        self, settings: PolicySettings, actions: PolicyActions, view: GlobalView, /
    ) -> PolicyUnderTest:
        """Returns a policy without endpoints and messages."""
