"""Names each rule that a day broke, from its records alone, with the slack of the rules' pages.

| rule | broken by |
| --- | --- |
| lost | an accepted message without its end 0.3 s after its deadline; a request without any answer |
| doubled | a call of a message that may have run, and may not run again, or not so late; two calls at once |
| drain | a call to an endpoint later than the grace after its departure counts as received |
| returning | more calls at a destination just back than its budget |
| order | a call for a key while an earlier message of that key, accepted before, has no end |
| wait | a call at a destination before the Retry-After that the sender received there is over |
| crash | a process that ended by itself, or was not ready in time |

Nothing is overdue from the end of an incarnation until 1.5 s after the next one is ready.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from itertools import pairwise
from math import sqrt

from msgspec import Struct

from ashpath.emulator.soak.records import Call, Effect, Incarnation, Reply, SoakRecords, Submission

END_SLACK_S = 0.3
RESTART_SLACK_S = 1.5
NOTICE_RETRY_S = 0.4
READY_TIMEOUT_S = 10.0
LATE_DRAIN_SLACK_S = 0.2  # a sender may be held up between its clock and the write, and lines take a moment
RETRY_AFTER_SLACK_S = 0.15
NEW_CONNECTION_ALLOWED_S = 0.3  # before SIGTERM's effect is known, a crossing is nobody's fault
SHUTDOWN_MARGIN_S = 0.5  # around the end of an incarnation, connections are reset
SMALL_BUDGET_CALLS = 30


class RuleCheckerSettings(Struct, frozen=True):
    """Of the day's settings, in seconds and calls a second."""

    grace_s: float
    window_s: float
    overload_s: float
    cold_rate: float
    """What a destination takes just after an outage."""
    overload_multiple: float


class BrokenRule(Struct, frozen=True):
    """One finding, in one line."""

    rule: str
    description: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.description}"


