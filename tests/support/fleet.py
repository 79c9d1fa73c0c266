"""Simulates the policies of many senders of one destination that fails and recovers, in virtual time.

`ashpath.emulator.recovery_budget` has the limit of calls to the destination. Times are in microseconds.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import cast

from msgspec.structs import replace

from ashpath.core.interface import (
    AttemptOutcome,
    DestinationKindSettings,
    EndpointRecord,
    EndpointStatus,
    LoadReport,
    PolicySettings,
    PreviousAttempts,
    RetrySafety,
    TrafficClassSettings,
)
from ashpath.core.statistics import SECOND
from ashpath.emulator.recovery_budget import TOLERANCE, recovery_budget, with_tolerance
from ashpath.policy.delivery_policy import DeliveryPolicy

RESPONSE_TIME = 200_000  # from a call to its response
REFUSAL_TIME = 1_000
RESTART_TIME = 600_000  # from a kill to the start of the next incarnation
TIME_LEFT = 20 * SECOND  # from the submission of a message to its deadline
FAILING_DESTINATION = 7  # id of the destination that goes down

PolicyEvent = Callable[[DeliveryPolicy], None]


@dataclass
class Fleet:
    """Senders and their common destinations."""

    settings: PolicySettings
    sender_count: int
    capacity: float
    """Calls per second that each destination can process after its warm-up."""
    offered_load: float = 0.7
    """Share of the capacity that all senders together submit to each destination."""
    uneven: bool = True
    """Whether each sender has less of the load than the one before."""
    silent: bool = False
    """Whether the destination, when down, accepts calls and never responds. Otherwise it refuses them."""
    outage: tuple[int, int] = (30 * SECOND, 50 * SECOND)
    ends_at: int = 62 * SECOND
    restarts: tuple[int, ...] = ()
    """Times at which all senders are killed and restarted."""
    seed: int = 1
    destinations: int = 3
    """Number of destinations: the one that goes down, and others that do not."""
    calls: list[int] = field(default_factory=list)
    """Arrival times of calls at the failing destination after its recovery."""
    calls_in_outage: int = 0
    delivered: int = 0

    def __post_init__(self) -> None:
        self.now = 0
        self.random = Random(self.seed)
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.event_count = 0
        self.senders = [FleetSender(self, number) for number in range(self.sender_count)]

    def schedule(self, when: int, action: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (max(when, self.now), self.event_count, action))

    def run(self) -> Fleet:
        weights = [1 / (n + 1) if self.uneven else 1.0 for n in range(self.sender_count)]
        for sender, weight in zip(self.senders, weights, strict=True):
            sender.start(())
            share = weight / sum(weights)
            for destination in range(FAILING_DESTINATION, FAILING_DESTINATION + self.destinations):
                rate = self.offered_load * self.capacity * share
                self.schedule_submission(sender, destination, rate)
        for when in self.restarts:
            for sender in self.senders:
                self.schedule(when, sender.kill)
        while self.events and self.events[0][0] <= self.ends_at:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self

    def schedule_submission(self, sender: FleetSender, destination: int, rate: float) -> None:
        gap = int(self.random.expovariate(rate) * SECOND)
        self.schedule(self.now + gap, lambda: self.submit(sender, destination, rate))

    def submit(self, sender: FleetSender, destination: int, rate: float) -> None:
        self.schedule_submission(sender, destination, rate)
        sender.submit(destination)

    def respond(self, destination: int) -> tuple[AttemptOutcome, int] | None:
        """Returns the outcome of a call that arrives now and its duration; None if there is no response."""
        down_at, recovers_at = self.outage
        if destination != FAILING_DESTINATION or self.now < down_at:
            return AttemptOutcome.DELIVERED, RESPONSE_TIME
        if self.now >= recovers_at:
            self.calls.append(self.now)
            return AttemptOutcome.DELIVERED, RESPONSE_TIME
        self.calls_in_outage += 1
        return None if self.silent else (AttemptOutcome.CONNECT_FAILED, REFUSAL_TIME)

    def budget(self, when: int) -> float:
        """Returns the budget of a window in which the destination has its capacity at `when`."""
        settings = self.settings
        warm = min(1.0, (when - self.outage[1]) / settings.warm_up_time)
        initial = settings.initial_capacity_share
        capacity = self.capacity * (initial + (1 - initial) * warm)
        return recovery_budget(capacity, settings.overload_multiple, settings.overload_duration / SECOND)

    def worst_window(self) -> tuple[float, float]:
        """Returns the calls in the window with the highest load relative to its limit, and that limit.

        The limit is based on the destination's capacity at the window's end.
        """
        worst = (0.0, 1.0)
        for last, when in enumerate(self.calls):
            if when > self.outage[1] + self.settings.warm_up_time:
                break
            window_start = when - self.settings.overload_duration
            count = sum(at > window_start for at in self.calls[: last + 1])
            limit = with_tolerance(self.budget(when), TOLERANCE)
            if count / limit > worst[0] / worst[1]:
                worst = (count, limit)
        return worst


@dataclass
class AcceptedMessage:
    """The state of a message that a sender restores after a kill."""

    destination: int
    deadline_at: int
    attempts: int = 0
    in_flight_since: int | None = None


class FleetSender:
    """One sender: executes the actions of its policy, and restores its accepted messages after a kill."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.incarnation = 0
        self.last_id = number << 32
        self.messages: dict[int, AcceptedMessage] = {}
        self.outages: dict[int, tuple[float, int | None]] = {}
        """By destination: the rate before the outage, and the end of the warm-up, None during the outage.
        A kill does not lose them.
        """
        self.alive = False

    def start(self, restored_ids: tuple[int, ...]) -> None:
        fleet = self.fleet
        self.incarnation += 1
        self.alive = True
        # A string is a valid seed of random.Random.
        seed = cast(int, f"{fleet.seed}/{self.number}/{self.incarnation}")
        self.policy = DeliveryPolicy(
            replace(fleet.settings, sender_index=self.number, sender_count=fleet.sender_count, seed=seed),
            self,
        )
        rows = [
            EndpointRecord(f"x{n}", n, 0, 0, EndpointStatus.ACTIVE, fleet.capacity)
            for n in range(FAILING_DESTINATION, FAILING_DESTINATION + fleet.destinations)
        ]
        outages = [
            restore_outage(destination, rate)
            for destination, (rate, until) in self.outages.items()
            if until is None or until > fleet.now
        ]
        restored = [self.restore(message_id) for message_id in restored_ids]
        self.run_batch(lambda policy: policy.update_endpoints(rows, complete=True), *outages, *restored)

    def restore(self, message_id: int) -> PolicyEvent:
        message = self.messages[message_id]
        since = message.in_flight_since
        endpoint_id = "" if since is None else f"x{message.destination}"
        previous = PreviousAttempts(message.attempts, since, endpoint_id, since is not None)
        time_left = message.deadline_at - self.fleet.now
        message.in_flight_since = None
        return lambda policy: policy.restore(message_id, message.destination, 0, None, time_left, previous)

    def kill(self) -> None:
        self.alive = False
        self.incarnation += 1
        self.fleet.schedule(self.fleet.now + RESTART_TIME, lambda: self.start(tuple(self.messages)))

    def run_batch(self, *events: PolicyEvent) -> None:
        self.policy.begin_batch(self.fleet.now)
        for event in events:
            event(self.policy)
        self.policy.end_batch()

    def submit(self, destination: int) -> None:
        if not self.alive:
            return
        self.last_id += 1
        message_id = self.last_id
        self.messages[message_id] = AcceptedMessage(destination, self.fleet.now + TIME_LEFT)
        self.run_batch(lambda policy: policy.submit(message_id, destination, 0, None, TIME_LEFT))

    def start_attempt(self, message_id: int, endpoint_id: str, timeout: int) -> None:
        message = self.messages[message_id]
        message.attempts += 1
        message.in_flight_since = self.fleet.now
        incarnation = self.incarnation
        self.fleet.schedule(self.fleet.now, lambda: self.arrive(incarnation, message_id, timeout))

    def arrive(self, incarnation: int, message_id: int, timeout: int) -> None:
        if incarnation != self.incarnation:
            return
        response = self.fleet.respond(self.messages[message_id].destination)
        outcome, duration = response or (AttemptOutcome.TIMED_OUT, timeout)
        ends_at = self.fleet.now + min(duration, timeout)
        self.fleet.schedule(ends_at, lambda: self.finish_attempt(incarnation, message_id, outcome))

    def finish_attempt(self, incarnation: int, message_id: int, outcome: AttemptOutcome) -> None:
        if incarnation != self.incarnation:
            return
        delivered = outcome is AttemptOutcome.DELIVERED
        if message_id in self.messages:
            self.messages[message_id].in_flight_since = None
            if delivered:
                del self.messages[message_id]
        self.fleet.delivered += delivered
        reports = delivered and self.fleet.settings.has_load_reports
        report = LoadReport(0.7, self.fleet.capacity) if reports else None
        self.run_batch(lambda policy: policy.attempt_finished(message_id, outcome, 0, delivered, report))

    def reject(self, message_id: int, retry_after: int) -> None:
        del self.messages[message_id]

    def fail(self, message_id: int) -> None:
        del self.messages[message_id]

    def schedule_timer(self, at: int, token: str) -> None:
        incarnation = self.incarnation
        self.fleet.schedule(max(at, self.fleet.now + 1), lambda: self.timer_fired(incarnation, token))

    def timer_fired(self, incarnation: int, token: str) -> None:
        if incarnation == self.incarnation and self.alive:
            self.run_batch(lambda policy: policy.timer_fired(token))

    def cancel_attempt(self, message_id: int, attempt: int) -> None: ...

    def close_idle_connections(self, endpoint_id: str) -> None: ...

    def poll_endpoints(self) -> None: ...

    def publish(self, message: bytes) -> None: ...

    def mode_changed(self, text: str, destination: int, endpoint_id: str, down: bool, rate: float) -> None:
        if down:
            self.outages[destination] = (rate, None)
        elif destination in self.outages and self.outages[destination][1] is None:
            self.outages[destination] = (rate, self.fleet.now + self.fleet.settings.warm_up_time)


