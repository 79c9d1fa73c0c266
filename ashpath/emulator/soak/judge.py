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

from ashpath.emulator.soak.records import Call, DayRecords, Effect, Incarnation, Reply, Submission

END_SLACK_S = 0.3
RESTART_SLACK_S = 1.5
NOTICE_RETRY_S = 0.4
READY_S = 10.0
LATE_DRAIN_SLACK_S = 0.2  # a sender may be held up between its clock and the write, and lines take a moment
RETRY_AFTER_SLACK_S = 0.15
NEW_CONNECTION_ALLOWED_S = 0.3  # before SIGTERM's effect is known, a crossing is nobody's fault
REQUEST_CROSSING_S = 0.5  # around the end of an incarnation, connections are reset
SMALL_BUDGET = 30


class JudgeSettings(Struct, frozen=True):
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
    what: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.what}"


class Judge:
    """Judges one day."""

    def __init__(self, records: DayRecords, settings: JudgeSettings) -> None:
        self.records = records
        self.settings = settings
        self.calls_of: dict[str, list[Call]] = defaultdict(list)
        for call in sorted(records.calls, key=lambda call: call.begun_at):
            self.calls_of[call.message_id].append(call)

    def broken_rules(self) -> list[BrokenRule]:
        """All of them; none where the day was good."""
        checks = (
            self.crashes,
            self.lost_messages,
            self.unanswered_requests,
            self.doubled_calls,
            self.calls_to_departed,
            self.overloaded_returns,
            self.calls_out_of_order,
            self.calls_before_retry_after,
        )
        return [broken for check in checks for broken in check()]

    def crashes(self) -> Iterator[BrokenRule]:
        """Processes that ended by themselves or came up late."""
        for crash in self.records.crashes:
            yield BrokenRule("crash", crash)
        for incarnation in self.records.incarnations:
            late = not incarnation.ready_at or incarnation.ready_at - incarnation.started_at > READY_S
            if late and incarnation.end_began_at - incarnation.started_at > READY_S:
                yield BrokenRule("crash", f"sender {incarnation.sender} not ready in {READY_S:.0f} s")

    def lost_messages(self) -> Iterator[BrokenRule]:
        """Accepted, and without an end when one was due."""
        for one in self.records.submissions.values():
            if one.status not in (200, 202):
                continue
            due = self.due_at(one)
            if due > self.records.ended_at:
                continue
            ended = self.end_of(one)
            if ended is None or ended > due:
                when = "never" if ended is None else f"{ended - due:.2f} s late"
                yield BrokenRule("lost", f"{one.message_id} at sender {one.sender}: its end came {when}")

    def due_at(self, one: Submission) -> float:
        """When its end is overdue."""
        due = one.deadline_at + END_SLACK_S
        for incarnation, following in self.incarnations(one.sender):
            if incarnation.end_began_at <= due:
                ready_at = following.ready_at if following is not None else 0.0
                due = max(due, (ready_at or 1e18) + RESTART_SLACK_S + END_SLACK_S)
        for fault in sorted(self.records.network_faults, key=lambda fault: fault.began_at):
            # Who cannot dial cannot notify: the next try follows the end of the fault.
            if fault.sender == one.sender and fault.began_at <= due <= fault.ended_at + NOTICE_RETRY_S:
                due = fault.ended_at + NOTICE_RETRY_S
        return due

    def incarnations(self, sender: int) -> Iterator[tuple[Incarnation, Incarnation | None]]:
        """Each incarnation of a sender, and the one that followed it."""
        incarnations = [
            incarnation for incarnation in self.records.incarnations if incarnation.sender == sender
        ]
        for number, incarnation in enumerate(incarnations):
            yield incarnation, incarnations[number + 1] if number + 1 < len(incarnations) else None

    def end_of(self, one: Submission) -> float | None:
        """When it was delivered, or its end notified."""
        ends = [call.ended_at for call in self.calls_of[one.message_id] if call.reply is Reply.DELIVERED]
        if one.message_id in self.records.notices:
            ends.append(self.records.notices[one.message_id])
        return min(ends, default=None)

    def unanswered_requests(self) -> Iterator[BrokenRule]:
        """Read on a new connection, and ended without an answer though the process lived."""
        for one in self.records.submissions.values():
            if not (one.closed_unanswered and one.written and one.connection_is_new):
                continue
            if not self.crosses_an_end(one):
                yield BrokenRule("lost", f"request {one.message_id} at sender {one.sender}: no answer")

    def crosses_an_end(self, one: Submission) -> bool:
        """Whether a process ended, or was not there, as the request was out."""
        return not any(
            incarnation.sender == one.sender
            and incarnation.ready_at
            and incarnation.ready_at <= one.sent_at
            and one.answered_at < incarnation.end_began_at - REQUEST_CROSSING_S
            for incarnation in self.records.incarnations
        )

    def doubled_calls(self) -> Iterator[BrokenRule]:
        """What may not run again, and did."""
        for message_id, calls in self.calls_of.items():
            submission = self.records.submissions.get(message_id)
            if submission is None:
                yield BrokenRule("doubled", f"a call of {message_id}, which nobody submitted")
                continue
            for earlier, later in pairwise(calls):
                out = not earlier.ended_at or earlier.ended_at > later.begun_at + LATE_DRAIN_SLACK_S
                if out and not self.ended_between(earlier, later):
                    yield BrokenRule("doubled", f"two calls of {message_id} at once")
            ran = next((call for call in calls if call.reply.may_have_run), None)
            if ran is None or submission.effect is Effect.REPEATABLE:
                continue
            for call in calls[calls.index(ran) + 1 :]:
                too_late = call.begun_at - ran.begun_at > self.settings.window_s
                if submission.effect is Effect.AT_MOST_ONCE or too_late:
                    yield BrokenRule("doubled", f"{message_id} ({submission.effect.value}) called again")

    def ended_between(self, earlier: Call, later: Call) -> bool:
        """Whether the sender's process ended, and its connections with it."""
        return any(
            incarnation.sender == earlier.sender
            and earlier.begun_at <= incarnation.killed_at <= later.begun_at
            for incarnation in self.records.incarnations
        )

    def calls_to_departed(self) -> Iterator[BrokenRule]:
        """Calls later than the grace after a departure counts as received."""
        allowed_until = {
            (one.sender, one.endpoint_id): one.received_by + self.settings.grace_s + LATE_DRAIN_SLACK_S
            for one in self.records.departures
        }
        for call in self.records.calls:
            until = allowed_until.get((call.sender, call.endpoint_id))
            if until is not None and call.begun_at > until:
                late_s = call.begun_at - until
                yield BrokenRule(
                    "drain", f"sender {call.sender} called {call.endpoint_id} {late_s:.2f} s late"
                )

    def overloaded_returns(self) -> Iterator[BrokenRule]:
        """More calls than the budget, in the first window behind an outage."""
        budget = self.settings.cold_rate * self.settings.overload_multiple * self.settings.overload_s
        factor = 3 if budget < SMALL_BUDGET else 2
        allowed = budget + factor * sqrt(budget) + factor
        for outage in self.records.outages:
            window_end = outage.ended_at + self.settings.overload_s
            calls = [
                call
                for call in self.records.calls
                if call.destination == outage.destination and outage.ended_at <= call.begun_at < window_end
            ]
            if len(calls) > allowed:
                what = f"{len(calls)} calls of {allowed:.1f} at destination {outage.destination}"
                yield BrokenRule("returning", what)

    def calls_out_of_order(self) -> Iterator[BrokenRule]:
        """A later message of a key is called while an earlier one is not over."""
        queues: dict[tuple[int, str], list[Submission]] = defaultdict(list)
        for one in self.records.submissions.values():
            if one.ordering_key and one.status in (200, 202):
                queues[one.sender, one.ordering_key].append(one)
        for queue in queues.values():
            queue.sort(key=lambda one: one.answered_at)
            yield from self.out_of_order(queue)

    def out_of_order(self, queue: Sequence[Submission]) -> Iterator[BrokenRule]:
        """Within one key."""
        for number, later in enumerate(queue):
            first_call = next(iter(self.calls_of[later.message_id]), None)
            if first_call is None:
                continue
            for earlier in queue[:number]:
                if earlier.answered_at >= later.sent_at:
                    continue  # both were on their way at once: no order was asked for
                ended = self.end_of(earlier)
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
                if same and early and not self.ended_between(refused, call):
                    yield BrokenRule("wait", f"sender {call.sender} at destination {call.destination}")