class RuleChecker:
    """Judges one day."""

    def __init__(self, records: SoakRecords, settings: RuleCheckerSettings) -> None:
        self.records = records
        self.settings = settings
        self.calls_by_message: dict[str, list[Call]] = defaultdict(list)
        for call in sorted(records.calls, key=lambda call: call.begun_at):
            self.calls_by_message[call.message_id].append(call)

    def broken_rules(self) -> list[BrokenRule]:
        """All of them; none where the day was good."""
        checks = (
            self.crashes,
            self.lost_messages,
            self.unanswered_requests,
            self.doubled_calls,
            self.calls_to_departed_endpoints,
            self.overloaded_recoveries,
            self.calls_out_of_order,
            self.calls_before_retry_after,
        )
        return [broken for check in checks for broken in check()]

    def crashes(self) -> Iterator[BrokenRule]:
        """Processes that ended by themselves or came up late."""
        for crash in self.records.crashes:
            yield BrokenRule("crash", crash)
        for incarnation in self.records.incarnations:
            late = not incarnation.ready_at or incarnation.ready_at - incarnation.started_at > READY_TIMEOUT_S
            if late and incarnation.end_began_at - incarnation.started_at > READY_TIMEOUT_S:
                yield BrokenRule("crash", f"sender {incarnation.sender} not ready in {READY_TIMEOUT_S:.0f} s")

    def lost_messages(self) -> Iterator[BrokenRule]:
        """Accepted, and without an end when one was due."""
        for submission in self.records.submissions.values():
            if submission.status not in (200, 202):
                continue
            due = self.due_at(submission)
            if due > self.records.ended_at:
                continue
            ended = self.outcome_time(submission)
            if ended is None or ended > due:
                when = "never" if ended is None else f"{ended - due:.2f} s late"
                yield BrokenRule(
                    "lost", f"{submission.message_id} at sender {submission.sender}: its end came {when}"
                )

    def due_at(self, submission: Submission) -> float:
        """When its end is overdue."""
        due = submission.deadline_at + END_SLACK_S
        for incarnation, following in self.incarnations(submission.sender):
            if incarnation.end_began_at <= due:
                ready_at = following.ready_at if following is not None else 0.0
                due = max(due, (ready_at or 1e18) + RESTART_SLACK_S + END_SLACK_S)
        for fault in sorted(self.records.network_faults, key=lambda fault: fault.began_at):
            # Who cannot dial cannot notify: the next try follows the end of the fault.
            if fault.sender == submission.sender and fault.began_at <= due <= fault.ended_at + NOTICE_RETRY_S:
                due = fault.ended_at + NOTICE_RETRY_S
        return due

    def incarnations(self, sender: int) -> Iterator[tuple[Incarnation, Incarnation | None]]:
        """Each incarnation of a sender, and the one that followed it."""
        incarnations = [
            incarnation for incarnation in self.records.incarnations if incarnation.sender == sender
        ]
        for number, incarnation in enumerate(incarnations):
            yield incarnation, incarnations[number + 1] if number + 1 < len(incarnations) else None

    def outcome_time(self, submission: Submission) -> float | None:
        """When it was delivered, or its end notified."""
        ends = [
            call.ended_at
            for call in self.calls_by_message[submission.message_id]
            if call.reply is Reply.DELIVERED
        ]
        if submission.message_id in self.records.notices:
            ends.append(self.records.notices[submission.message_id])
        return min(ends, default=None)

    def unanswered_requests(self) -> Iterator[BrokenRule]:
        """Read on a new connection, and ended without an answer though the process lived."""
        for submission in self.records.submissions.values():
            if not (submission.closed_unanswered and submission.written and submission.connection_is_new):
                continue
            if not self.overlaps_shutdown(submission):
                yield BrokenRule(
                    "lost", f"request {submission.message_id} at sender {submission.sender}: no answer"
                )

    def overlaps_shutdown(self, submission: Submission) -> bool:
        """Whether a process ended, or was not there, as the request was out."""
        return not any(
            incarnation.sender == submission.sender
            and incarnation.ready_at
            and incarnation.ready_at <= submission.sent_at
            and submission.answered_at < incarnation.end_began_at - SHUTDOWN_MARGIN_S
            for incarnation in self.records.incarnations
        )

    def doubled_calls(self) -> Iterator[BrokenRule]:
        """What may not run again, and did."""
        for message_id, calls in self.calls_by_message.items():
            submission = self.records.submissions.get(message_id)
            if submission is None:
                yield BrokenRule("doubled", f"a call of {message_id}, which nobody submitted")
                continue
            for earlier, later in pairwise(calls):
                is_in_flight = not earlier.ended_at or earlier.ended_at > later.begun_at + LATE_DRAIN_SLACK_S
                if is_in_flight and not self.was_killed_between(earlier, later):
                    yield BrokenRule("doubled", f"two calls of {message_id} at once")
            first_run = next((call for call in calls if call.reply.may_have_run), None)
            if first_run is None or submission.effect is Effect.REPEATABLE:
                continue
            for call in calls[calls.index(first_run) + 1 :]:
                too_late = call.begun_at - first_run.begun_at > self.settings.window_s
                if submission.effect is Effect.AT_MOST_ONCE or too_late:
                    yield BrokenRule("doubled", f"{message_id} ({submission.effect.value}) called again")

    def was_killed_between(self, earlier: Call, later: Call) -> bool:
        """Whether the sender's process ended, and its connections with it."""
        return any(
            incarnation.sender == earlier.sender
            and earlier.begun_at <= incarnation.killed_at <= later.begun_at
            for incarnation in self.records.incarnations
        )

    def calls_to_departed_endpoints(self) -> Iterator[BrokenRule]:
        """Calls later than the grace after a departure counts as received."""
        allowed_until = {
            (departure.sender, departure.endpoint_id): departure.received_by
            + self.settings.grace_s
            + LATE_DRAIN_SLACK_S
            for departure in self.records.departures
        }
        for call in self.records.calls:
            until = allowed_until.get((call.sender, call.endpoint_id))
            if until is not None and call.begun_at > until:
                late_s = call.begun_at - until
                yield BrokenRule(
                    "drain", f"sender {call.sender} called {call.endpoint_id} {late_s:.2f} s late"
                )

    def overloaded_recoveries(self) -> Iterator[BrokenRule]:
        """More calls than the budget, in the first window behind an outage."""
        budget = self.settings.cold_rate * self.settings.overload_multiple * self.settings.overload_s
        factor = 3 if budget < SMALL_BUDGET_CALLS else 2
        allowed = budget + factor * sqrt(budget) + factor
        for outage in self.records.outages:
            window_end = outage.ended_at + self.settings.overload_s
            calls = [
                call
                for call in self.records.calls
                if call.destination == outage.destination and outage.ended_at <= call.begun_at < window_end
            ]
            if len(calls) > allowed:
                description = f"{len(calls)} calls of {allowed:.1f} at destination {outage.destination}"
                yield BrokenRule("returning", description)

    def calls_out_of_order(self) -> Iterator[BrokenRule]:
        """A later message of a key is called while an earlier one is not over."""
        queues: dict[tuple[int, str], list[Submission]] = defaultdict(list)
        for submission in self.records.submissions.values():
            if submission.ordering_key and submission.status in (200, 202):
                queues[submission.sender, submission.ordering_key].append(submission)
        for queue in queues.values():
            queue.sort(key=lambda submission: submission.answered_at)
            yield from self.calls_out_of_order_in_queue(queue)

    def calls_out_of_order_in_queue(self, queue: Sequence[Submission]) -> Iterator[BrokenRule]:
        """Within one key."""
        for number, later in enumerate(queue):
            first_call = next(iter(self.calls_by_message[later.message_id]), None)
            if first_call is None:
                continue
            for earlier in queue[:number]:
                if earlier.answered_at >= later.sent_at:
                    continue  # both were on their way at once: no order was asked for
                ended = self.outcome_time(earlier)
                if ended is None or ended > first_call.begun_at:
                    yield BrokenRule("order", f"{later.message_id} before the end of {earlier.message_id}")

    def calls_before_retry_after(self) -> Iterator[BrokenRule]:
        """By sender and destination; a restart ends the wait."""
        for refused in self.records.calls:
            if not refused.retry_after_s:
                continue
            until = refused.ended_at + refused.retry_after_s
            for call in self.records.calls:
                same = call.sender == refused.sender and call.destination == refused.destination
                early = refused.ended_at + RETRY_AFTER_SLACK_S < call.begun_at < until - RETRY_AFTER_SLACK_S
                if same and early and not self.was_killed_between(refused, call):
                    yield BrokenRule("wait", f"sender {call.sender} at destination {call.destination}")