def restore_outage(destination: int, rate: float) -> PolicyEvent:
    return lambda policy: policy.restore_outage(destination, "", rate)


TRAFFIC_CLASS = TrafficClassSettings(
    value=1.0,
    latency_objective=3 * SECOND,
    deadline=TIME_LEFT,
    retry_safety=RetrySafety.IDEMPOTENT,
    deduplication_window=0,
    deduplicates_across_zones=True,
    late_value_share=0.3,
    ordered=False,
)
WITH_LOAD_REPORTS = PolicySettings(
    seed=1,
    sender_index=0,
    sender_count=1,
    max_in_flight=16,
    queue_capacity=200,
    max_attempts=12,
    may_cancel=True,
    max_retry_after=3 * SECOND,
    connect_timeout=SECOND,
    idle_timeout=5 * SECOND,
    reports_full_connection_table=True,
    traffic_classes=(TRAFFIC_CLASS,),
    destination_kinds=(DestinationKindSettings(limit_per_endpoint=False, max_batch_size=1),),
    value_halves=True,
    drain_grace=SECOND,
    initial_capacity_share=0.2,
    warm_up_time=10 * SECOND,
    overload_multiple=2.0,
    overload_duration=3 * SECOND,
    settle_time=0,
    poll_interval=0,
    has_load_reports=True,
    has_listed_rates=True,
    gossip_enabled=False,
    zone_costs=(),
)
# Two customers: one with load reports in its responses, and one without, whose listed rates are inexact.
CUSTOMERS = {
    "load reports": WITH_LOAD_REPORTS,
    "no load reports": replace(
        WITH_LOAD_REPORTS,
        has_load_reports=False,
        initial_capacity_share=0.18,
        warm_up_time=12 * SECOND,
        overload_duration=3 * SECOND // 2,
    ),
}
