"""Executes the actions of one policy in virtual time, and checks each of them against six rules.

The rules: each message has exactly one final outcome, in time; a message that must not run twice does not; no
attempt starts within a Retry-After; the messages of an ordering key are sent one at a time; no attempt goes
to an endpoint after its drain grace; a message is rejected only if the client can safely submit it again.
Times are in microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable

from msgspec.structs import replace

from ashpath.core.interface import (
    AttemptOutcome,
    DestinationKindSettings,
    EndpointRecord,
    LoadReport,
    PolicyActions,
    PolicySettings,
    PreviousAttempts,
    RetrySafety,
    TrafficClassSettings,
)
from ashpath.policy.delivery_policy import DeliveryPolicy
from support.policy_events import PolicyEvent, attempt_finished, restore_outage, timer_fired
from support.tracked_message import MAY_STILL_RUN, NEVER_RAN, TrackedMessage

ANSWER_SLACK = 20_000
"""Allowed delay of a final outcome after the deadline, as timers fire between batches."""

DEFAULT_SETTINGS = PolicySettings(
    seed=1,
    sender_index=0,
    sender_count=1,
    max_in_flight=8,
    queue_capacity=100,
    max_attempts=0,
    may_cancel=True,
    max_retry_after=3_000_000,
    connect_timeout=500_000,
    idle_timeout=0,
    traffic_classes=(),
    destination_kinds=(),
    value_halves=True,
    reports_full_connection_table=False,
    settle_time=0,
    drain_grace=500_000,
    initial_capacity_share=0.2,
    warm_up_time=10_000_000,
    overload_duration=0,
    overload_multiple=2,
    poll_interval=0,
    has_load_reports=True,
    has_listed_rates=False,
    gossip_enabled=False,
    zone_costs=(),
)

MakePolicy = Callable[[PolicySettings, PolicyActions], DeliveryPolicy]


class PolicyHarness:
    """Runs one policy and receives its actions. Raises AssertionError if an action breaks a rule."""

    def __init__(self, make_policy: MakePolicy) -> None:
        self.make_policy = make_policy
        self.policy: DeliveryPolicy
        self.now = 0
        self.settings = DEFAULT_SETTINGS
        self.traffic_classes: list[TrafficClassSettings] = []
        self.kinds: list[DestinationKindSettings] = []
        self.endpoints: dict[str, EndpointRecord] = {}
        self.draining_since: dict[str, int] = {}
        self.ids: dict[str, int] = {}
        """Message ids by the names of the messages."""
        self.messages: dict[int, TrackedMessage] = {}
        self.retry_after: dict[Hashable, int] = {}
        """End of the Retry-After by route."""
        self.settling: dict[int, tuple[int, int]] = {}
        """End of the settle time by ordering key, and the id of the message that caused it."""
        self.timers: list[tuple[int, int, str]] = []
        self.events: list[str] = []
        """Texts of the events that no expectation has matched yet."""
        self.outages: dict[tuple[int, str], tuple[float, int | None]] = {}
        """By destination and route: the rate before the outage, and the end of the warm-up, None during the
        outage. A restart restores the outages.
        """

    # Actions of the policy

    def start_attempt(self, message_id: int, endpoint_id: str, timeout: int) -> None:
        message = self.messages[message_id]
        name = self.name(message_id)
        assert not message.finished, f"{name} is sent after its end"
        assert message.endpoint_id is None, f"{name} has two attempts in flight"
        assert self.endpoints[endpoint_id].destination == message.destination, f"{name}: other destination"
        assert 0 < timeout <= message.deadline_at - self.now, f"{name}: time-out {timeout}"
        grace = self.draining_since.get(endpoint_id, self.now) + self.settings.drain_grace
        assert self.now <= grace, f"{name} goes to {endpoint_id} after its grace"
        within = self.now < self.retry_after.get(self.route(endpoint_id), 0)
        assert not within, f"{name} is sent within a Retry-After"
        self.check_retry(message, name, endpoint_id)
        self.check_order(message_id, message, name)
        message.endpoint_id = endpoint_id
        message.attempts += 1
        message.started_at = self.now
        message.due_at = self.now + timeout
        self.events.append(f"attempt {name} at {endpoint_id}")

    def check_retry(self, message: TrackedMessage, name: str, endpoint_id: str) -> None:
        if message.first_run_at is None:
            return
        settings = message.traffic_class
        assert settings.retry_safety is not RetrySafety.AT_MOST_ONCE, f"{name} may run twice"
        if settings.retry_safety is RetrySafety.DEDUPLICATED:
            zone = self.endpoints[endpoint_id].zone
            same_zone = zone == self.endpoints[message.first_run_endpoint].zone
            assert settings.deduplicates_across_zones or same_zone, f"{name} in another zone"
            window_end = message.first_run_at + settings.deduplication_window
            assert self.now < window_end, f"{name} out of its window"

    def check_order(self, message_id: int, message: TrackedMessage, name: str) -> None:
        if not message.traffic_class.ordered or message.ordering_key is None:
            return
        for other_id, other in self.messages.items():
            same_key = other.traffic_class.ordered and other.ordering_key == message.ordering_key
            if same_key and other_id < message_id:
                assert other.finished, f"{name} out of order"
                assert other.endpoint_id is None, f"{name} out of order"
        until, by = self.settling.get(message.ordering_key, (0, message_id))
        assert by == message_id or self.now >= until, f"{name} before its key has settled"

    def reject(self, message_id: int, retry_after: int) -> None:
        message = self.finish(message_id, "rejected")
        settings = message.traffic_class
        harmless = message.first_run_at is None or settings.retry_safety is RetrySafety.IDEMPOTENT
        known = settings.retry_safety is RetrySafety.DEDUPLICATED and settings.deduplicates_across_zones
        name = self.name(message_id)
        assert message.endpoint_id is None, f"{name} is rejected with an attempt in flight"
        assert harmless or known, f"{name}: no harmless rejection"

    def fail(self, message_id: int) -> None:
        self.finish(message_id, "failed")

    def finish(self, message_id: int, answer: str) -> TrackedMessage:
        message = self.messages[message_id]
        name = self.name(message_id)
        assert not message.finished, f"{name} is answered twice"
        assert self.now <= message.deadline_at + ANSWER_SLACK, f"{name} is answered late"
        message.finished = True
        self.events.append(f"{answer} {name}")
        return message

    def cancel_attempt(self, message_id: int, attempt: int) -> None:
        name = self.name(message_id)
        assert attempt < self.messages[message_id].attempts, f"{name}: attempt {attempt} was never made"
        self.events.append(f"cancelled {name}")

    def close_idle_connections(self, endpoint_id: str) -> None:
        in_use = any(message.endpoint_id == endpoint_id for message in self.messages.values())
        assert not in_use, f"{endpoint_id} is in use"
        self.events.append(f"connections_closed {endpoint_id}")

    def poll_endpoints(self) -> None:
        self.events.append("polled")

    def publish(self, message: bytes) -> None:
        self.events.append(f"published {message.decode('ascii', 'backslashreplace')}")

    def schedule_timer(self, at: int, token: str) -> None:
        self.timers.append((max(at, self.now + 1), len(self.timers), token))

    def mode_changed(self, text: str, destination: int, endpoint_id: str, down: bool, rate: float) -> None:
        self.events.append(f"log {text}")
        outage_key = (destination, endpoint_id)
        if down or self.outages.get(outage_key, (0.0, 0))[1] is None:
            self.outages[outage_key] = (
                rate,
                None if down else self.now + self.settings.warm_up_time,
            )

    # Events for the policy

    def start(self) -> None:
        self.settings = self.with_classes_and_kinds(self.settings)
        self.policy = self.make_policy(self.settings, self)
        self.run_batch(self.complete_list())

    def with_classes_and_kinds(self, settings: PolicySettings) -> PolicySettings:
        classes = tuple(self.traffic_classes)
        return replace(settings, traffic_classes=classes, destination_kinds=tuple(self.kinds))

    def complete_list(self) -> PolicyEvent:
        rows = list(self.endpoints.values())
        return lambda policy: policy.update_endpoints(rows, complete=True)

    def run_batch(self, *events: PolicyEvent) -> None:
        self.policy.begin_batch(self.now)
        for event in events:
            event(self.policy)
        self.policy.end_batch()

    def run_to(self, moment: int) -> None:
        """Advances the time, firing timers and time-outs. Checks that no message is overdue."""
        while True:
            due = [
                (m.due_at, 0, message_id, "")
                for message_id, m in self.messages.items()
                if m.endpoint_id is not None
            ]
            due += [(at, 1, order, token) for at, order, token in self.timers]
            at, is_timer, number, token = min(due, default=(moment + 1, 0, 0, ""))
            if at > moment:
                break
            self.now = max(self.now, at)
            if is_timer:
                self.timers.remove((at, number, token))
                self.run_batch(timer_fired(token))
            else:
                self.finish_attempts([number], AttemptOutcome.TIMED_OUT)
        self.now = moment
        for message_id, message in self.messages.items():
            in_time = message.finished or self.now <= message.deadline_at + ANSWER_SLACK
            assert in_time, f"{self.name(message_id)} got no answer in time"

    def finish_attempts(
        self,
        ids: list[int],
        outcome: AttemptOutcome,
        retry_after: int = 0,
        report: LoadReport | None = None,
    ) -> None:
        """Reports the same outcome for attempts, in one batch."""
        batch: list[PolicyEvent] = []
        routes = []
        for message_id in ids:
            message = self.messages[message_id]
            assert message.endpoint_id is not None, f"{self.name(message_id)} has no attempt in flight"
            routes.append(self.route(message.endpoint_id))
            self.resolve(message_id, message, outcome)
            if outcome is AttemptOutcome.DELIVERED and not message.finished:
                message.finished = True
                self.events.append(f"delivered {self.name(message_id)}")
            batch.append(attempt_finished(message_id, outcome, retry_after, message.finished, report))
        self.run_batch(*batch)
        for route in routes:
            self.retry_after[route] = max(self.retry_after.get(route, 0), self.now + retry_after)

    def resolve(self, message_id: int, message: TrackedMessage, outcome: AttemptOutcome | None) -> None:
        """Ends the attempt of a message. An attempt without an outcome may have run, and may still run."""
        assert message.endpoint_id is not None
        if outcome not in NEVER_RAN and message.first_run_at is None:
            message.first_run_at = message.started_at
            message.first_run_endpoint = message.endpoint_id
        if (outcome is None or outcome in MAY_STILL_RUN) and message.ordering_key is not None:
            self.settling[message.ordering_key] = (self.now + self.settings.settle_time, message_id)
        message.endpoint_id = None

    def restart(self) -> None:
        """Replaces the policy as after a kill: attempts in flight may have run, each Retry-After is lost, and
        unfinished messages and outages are restored.
        """
        self.timers = []
        self.retry_after = {}
        restored: list[PolicyEvent] = []
        for message_id, message in self.messages.items():
            unresolved = message.endpoint_id is not None
            if unresolved:
                self.resolve(message_id, message, None)
            if not message.finished:
                restored.append(self.restore(message_id, message, unresolved=unresolved))
        self.policy = self.make_policy(self.settings, self)
        ongoing_outages = [
            restore_outage(outage_key, rate)
            for outage_key, (rate, until) in self.outages.items()
            if until is None or until > self.now
        ]
        self.run_batch(self.complete_list(), *ongoing_outages, *restored)

    def restore(self, message_id: int, message: TrackedMessage, *, unresolved: bool) -> PolicyEvent:
        traffic_class = self.traffic_classes.index(message.traffic_class)
        time_left = message.deadline_at - self.now
        previous = PreviousAttempts(
            message.attempts, message.first_run_at, message.first_run_endpoint, unresolved
        )
        return lambda policy: policy.restore(
            message_id, message.destination, traffic_class, message.ordering_key, time_left, previous
        )

    def name(self, message_id: int) -> str:
        return next(name for name, named_id in self.ids.items() if named_id == message_id)

    def route(self, endpoint_id: str) -> Hashable:
        row = self.endpoints[endpoint_id]
        return endpoint_id if self.kinds[row.kind].limit_per_endpoint else row.destination
