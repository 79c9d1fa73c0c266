"""The policy's entry point: takes events and calls `PolicyActions`; `PolicyEngine` does the bookkeeping."""

from __future__ import annotations

from itertools import islice

from ashpath.core.interface import (
    NEVER_RAN,
    AttemptOutcome,
    LoadReport,
    PolicyActions,
    PolicySettings,
)
from ashpath.core.lifecycle import MessageState, transition
from ashpath.core.messages import Attempt, Endpoint, FirstRun, Message, TrafficClass
from ashpath.core.policy_engine import PolicyEngine
from ashpath.core.statistics import EventRate, RunningStatistics
from ashpath.core.time_units import SECOND
from ashpath.core.timers import POLL_TIMER, RANKING_TIMER
from ashpath.policy import retries, retry_after, tuning
from ashpath.policy.destination import Destination, cancel_overdue_attempt
from ashpath.policy.failure_classification import is_connection_table_full, was_overtaken


class DeliveryPolicy(PolicyEngine):
    """All decisions of one sender. Times are microseconds of a monotonic clock."""

    re_evaluation_time = retries.re_evaluation_time

    def __init__(self, settings: PolicySettings, actions: PolicyActions) -> None:
        super().__init__(
            settings,
            actions,
            initial_rate=tuning.INITIAL_RATE,
            durations=RunningStatistics(tuning.SMOOTHING_GAIN),
            submissions=EventRate(tuning.RATE_WINDOW, started_at=0),
        )
        self.idle_endpoints: list[Endpoint] = []  # their idle connections are closed at the end of the batch
        self.polling = False  # True: the endpoint list is polled, not pushed
        actions.schedule_timer(0, RANKING_TIMER)
        self.apply_settings(settings)

    def apply_settings(self, settings: PolicySettings) -> None:
        """Applies new settings; traffic classes keep their numbers, and messages their class settings."""
        reports_changed = self.settings.has_load_reports != settings.has_load_reports
        self.settings = settings
        self.limit_cap = max(
            1, settings.max_in_flight * tuning.MAX_IN_FLIGHT_TO_FREE // (tuning.MAX_IN_FLIGHT_TO_FREE + 1)
        )
        classes = enumerate(settings.traffic_classes)
        self.traffic_classes = [TrafficClass(i, row, settings.value_halves) for i, row in classes]
        self.full_table_shares += [0.0] * (len(settings.destination_kinds) - len(self.full_table_shares))
        for destination in self.destinations.values():
            destination.queues.add_classes()
            if reports_changed:
                for gate in (destination.gate, *(e.gate for e in destination.known_endpoints.values())):
                    gate.rate_limit.reset()

    def new_destination(self, number: int) -> Destination:
        """Returns the state of a destination that was not known before."""
        return Destination(self, number)

    def end_batch(self) -> None:
        """Dispatches messages after the events of a batch, and closes idle connections."""
        # Each destination is dispatched at most once, and none after max_in_flight calls are in flight.
        for _ in range(len(self.needs_dispatch)):
            if len(self.attempts_in_flight) >= self.settings.max_in_flight:
                cancel_overdue_attempt(self)
                break
            self.needs_dispatch.popitem(last=False)[0].dispatch()
        # Idle connections would occupy endpoints that accept few connections. Without them, each further call
        # there needs a new one.
        for endpoint in (e for e in self.idle_endpoints if not e.in_flight):
            self.actions.close_idle_connections(endpoint.endpoint_id)
        self.idle_endpoints.clear()

    def enforce_queue_capacity(self) -> None:
        """Drops the least valuable of the longest late messages if the queues are nearly full.

        Otherwise new messages would be rejected for want of queue capacity.
        """
        if len(self.messages) > tuning.SHEDDING_QUEUE_SHARE * self.settings.queue_capacity > 0:
            candidates = islice(self.late_messages, tuning.SHEDDING_CANDIDATES)
            self.finish_undelivered(min(candidates, key=lambda late: late.value_at(self.now)))

    def still_valid(self, message_id: int, now: int) -> bool:
        """Returns whether an attempt may still be sent once its connection is established.

        The endpoint must still be listed, no Retry-After of its destination or route may be in force, and no
        message that was adopted meanwhile may precede it in its ordering key.
        """
        message = self.messages[message_id]
        if message.ordered_queue is not None and message.ordered_queue.must_wait(message, now):
            return False
        if message.attempt is None or message.attempt.endpoint not in message.destination.endpoints:
            return False
        return now >= message.attempt.endpoint.gate.retry_after_until

    def retry_after_noticed(
        self, number: int, endpoint_id: str, duration: int, *, outcome_follows: bool
    ) -> int:
        """Applies a Retry-After of `duration` that an endpoint wrote, whatever becomes of the request.

        Returns for how long it binds. Needs no batch, as it starts nothing. `outcome_follows`: the outcome of
        the attempt that the response ended is reported next."""
        binds = retry_after.binding_time(duration)
        for gate in self._gates(number, endpoint_id):
            gate.lengthen_retry_after(self.now + binds, outcome_follows=outcome_follows)
        return binds

    def attempt_finished(
        self,
        message_id: int,
        outcome: AttemptOutcome,
        retry_after: int,
        final: bool,
        report: LoadReport | None,
    ) -> None:
        """Records an attempt's outcome, then finishes the message or queues it again.

        `retry_after` is the response's Retry-After in microseconds. If `final`, the message is not retried.
        """
        message = self.messages.get(message_id)
        if message is None or message.attempt is None:
            return
        attempt = message.attempt
        message.attempt = None
        if attempt.cancelled and outcome is AttemptOutcome.CANCELLED:
            outcome = AttemptOutcome.TIMED_OUT
        if report:
            attempt.endpoint.gate.rate_limit.update(report)
        self._record_outcome(message, attempt, outcome, retry_after)
        if outcome is AttemptOutcome.LOCAL_FAULT:
            message.attempts -= 1  # the attempt never left this machine and does not count
        if message.ordered_queue and outcome in tuning.MAY_STILL_RUN:
            message.ordered_queue.rest(message_id, self.now + self.settings.settle_time)
        if message.first_run is None and outcome not in NEVER_RAN:
            message.first_run = FirstRun(attempt.started_at, attempt.endpoint.zone)
        delivered = outcome is AttemptOutcome.DELIVERED
        if final or delivered or message.state is MessageState.ABANDONED:
            self.finish(message)
        elif retries.may_be_sent(self, message):
            transition(message, MessageState.QUEUED)
            self._queue_again(message)
        else:
            self.finish_undelivered(message)

    def _queue_again(self, message: Message) -> None:
        ordered_queue = message.ordered_queue
        if ordered_queue is None or not ordered_queue.must_wait(message, self.now):
            self.enqueue(message, first=True)
            return
        self.schedule_re_evaluation(message)
        self.advance(ordered_queue)

    def _record_outcome(
        self, message: Message, attempt: Attempt, outcome: AttemptOutcome, retry_after: int
    ) -> None:
        # The gate gets one outcome per call, however many messages the call carries.
        gate = attempt.endpoint.gate
        destination = message.destination
        duration = self.now - attempt.started_at
        attempt.unresolved -= 1
        gate.retry_after_until = max(gate.retry_after_until, self.now + retry_after)
        # A time-out is applied only if it is the outcome of the call's last message, as a message with an
        # earlier deadline may time out before the call has ended.
        if not attempt.outcome_applied and (
            outcome is not AttemptOutcome.TIMED_OUT or not attempt.unresolved
        ):
            attempt.outcome_applied = True
            gate.apply_outcome(attempt, outcome, duration)
        if not attempt.unresolved:
            gate.attempt_ended(attempt)
            if outcome is AttemptOutcome.TIMED_OUT and not was_overtaken(attempt):
                gate.reservations.append(self.now + tuning.RESERVATION_TIME)
            found_full_table = is_connection_table_full(self.settings, outcome, duration)
            self._update_connection_use(attempt.endpoint, destination.kind, found_full_table=found_full_table)
        self.destination_changed(destination)
        if outcome is AttemptOutcome.DELIVERED:
            destination.queues.durations[message.traffic_class.index].add(duration)
            self.durations.add(duration)

    def _update_connection_use(self, endpoint: Endpoint, kind: int, *, found_full_table: bool) -> None:
        share = self.full_table_shares[kind]
        share += tuning.SMOOTHING_GAIN / 2 * (found_full_table - share)
        self.full_table_shares[kind] = share
        # Closes idle connections if calls are too rare to reuse them, or if connection tables are often full.
        if 2 * endpoint.call_interval > self.settings.idle_timeout or share > tuning.MAX_FULL_TABLE_SHARE:
            self.idle_endpoints.append(endpoint)

    def finish_undelivered(self, message: Message) -> None:
        """Finishes a message without a delivery, and answers its client at once."""
        self.finish(message)
        retries.answer_undelivered(self, message)

    def re_evaluate(self, message: Message) -> None:
        """Answers a message that can no longer be delivered; queues any other anew, as in time or late.

        A message that waits behind its ordering key's first message is not queued.
        """
        if not retries.may_be_sent(self, message):
            self.finish_undelivered(message)
        elif message.queue is None:
            self.schedule_re_evaluation(message)
        else:
            self.enqueue(message)

    def hand_over(self) -> None:
        """Leaves destinations that are down or warming up to the process that takes over.

        That process adopts the messages that stay queued here. Each process would otherwise use the whole
        budget of this sender at a recovering destination.
        """
        self.handing_over = True

    def endpoint_poll_failed(self) -> None:
        """Schedules the next poll at a random time, with a pause that doubles with each failure in a row."""
        self.failed_polls += 1
        pause = min(self.settings.poll_interval, SECOND << min(self.failed_polls, tuning.MAX_POLL_DOUBLINGS))
        delay = int(pause * self.random.uniform(tuning.MIN_POLL_DELAY_SHARE, 1))
        self.actions.schedule_timer(self.now + delay, POLL_TIMER)

    def poll(self) -> None:
        """Polls the endpoint list unless it is pushed."""
        if self.polling:
            self.actions.poll_endpoints()

    def rank(self) -> None:
        """Ranks the endpoints of destinations that had events, and starts polling if the settings require it.

        Drops destinations that are not used any more.
        """
        changed = self.needs_ranking
        self.needs_ranking = {}
        for destination in changed:
            destination.forget_endpoints(tuning.RATE_WINDOW)
            if destination.is_unused():
                del self.destinations[destination.number]
            elif destination.endpoints:
                destination.rank()
            else:
                self.needs_ranking[destination] = None
        settings = self.settings
        if settings.poll_interval and not self.polling:
            # Staggers the first polls by sender number, as all senders may have started at once.
            delay = settings.poll_interval * settings.sender_index // (2 * settings.sender_count)
            self.actions.schedule_timer(self.now + delay, POLL_TIMER)
        self.polling = settings.poll_interval > 0
        self.actions.schedule_timer(self.now + tuning.RANKING_INTERVAL, RANKING_TIMER)
