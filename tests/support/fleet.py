"""Simulates the policies of many senders of one destination that fails and recovers, in virtual time.

`ashpath.emulator.recovery_budget` has the limit of calls to the destination. Times are in microseconds.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import NamedTuple, cast

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
from ashpath.core.time_units import SECOND
from ashpath.emulator.recovery_budget import TOLERANCE, allowed_calls, recovery_budget, with_tolerance
from ashpath.policy.delivery_policy import DeliveryPolicy

RESPONSE_TIME = 200_000  # from a call to its response
REFUSAL_TIME = 1_000
RESTART_TIME = 600_000  # from a kill to the start of the next incarnation
TIME_LEFT = 20 * SECOND  # from the submission of a message to its deadline
FAILING_DESTINATION = 7  # id of the destination that goes down

DRAIN_TIME = 7 * SECOND // 2  # from SIGTERM to the end of the process
LATE_LOAD_TIME = SECOND // 2  # from the first messages of a late sender to the recovery
RESUBMISSION_PAUSE = SECOND  # of a client whose rejection has no Retry-After

PolicyEvent = Callable[[DeliveryPolicy], None]
Messages = dict[int, "AcceptedMessage"]
Outages = dict[int, tuple[float, int | None]]
"""By destination: the rate before the outage, and the end of the warm-up, None during the outage."""


class RestartMethod(Enum):
    """How a sender is restarted."""

    KILL = "SIGKILL"
    TERMINATE = "SIGTERM"
    HOT_UPGRADE = "hot upgrade"


class Restart(NamedTuple):
    """One sender is restarted."""

    at: int
    sender: int
    method: RestartMethod


class RecoveryCall(NamedTuple):
    """A call that arrived at the failing destination after its recovery."""

    at: int
    sender: int
    incarnation: int


class ModeChange(NamedTuple):
    """A change of mode that a sender's policy reported."""

    at: int
    sender: int
    incarnation: int
    text: str


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
    single_restarts: tuple[Restart, ...] = ()
    resubmissions: int = 0
    """The number of times a client submits a message again after a rejection."""
    listed_rate_factor: float = 1.0
    """The rate in the endpoint list, relative to the capacity."""
    late_senders: bool = False
    """Whether every second sender gets messages for the failing destination only from shortly before its
    recovery on."""
    seed: int = 1
    destinations: int = 3
    """Number of destinations: the one that goes down, and others that do not."""
    recovery_calls: list[RecoveryCall] = field(default_factory=list)
    mode_changes: list[ModeChange] = field(default_factory=list)
    calls_in_outage: int = 0
    delivered: int = 0

    def __post_init__(self) -> None:
        self.now = 0
        self.random = Random(self.seed)
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.event_count = 0
        self.message_count = 0
        self.senders = [FleetSender(self, number) for number in range(self.sender_count)]

    def schedule(self, when: int, action: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (max(when, self.now), self.event_count, action))

    def run(self) -> Fleet:
        weights = [1 / (n + 1) if self.uneven else 1.0 for n in range(self.sender_count)]
        for sender, weight in zip(self.senders, weights, strict=True):
            sender.start({})
            share = weight / sum(weights)
            for destination in range(FAILING_DESTINATION, FAILING_DESTINATION + self.destinations):
                rate = self.offered_load * self.capacity * share
                late = self.late_senders and sender.number % 2 and destination == FAILING_DESTINATION
                begins_at = self.outage[1] - LATE_LOAD_TIME if late else 0
                self.schedule_submission(sender, destination, rate, begins_at)
        for when in self.restarts:
            for sender in self.senders:
                self.schedule_restart(Restart(when, sender.number, RestartMethod.KILL))
        for restart in self.single_restarts:
            self.schedule_restart(restart)
        while self.events and self.events[0][0] <= self.ends_at:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self

    def schedule_restart(self, restart: Restart) -> None:
        sender = self.senders[restart.sender]
        self.schedule(restart.at, lambda: sender.restart(restart.method))

    def schedule_submission(
        self, sender: FleetSender, destination: int, rate: float, begins_at: int = 0
    ) -> None:
        gap = int(self.random.expovariate(rate) * SECOND)
        self.schedule(max(self.now, begins_at) + gap, lambda: self.submit(sender, destination, rate))

    def submit(self, sender: FleetSender, destination: int, rate: float) -> None:
        self.schedule_submission(sender, destination, rate)
        sender.submit(destination)

    def log(self, process: FleetProcess, text: str) -> None:
        self.mode_changes.append(ModeChange(self.now, process.sender.number, process.incarnation, text))

    @property
    def calls(self) -> list[int]:
        """Arrival times of calls at the failing destination after its recovery."""
        return [call.at for call in self.recovery_calls]

    def respond(self, destination: int, process: FleetProcess) -> tuple[AttemptOutcome, int] | None:
        """Returns the outcome of a call that arrives now and its duration; None if there is no response."""
        down_at, recovers_at = self.outage
        if destination != FAILING_DESTINATION or self.now < down_at:
            return AttemptOutcome.DELIVERED, RESPONSE_TIME
        if self.now >= recovers_at:
            sender = process.sender
            self.recovery_calls.append(RecoveryCall(self.now, sender.number, process.incarnation))
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

    def first_window(self) -> tuple[int, float]:
        """Returns the calls in the first window after the outage, and their limit."""
        recovers_at = self.outage[1]
        window_end = recovers_at + self.settings.overload_duration
        return sum(at < window_end for at in self.calls), allowed_calls(self.budget(recovers_at))

    def worst_window(self) -> tuple[float, float]:
        """Returns the calls in the window with the highest load relative to its limit, and that limit.

        The limit is based on the destination's capacity at the window's end.
        """
        worst = (0.0, 1.0)
        calls = self.calls
        for last, when in enumerate(calls):
            if when > self.outage[1] + self.settings.warm_up_time:
                break
            window_start = when - self.settings.overload_duration
            count = sum(at > window_start for at in calls[: last + 1])
            limit = with_tolerance(self.budget(when), TOLERANCE)
            if count / limit > worst[0] / worst[1]:
                worst = (count, limit)
        return worst


