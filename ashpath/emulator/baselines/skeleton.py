"""The base class of all baselines.

It follows the rules as far as a policy alone can (retry safety, deduplication windows, Retry-After, drained
endpoints, order), so that baselines differ only in how many calls they start, and when.
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
from ashpath.core.time_units import SECOND
from ashpath.emulator.baselines.state import Attempt, DestinationState, QueuedMessage
from ashpath.emulator.policy_under_test import NOT_RUN_OUTCOMES, GlobalView

# Times are in microseconds.
ATTEMPT_TIMEOUT = 4 * SECOND
FIXED_LIMIT = 8  # calls in flight to a destination
DEADLINE_MARGIN = SECOND // 20  # a message is given up this long before its deadline
MIN_TIME_LEFT = SECOND // 10  # to the deadline, for another attempt to start
MIN_ATTEMPT_TIMEOUT = SECOND // 1000
MAX_IN_FLIGHT_POLL = SECOND // 50  # delay of the next dispatch while max_in_flight calls are in flight
MAX_REJECTION_RETRY_AFTER = SECOND
UNLIMITED_ATTEMPTS = 1 << 30
UNRESOLVED_OUTCOMES = (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECTION_RESET, AttemptOutcome.CANCELLED)

# Prefixes of timer tokens:
DISPATCH_TIMER = "p"  # followed by the destination's number
DEADLINE_TIMER = "e"  # followed by the message's id
SETTLED_TIMER = "k"  # followed by the ordering key


class Baseline:
    """Sends messages in order of arrival while `admits` allows; `record_outcome` receives the outcomes."""

    def __init__(self, settings: PolicySettings, actions: PolicyActions, view: GlobalView) -> None:
        self.settings = settings
        self.actions = actions
        self.view = view
        self.number = settings.sender_index
        self.now = 0
        self.destinations: dict[int, DestinationState] = {}
        self.messages: dict[int, QueuedMessage] = {}  # all that have not ended
        self.attempts: dict[int, Attempt] = {}  # in flight, by message
        self.ordered_queues: dict[int, deque[QueuedMessage]] = {}  # by key; removed when empty
        self.settles_until: dict[int, int] = {}  # by key; removed when its queue advances after that time
        self.needs_dispatch: dict[DestinationState, None] = {}

    # Decisions of a baseline.

    def admits(self, destination: DestinationState) -> bool:
        """Returns whether one more call to the destination may start now."""
        return destination.in_flight < FIXED_LIMIT

    def record_outcome(self, destination: DestinationState, outcome: AttemptOutcome, duration: int) -> None:
        """Adapts to the outcome of an attempt; `duration` is in microseconds."""

    def next_message(self, destination: DestinationState) -> QueuedMessage:
        """Returns the message to send next: the first in the queue."""
        return next(iter(destination.queue))

    # Events: `ashpath.emulator.policy_under_test.PolicyUnderTest`.

    def begin_batch(self, now: int) -> None:
        """Begins a batch of events at time `now`, in microseconds."""
        self.now = now

    def end_batch(self) -> None:
        """Ends the batch, and dispatches messages."""
        while self.needs_dispatch:
            destination = next(iter(self.needs_dispatch))
            del self.needs_dispatch[destination]
            self._dispatch(destination)

    def update_endpoints(self, records: list[EndpointRecord], complete: bool) -> None:
        """Applies reported endpoints; `complete` means that all others no longer exist."""
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
        """Queues an accepted message, `time_left` microseconds before its deadline."""
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
        """Does nothing, as baselines keep no outages."""

    def restore(
        self,
        message_id: int,
        number: int,
        traffic_class: int,
        key: int | None,
        time_left: int,
        previous: PreviousAttempts,
    ) -> None:
        """Queues a message that the previous incarnation accepted."""
        self.submit(message_id, number, traffic_class, key, time_left)
        message = self.messages[message_id]
        message.attempts = previous.attempts
        message.first_run_at = -1 if previous.first_run_at is None else previous.first_run_at
        if message.ordering_key is not None and previous.unresolved:
            self._start_settling(message.ordering_key, dequeued=message)
        elif not self._may_send(message):
            self._give_up(message)

    def still_valid(self, message_id: int, now: int) -> bool:
        """Returns whether an attempt may still be sent once its connection is established."""
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
        """Records an attempt's outcome, then ends the message or queues it again.

        `retry_after` is in microseconds, 0 for none. If `final`, the message is not sent again.
        """
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
        self._end_or_requeue(message, outcome, final=final)

    def _end_or_requeue(self, message: QueuedMessage, outcome: AttemptOutcome, *, final: bool) -> None:
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
        """Ends a message whose client disconnected, unless an attempt is in flight."""
        message = self.messages.get(message_id)
        if message is not None and message_id not in self.attempts:
            self._remove(message)

    def timer_fired(self, token: str) -> None:
        """Handles a timer that this policy scheduled."""
        kind = token[0]
        number = int(token[1:])
        if kind == DISPATCH_TIMER and number in self.destinations:
            self.needs_dispatch[self.destinations[number]] = None
        elif kind == DEADLINE_TIMER and number in self.messages and number not in self.attempts:
            self._give_up(self.messages[number])
        elif kind == SETTLED_TIMER:
            self._enqueue_next(number)

    # Dispatch.

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
        """Holds back the key's next message until a call that may still run has had time to end."""
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
        """Schedules a dispatch after `delay` microseconds, unless one is scheduled already."""
        if destination.next_dispatch_at <= self.now:
            destination.next_dispatch_at = self.now + delay
            self.actions.schedule_timer(destination.next_dispatch_at, f"{DISPATCH_TIMER}{destination.number}")

    def send(self, destination: DestinationState, message: QueuedMessage) -> None:
        """Starts an attempt at the next endpoint in round-robin order."""
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
        """Queues the key's next message if the key has settled and the message has no attempt in flight."""
        queue = self.ordered_queues.get(ordering_key)
        settled = self.settles_until.get(ordering_key, 0) <= self.now
        if not queue:
            self.ordered_queues.pop(ordering_key, None)
        if settled:
            self.settles_until.pop(ordering_key, None)
        if queue and settled and queue[0].id not in self.attempts:
            self._enqueue(queue[0])
