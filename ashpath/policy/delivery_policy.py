"""The policy's entry point: events in, `PolicyActions` out; `PolicyEngine` keeps the books."""

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
from ashpath.core.statistics import SECOND, EventRate, RunningStatistics
from ashpath.core.timers import POLL_TIMER, RANKING_TIMER
from ashpath.policy import retries, tuning
from ashpath.policy.destination import Destination, cancel_overdue_attempt
from ashpath.policy.judgement import is_connection_table_full, was_overtaken


class DeliveryPolicy(PolicyEngine):
    """All decisions of one sender. Times are microseconds of one clock that only goes forward."""

    re_evaluation_time = retries.re_evaluation_time  # of a message that waits

    def __init__(self, settings: PolicySettings, actions: PolicyActions) -> None:
        super().__init__(
            settings,
            actions,
            initial_rate=tuning.INITIAL_RATE,
            durations=RunningStatistics(tuning.SMOOTHING_GAIN),
            submissions=EventRate(tuning.RATE_WINDOW, started_at=0),
        )
        self.idle_endpoints: list[Endpoint] = []  # whose connections may be closed; emptied each batch
        self.polling = False  # the endpoint list is not pushed
        actions.schedule_timer(0, RANKING_TIMER)
        self.apply_settings(settings)

    def apply_settings(self, settings: PolicySettings) -> None:
        """Takes other settings; traffic classes keep their numbers, and messages their class as it was."""
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
                for gate in (destination.gate, *(e.gate for e in destination.known.values())):
                    gate.rate_limit.reset()

    def new_destination(self, number: int) -> Destination:
        """A destination that was not known before."""
        return Destination(self, number)

    def end_batch(self) -> None:
        """Sends what may go after the batch's events."""
        for _ in range(len(self.needs_dispatch)):  # each at most once, and none once too many are in flight
            if len(self.attempts_in_flight) >= self.settings.max_in_flight:
                cancel_overdue_attempt(self)
                break
            self.needs_dispatch.popitem(last=False)[0].dispatch()
        # Guards endpoints that take few connections against idle ones. Costs a new connection a call.
        for endpoint in (e for e in self.idle_endpoints if not e.in_flight):
            self.actions.close_idle_connections(endpoint.endpoint_id)
        self.idle_endpoints.clear()

    def enforce_queue_capacity(self) -> None:
        """Guards the rest against queues that fill up: of those longest late, the least gives way."""
        if len(self.messages) > tuning.SHEDDING_QUEUE_SHARE * self.settings.queue_capacity > 0:
            candidates = islice(self.late_messages, tuning.SHEDDING_CANDIDATES)
            self.finish_undelivered(min(candidates, key=lambda late: late.value_at(self.now)))

    def still_valid(self, message_id: int, now: int) -> bool:
        """Whether an attempt may still go once its connection is up: listed, and no Retry-After meanwhile."""
        message = self.messages[message_id]
        if message.attempt is None or message.attempt.endpoint not in message.destination.endpoints:
            return False
        return now >= message.attempt.endpoint.gate.retry_after_until

    def attempt_finished(
        self,
        message_id: int,
        outcome: AttemptOutcome,
        retry_after: int,
        final: bool,
        report: LoadReport | None,
    ) -> None:
        """An attempt's outcome; `retry_after`: its Retry-After; `final`: the message needs nothing more."""
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
            message.attempts -= 1  # nobody has seen it: its attempts are not used up
        if message.ordered_queue and outcome in tuning.MAY_STILL_RUN:
            message.ordered_queue.settles_at = self.now + self.settings.settle_time
        if message.first_run is None and outcome not in NEVER_RAN:
            message.first_run = FirstRun(attempt.started_at, attempt.endpoint.zone)
        delivered = outcome is AttemptOutcome.DELIVERED
        if final or delivered or message.state is MessageState.ABANDONED:
            self.finish(message)
        elif retries.may_be_sent(self, message):
            transition(message, MessageState.QUEUED)
            self.enqueue(message, first=True)
        else:
            self.finish_undelivered(message)

    def _record_outcome(
        self, message: Message, attempt: Attempt, outcome: AttemptOutcome, retry_after: int
    ) -> None:
        # A call has one outcome for its gate, however many messages travel in it.
        gate = attempt.endpoint.gate
        destination = message.destination
        duration = self.now - attempt.started_at
        attempt.unresolved -= 1
        gate.retry_after_until = max(gate.retry_after_until, self.now + retry_after)
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
        if 2 * endpoint.call_interval > self.settings.idle_timeout or share > tuning.MAX_FULL_TABLE_SHARE:
            self.idle_endpoints.append(endpoint)

    def finish_undelivered(self, message: Message) -> None:
        """The final answer, at once."""
        self.finish(message)
        retries.answer_undelivered(self, message)

    def re_evaluate(self, message: Message) -> None:
        """Answers a message for which it is too late, or queues it by what it can still make."""
        if not retries.may_be_sent(self, message):
            self.finish_undelivered(message)
        elif message.queue is None:
            self.schedule_check(message)
        else:
            self.enqueue(message)

    def endpoint_poll_failed(self) -> None:
        """Polls again at a random time, ever later."""
        self.failed_polls += 1
        pause = min(self.settings.poll_interval, SECOND << min(self.failed_polls, tuning.MAX_POLL_DOUBLINGS))
        delay = int(pause * self.random.uniform(tuning.MIN_POLL_DELAY_SHARE, 1))
        self.actions.schedule_timer(self.now + delay, POLL_TIMER)

    def poll(self) -> None:
        """Polls the endpoint list, if it is not pushed."""
        if self.polling:
            self.actions.poll_endpoints()

    def rank(self) -> None:
        """Ranks endpoints where there were events; drops destinations that nothing is known of any more."""
        changed = self.needs_ranking
        self.needs_ranking = {}
        for destination in changed:
            destination.forget_endpoints(tuning.RATE_WINDOW)
            if not (destination.known or destination.unfinished_messages):
                del self.destinations[destination.number]
            elif destination.endpoints:
                destination.rank()
            else:
                self.needs_ranking[destination] = None
        settings = self.settings
        if settings.poll_interval and not self.polling:  # by number, as all may have started at once
            delay = settings.poll_interval * settings.sender_index // (2 * settings.sender_count)
            self.actions.schedule_timer(self.now + delay, POLL_TIMER)
        self.polling = settings.poll_interval > 0
        self.actions.schedule_timer(self.now + tuning.RANKING_INTERVAL, RANKING_TIMER)