@dataclass
class AcceptedMessage:
    """The state of a message that a sender restores after a kill."""

    destination: int
    traffic_class: int
    deadline_at: int
    resubmissions: int
    """The number of times its client has submitted it again after a rejection."""
    attempts: int = 0
    in_flight_since: int | None = None


class FleetSender:
    """One sender: a process, and beside it the previous one for a while after SIGTERM."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.incarnations = 0
        self.submissions = 0
        self.outages: Outages = {}
        """As last written by one of its processes, and read at a start."""
        self.process: FleetProcess | None = None
        """The process that accepts messages."""

    def start(self, stored: Messages) -> None:
        """Starts a process with the messages that a previous one has stored."""
        self.incarnations += 1
        self.process = FleetProcess(self)
        self.process.start(stored)

    def submit(self, destination: int) -> None:
        """Submits a new message; the traffic classes take turns."""
        self.submissions += 1
        traffic_class = self.submissions % len(self.fleet.settings.traffic_classes)
        deadline = self.fleet.settings.traffic_classes[traffic_class].deadline
        self.accept(AcceptedMessage(destination, traffic_class, self.fleet.now + deadline, 0))

    def accept(self, message: AcceptedMessage) -> None:
        """Hands a message to the process, if one accepts messages."""
        if self.process is not None and message.deadline_at > self.fleet.now:
            self.fleet.message_count += 1
            self.process.submit(self.fleet.message_count, message)

    def rejected(self, message: AcceptedMessage, retry_after: int) -> None:
        """Lets the client submit the message again, if it does so once more."""
        if message.resubmissions < self.fleet.resubmissions:
            again = replace_message(message)
            when = self.fleet.now + (retry_after or RESUBMISSION_PAUSE)
            self.fleet.schedule(when, lambda: self.accept(again))

    def restart(self, method: RestartMethod) -> None:
        """Replaces the process, unless none accepts messages at the moment."""
        previous, self.process = self.process, None
        if previous is None:
            return
        fleet = self.fleet
        if method is RestartMethod.KILL:
            previous.running = False
            fleet.schedule(fleet.now + RESTART_TIME, lambda: self.start(previous.messages))
        elif method is RestartMethod.TERMINATE:
            fleet.schedule(fleet.now + DRAIN_TIME, previous.stop)
            restarted_at = fleet.now + DRAIN_TIME + RESTART_TIME
            fleet.schedule(restarted_at, lambda: self.start(previous.messages))
        else:
            previous.run_batch(DeliveryPolicy.hand_over)
            self.start({})
            fleet.schedule(fleet.now + DRAIN_TIME, lambda: self.adopt(previous))

    def adopt(self, previous: FleetProcess) -> None:
        """Ends the previous process of a hot upgrade; the present one takes over what it still stores."""
        previous.stop()
        if self.process is not None:
            self.process.restore_messages(previous.messages)


class FleetProcess:
    """One incarnation of a sender: executes the actions of its policy."""

    def __init__(self, sender: FleetSender) -> None:
        self.sender = sender
        self.fleet = sender.fleet
        self.incarnation = sender.incarnations
        self.running = True
        self.messages: Messages = {}
        self.outages: Outages = {}
        # A string is a valid seed of random.Random.
        seed = cast(int, f"{self.fleet.seed}/{sender.number}/{self.incarnation}")
        settings = replace(
            self.fleet.settings, sender_index=sender.number, sender_count=self.fleet.sender_count, seed=seed
        )
        self.policy = DeliveryPolicy(settings, self)

    def start(self, stored: Messages) -> None:
        """Starts with the endpoint list, the outages of the previous process, and its messages."""
        fleet = self.fleet
        rate = fleet.listed_rate_factor * fleet.capacity
        rows = [
            EndpointRecord(f"x{n}", n, 0, 0, EndpointStatus.ACTIVE, rate)
            for n in range(FAILING_DESTINATION, FAILING_DESTINATION + fleet.destinations)
        ]
        self.outages = {
            destination: (rate, until)
            for destination, (rate, until) in self.sender.outages.items()
            if until is None or until > fleet.now
        }
        outages = [restore_outage(destination, rate) for destination, (rate, _) in self.outages.items()]
        self.messages = dict(stored)
        restored = [self.restore(message_id) for message_id in stored]
        self.run_batch(lambda policy: policy.update_endpoints(rows, complete=True), *outages, *restored)

    def stop(self) -> None:
        """Ends the process."""
        self.running = False

    def restore_messages(self, stored: Messages) -> None:
        """Takes over the messages of another process."""
        self.messages.update(stored)
        self.run_batch(*[self.restore(message_id) for message_id in stored])

    def restore(self, message_id: int) -> PolicyEvent:
        message = self.messages[message_id]
        since = message.in_flight_since
        endpoint_id = "" if since is None else f"x{message.destination}"
        previous = PreviousAttempts(message.attempts, since, endpoint_id, since is not None)
        time_left = message.deadline_at - self.fleet.now
        message.in_flight_since = None
        return lambda policy: policy.restore(
            message_id, message.destination, message.traffic_class, None, time_left, previous
        )

    def run_batch(self, *events: PolicyEvent) -> None:
        self.policy.begin_batch(self.fleet.now)
        for event in events:
            event(self.policy)
        self.policy.end_batch()

    def submit(self, message_id: int, message: AcceptedMessage) -> None:
        if 0 < self.fleet.settings.queue_capacity <= len(self.messages):
            self.sender.rejected(message, 0)
            return
        self.messages[message_id] = message
        time_left = message.deadline_at - self.fleet.now
        self.run_batch(
            lambda policy: policy.submit(
                message_id, message.destination, message.traffic_class, None, time_left
            )
        )

    def start_attempt(self, message_id: int, endpoint_id: str, timeout: int) -> None:
        message = self.messages[message_id]
        message.attempts += 1
        message.in_flight_since = self.fleet.now
        self.fleet.schedule(self.fleet.now, lambda: self.arrive(message_id, timeout))

    def arrive(self, message_id: int, timeout: int) -> None:
        if not self.running:
            return
        response = self.fleet.respond(self.messages[message_id].destination, self)
        outcome, duration = response or (AttemptOutcome.TIMED_OUT, timeout)
        ends_at = self.fleet.now + min(duration, timeout)
        self.fleet.schedule(ends_at, lambda: self.finish_attempt(message_id, outcome))

    def finish_attempt(self, message_id: int, outcome: AttemptOutcome) -> None:
        if not self.running:
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
        self.sender.rejected(self.messages.pop(message_id), retry_after)

    def fail(self, message_id: int) -> None:
        del self.messages[message_id]

    def schedule_timer(self, at: int, token: str) -> None:
        self.fleet.schedule(max(at, self.fleet.now + 1), lambda: self.timer_fired(token))

    def timer_fired(self, token: str) -> None:
        if self.running:
            self.run_batch(lambda policy: policy.timer_fired(token))

    def cancel_attempt(self, message_id: int, attempt: int) -> None: ...

    def close_idle_connections(self, endpoint_id: str) -> None: ...

    def poll_endpoints(self) -> None: ...

    def publish(self, message: bytes) -> None: ...

    def mode_changed(self, text: str, destination: int, endpoint_id: str, down: bool, rate: float) -> None:
        self.fleet.log(self, f"{destination} {text}")
        if down:
            self.outages[destination] = (rate, None)
        elif destination in self.outages and self.outages[destination][1] is None:
            self.outages[destination] = (rate, self.fleet.now + self.fleet.settings.warm_up_time)
        self.sender.outages = dict(self.outages)


def replace_message(message: AcceptedMessage) -> AcceptedMessage:
    """Returns the message as its client submits it again."""
    return AcceptedMessage(
        message.destination, message.traffic_class, message.deadline_at, message.resubmissions + 1
    )


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
