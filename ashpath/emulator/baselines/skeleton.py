"""The skeleton that all baselines share.

It keeps the rules as far as a policy can by itself (retry safety, deduplication windows, Retry-After, drained
endpoints, order), so that what differs is how many calls each baseline lets out, and when.
"""

from __future__ import annotations

from collections import deque

from ashpath.core.interface import (
    AttemptOutcome,
    EndpointRecord,
    EndpointStatus,
    LoadReport,
    PolicyActions,
    PolicySettings,
    PreviousAttempts,
    RetrySafety,
)
from ashpath.emulator.baselines.state import Attempt, DestinationState, QueuedMessage
from ashpath.emulator.policy_under_test import NOT_RUN_OUTCOMES, GlobalView
from ashpath.emulator.units import SECOND

ATTEMPT_TIMEOUT = 4 * SECOND  # of a call
FIXED_LIMIT = 8  # calls in flight to a destination
DEADLINE_MARGIN = SECOND // 20  # so long before its deadline a message is given up
MIN_TIME_LEFT = SECOND // 10  # before its deadline, for another attempt
MIN_ATTEMPT_TIMEOUT = SECOND // 1000
MAX_IN_FLIGHT_POLL = SECOND // 50  # while all calls that a sender may have are in flight
MAX_REJECTION_RETRY_AFTER = SECOND
UNLIMITED_ATTEMPTS = 1 << 30
UNRESOLVED_OUTCOMES = (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECTION_RESET, AttemptOutcome.CANCELLED)

DISPATCH_TIMER = "p"  # and the destination's number
DEADLINE_TIMER = "e"  # and the message's id
SETTLED_TIMER = "k"  # and the ordering key


class Baseline:
    """Sends in order of arrival as long as `admits` allows; `record_outcome` learns how attempts end."""

    def __init__(self, settings: PolicySettings, actions: PolicyActions, view: GlobalView) -> None:
        self.settings = settings
        self.actions = actions
        self.view = view
        self.number = settings.sender_index
        self.now = 0
        self.destinations: dict[int, DestinationState] = {}
        self.messages: dict[int, QueuedMessage] = {}  # emptied as they end
        self.attempts: dict[int, Attempt] = {}  # in flight, by message
        self.ordered_queues: dict[int, deque[QueuedMessage]] = {}  # by key; gone with the last one
        self.settles_until: dict[int, int] = {}  # by key; looked at as its queue moves on
        self.needs_dispatch: dict[DestinationState, None] = {}

    # What a baseline decides.

    def admits(self, destination: DestinationState) -> bool:
        """Whether one more call may go out now."""
        return destination.in_flight < FIXED_LIMIT

    def record_outcome(self, destination: DestinationState, outcome: AttemptOutcome, duration: int) -> None:
        """What an outcome changes; `duration` is microseconds."""

    def next_message(self, destination: DestinationState) -> QueuedMessage:
        """Which message goes next: the first that came."""
        return next(iter(destination.queue))

    # What is reported: `ashpath.emulator.policy_under_test.PolicyUnderTest`.

    def begin_batch(self, now: int) -> None:
        """Opens a batch of events at this moment."""
        self.now = now

    def end_batch(self) -> None:
        """Closes the batch: calls go out now."""
        while self.needs_dispatch:
            destination = next(iter(self.needs_dispatch))
            del self.needs_dispatch[destination]
            self._dispatch(destination)

    def update_endpoints(self, records: list[EndpointRecord], complete: bool) -> None:
        """Service discovery reported these endpoints; `complete`: and there are no others."""
        if complete:
            for destination in self.destinations.values():
                destination.endpoints = []
        for record in records:
            destination = self._destination(record.destination)
            destination.endpoints = [name for name in destination.endpoints if name != record.endpoint_id]
            if record.status is EndpointStatus.ACTIVE:
                destination.endpoints.append(record.endpoint_id)
            self.needs_dispatch[destination] = None

    def submit(
        self, message_id: int, number: int, traffic_class: int, key: int | None, time_left: int
    ) -> None:
        """A message for a destination was accepted, `time_left` before its deadline."""
        ordering_key = key if self.settings.traffic_classes[traffic_class].ordered else None
        message = QueuedMessage(
            message_id, self._destination(number), traffic_class, ordering_key, self.now + time_left
        )
        self.messages[message_id] = message
        self.actions.schedule_timer(message.deadline_at - DEADLINE_MARGIN, f"{DEADLINE_TIMER}{message_id}")
        if ordering_key is not None:
            queue = self.ordered_queues.setdefault(ordering_key, deque())
            queue.append(message)
            if queue[0] is not message or self.settles_until.get(ordering_key, 0) > self.now:
                return
        self._enqueue(message)

    def restore_outage(self, number: int, endpoint_id: str, rate: float) -> None:
        """A baseline knows of no outage."""

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
        self.submit(message_id, number, traffic_class, key, time_left)
        message = self.messages[message_id]
        message.attempts = previous.attempts
        message.first_run_at = -1 if previous.first_run_at is None else previous.first_run_at
        if message.ordering_key is not None and previous.unresolved:
            self._start_settling(message.ordering_key, dequeued=message)
        elif not self._may_send(message):
            self._give_up(message)

    def still_valid(self, message_id: int, now: int) -> bool:
        """Whether an attempt may still be sent, now that its connection is open."""
        attempt = self.attempts.get(message_id)
        return (
            attempt is not None
            and attempt.endpoint in attempt.destination.endpoints
            and now >= attempt.destination.retry_after_until
        )

    def attempt_finished(
        self,
        message_id: int,
        outcome: AttemptOutcome,
        retry_after: int,
        final: bool,
        report: LoadReport | None,
    ) -> None:
        """An attempt has its outcome; `retry_after` is its Retry-After, 0 for none."""
        attempt = self.attempts.pop(message_id, None)
        if attempt is None:
            return
        destination = attempt.destination
        message = attempt.message
        destination.in_flight -= 1
        destination.retry_after_until = max(destination.retry_after_until, self.now + retry_after)
        if outcome is not AttemptOutcome.NOT_SENT:
            self.record_outcome(destination, outcome, self.now - attempt.began)
        self.needs_dispatch[destination] = None
        if outcome not in NOT_RUN_OUTCOMES and message.first_run_at < 0:
            message.first_run_at = attempt.began
        settles = message.ordering_key is not None and outcome in UNRESOLVED_OUTCOMES
        if message.ordering_key is not None and settles:
            self._start_settling(message.ordering_key)
        if final or outcome is AttemptOutcome.DELIVERED:
            self._remove(message)
        elif not self._may_send(message):
            self._give_up(message)
        elif not settles:
            self._enqueue(message, first=True)

    def client_disconnected(self, message_id: int) -> None:
        """Nobody waits for this message any more."""
        message = self.messages.get(message_id)
        if message is not None and message_id not in self.attempts:
            self._remove(message)

    def timer_fired(self, token: str) -> None:
        """A timer that was scheduled here is due."""
        kind = token[0]
        number = int(token[1:])
        if kind == DISPATCH_TIMER and number in self.destinations:
            self.needs_dispatch[self.destinations[number]] = None
        elif kind == DEADLINE_TIMER and number in self.messages and number not in self.attempts:
            self._give_up(self.messages[number])
        elif kind == SETTLED_TIMER:
            self._enqueue_next(number)

    # The skeleton.

    def _destination(self, number: int) -> DestinationState:
        found = self.destinations.get(number)
        if found is None:
            found = self.destinations[number] = DestinationState(number)
        return found

    def _enqueue(self, message: QueuedMessage, *, first: bool = False) -> None:
        destination = message.destination
        destination.queue[message] = None
        destination.queue.move_to_end(message, last=not first)
        self.needs_dispatch[destination] = None

    def _start_settling(self, ordering_key: int, dequeued: QueuedMessage | None = None) -> None:
        """The key's next message waits until the call that may still run has ended."""
        self.settles_until[ordering_key] = self.now + self.settings.settle_time
        if dequeued is not None:
            dequeued.destination.queue.pop(dequeued, None)
        self.actions.schedule_timer(self.settles_until[ordering_key], f"{SETTLED_TIMER}{ordering_key}")

    def _may_send(self, message: QueuedMessage) -> bool:
        max_attempts = self.settings.max_attempts or UNLIMITED_ATTEMPTS
        if message.deadline_at - self.now < MIN_TIME_LEFT or message.attempts >= max_attempts:
            return False
        settings = self.settings.traffic_classes[message.traffic_class]
        if message.first_run_at < 0 or settings.retry_safety is RetrySafety.IDEMPOTENT:
            return True
        window = settings.deduplication_window - self.settings.connect_timeout
        deduplicated = settings.retry_safety is RetrySafety.DEDUPLICATED
        return deduplicated and self.now < message.first_run_at + window

    def _dispatch(self, destination: DestinationState) -> None:
        while destination.queue and destination.endpoints:
            if len(self.attempts) >= self.settings.max_in_flight:
                self.schedule_dispatch(destination, MAX_IN_FLIGHT_POLL)
                return
            paused_until = max(destination.retry_after_until, destination.paused_until)
            if paused_until > self.now:
                self.actions.schedule_timer(paused_until, f"{DISPATCH_TIMER}{destination.number}")
                return
            if not self.admits(destination):
                return
            message = self.next_message(destination)
            del destination.queue[message]
            if not self._may_send(message):
                self._give_up(message)
                continue
            self.send(destination, message)

    def schedule_dispatch(self, destination: DestinationState, delay: int) -> None:
        """Dispatches again after this many microseconds; one check ahead is enough."""
        if destination.next_dispatch_at <= self.now:
            destination.next_dispatch_at = self.now + delay
            self.actions.schedule_timer(destination.next_dispatch_at, f"{DISPATCH_TIMER}{destination.number}")

    def send(self, destination: DestinationState, message: QueuedMessage) -> None:
        """Starts an attempt, at each endpoint in turn."""
        destination.sent += 1
        endpoint = destination.endpoints[destination.sent % len(destination.endpoints)]
        destination.in_flight += 1
        message.attempts += 1
        self.attempts[message.id] = Attempt(destination, message, endpoint, self.now)
        timeout = max(
            MIN_ATTEMPT_TIMEOUT, min(ATTEMPT_TIMEOUT, message.deadline_at - self.now - DEADLINE_MARGIN)
        )
        self.actions.start_attempt(message.id, endpoint, timeout)

    def _give_up(self, message: QueuedMessage) -> None:
        retry_safety = self.settings.traffic_classes[message.traffic_class].retry_safety
        self._remove(message)
        if message.first_run_at < 0 or retry_safety is RetrySafety.IDEMPOTENT:
            self.actions.reject(message.id, min(self.settings.max_retry_after, MAX_REJECTION_RETRY_AFTER))
        else:
            self.actions.fail(message.id)

    def _remove(self, message: QueuedMessage) -> None:
        del self.messages[message.id]
        message.destination.queue.pop(message, None)
        if message.ordering_key is not None:
            self.ordered_queues[message.ordering_key].remove(message)
            self._enqueue_next(message.ordering_key)

    def _enqueue_next(self, ordering_key: int) -> None:
        """The key's next message may go, if there is one and the key has settled."""
        queue = self.ordered_queues.get(ordering_key)
        settled = self.settles_until.get(ordering_key, 0) <= self.now
        if not queue:
            self.ordered_queues.pop(ordering_key, None)
        if settled:
            self.settles_until.pop(ordering_key, None)
        if queue and settled and queue[0].id not in self.attempts:
            self._enqueue(queue[0])
