"""Reports each rule that a run broke, from its records alone, with the tolerances of the documented rules.

| rule | broken by |
| --- | --- |
| lost | an accepted message without a final outcome 0.3 s after its deadline; a request without a response |
| doubled | a call of a message that may have run already, against its class or window; two concurrent calls |
| drain | a call to an endpoint after the drain grace, which starts when its departure counts as received |
| returning | more calls to a recovering destination than its budget |
| order | a call for a key while a message of that key that was accepted earlier has no final outcome |
| wait | a call to a destination before the Retry-After that the sender received from it has passed |
| crash | a process that ended unexpectedly, or was not ready in time |
| memory | processes of a sender that are larger together than its memory limit, at any time |
| sockets | processes of a sender that hold more sockets together than its limit, at any time |
| disk | a state directory over the disk limit, at any time |

`sender_history` has the tolerances for what happened to a sender's processes and paths.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from itertools import pairwise

from msgspec import Struct

from ashpath.emulator.recovery_budget import allowed_calls, recovery_budget
from ashpath.emulator.soak.records import Call, Effect, Reply, SoakRecords, Submission
from ashpath.emulator.soak.sender_history import SenderHistory

READY_TIMEOUT_S = 10.0
LATE_DRAIN_SLACK_S = 0.2  # covers delays between the sender's clock reading, its write and the network
RETRY_AFTER_SLACK_S = 0.15
CONCURRENT_SLACK_S = 0.05  # by which the documented rules extend each time limit


class RuleCheckerSettings(Struct, frozen=True):
    """The settings of the run that the rules depend on, in seconds and calls per second."""

    grace_s: float
    window_s: float
    overload_s: float
    cold_rate: float
    """The call rate that a destination sustains directly after an outage."""
    overload_multiple: float
    disk_bytes: int
    """The disk limit of each sender."""


class BrokenRule(Struct, frozen=True):
    """One violation of a rule, described in one line."""

    rule: str
    description: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.description}"


class RuleChecker:
    """Checks the records of one run."""

    def __init__(self, records: SoakRecords, settings: RuleCheckerSettings) -> None:
        self.records = records
        self.settings = settings
        self.history = SenderHistory(records)
        self.calls_by_message: dict[str, list[Call]] = defaultdict(list)
        for call in sorted(records.calls, key=lambda call: call.begun_at):
            self.calls_by_message[call.message_id].append(call)

    def broken_rules(self) -> list[BrokenRule]:
        """Returns all violations."""
        checks = (
            self.crashes,
            self.senders_over_memory_limit,
            self.senders_over_socket_limit,
            self.directories_over_limit,
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
        """Yields processes that ended unexpectedly or were not ready in time."""
        for crash in self.records.crashes:
            yield BrokenRule("crash", crash)
        for incarnation in self.records.incarnations:
            late = not incarnation.ready_at or incarnation.ready_at - incarnation.started_at > READY_TIMEOUT_S
            if late and incarnation.end_began_at - incarnation.started_at > READY_TIMEOUT_S:
                yield BrokenRule("crash", f"sender {incarnation.sender} not ready in {READY_TIMEOUT_S:.0f} s")

    def senders_over_memory_limit(self) -> Iterator[BrokenRule]:
        """Yields senders, of one process or two, that were larger than their memory limit."""
        for sender, most_bytes in self.records.most_resident_bytes.items():
            allowed = self.records.memory_bytes[sender]
            if most_bytes > allowed:
                yield BrokenRule("memory", f"sender {sender} had {most_bytes} bytes, {allowed} allowed")

    def senders_over_socket_limit(self) -> Iterator[BrokenRule]:
        """Yields senders whose processes held more sockets together than the limit."""
        for sender, most in self.records.most_sockets.items():
            allowed = self.records.max_sockets[sender]
            if most > allowed:
                yield BrokenRule("sockets", f"sender {sender} held {most} sockets, {allowed} allowed")

    def directories_over_limit(self) -> Iterator[BrokenRule]:
        """Yields senders, of one process or two, whose files took more than the disk limit."""
        for sender, most_bytes in self.records.most_disk_bytes.items():
            if most_bytes > self.settings.disk_bytes:
                yield BrokenRule(
                    "disk", f"sender {sender} held {most_bytes} bytes, {self.settings.disk_bytes} allowed"
                )

    def lost_messages(self) -> Iterator[BrokenRule]:
        """Yields accepted messages without a final outcome at the due time."""
        for submission in self.records.submissions.values():
            if submission.status not in (200, 202):
                continue
            due = self.history.due_at(submission)
            if due > self.records.ended_at:
                continue
            ended = self.outcome_time(submission)
            if ended is None or ended > due:
                when = "missing" if ended is None else f"{ended - due:.2f} s late"
                yield BrokenRule(
                    "lost", f"{submission.message_id} at sender {submission.sender}: final outcome {when}"
                )

    def outcome_time(self, submission: Submission) -> float | None:
        """Returns when the message was delivered or its outcome was notified; None if neither happened."""
        ends = [
            call.ended_at
            for call in self.calls_by_message[submission.message_id]
            if call.reply is Reply.DELIVERED
        ]
        if submission.message_id in self.records.notices:
            ends.append(self.records.notices[submission.message_id])
        return min(ends, default=None)

    def unanswered_requests(self) -> Iterator[BrokenRule]:
        """Yields requests on new connections that a running process closed without a response."""
        for submission in self.records.submissions.values():
            if not (submission.closed_unanswered and submission.written and submission.connection_is_new):
                continue
            if not (
                self.history.overlaps_shutdown(submission)
                or self.history.was_closed_by_proxy(submission)
                or self.history.was_closed_by_kill(submission)
            ):
                yield BrokenRule(
                    "lost", f"request {submission.message_id} at sender {submission.sender}: no response"
                )

    def doubled_calls(self) -> Iterator[BrokenRule]:
        """Yields repeated calls that the traffic class forbids, and concurrent calls of one message."""
        for message_id, calls in self.calls_by_message.items():
            submission = self.records.submissions.get(message_id)
            if submission is None:
                yield BrokenRule("doubled", f"call of {message_id}, which no client submitted")
                continue
            for earlier, later in pairwise(calls):
                is_in_flight = not earlier.ended_at or earlier.ended_at > later.begun_at + CONCURRENT_SLACK_S
                if is_in_flight and not self.history.was_killed_between(earlier, later):
                    yield BrokenRule("doubled", f"two concurrent calls of {message_id}")
            first_run = next((call for call in calls if call.reply.may_have_run), None)
            if first_run is None or submission.effect is Effect.REPEATABLE:
                continue
            for call in calls[calls.index(first_run) + 1 :]:
                too_late = call.begun_at - first_run.begun_at > self.settings.window_s
                if submission.effect is Effect.AT_MOST_ONCE or too_late:
                    yield BrokenRule("doubled", f"{message_id} ({submission.effect.value}) called again")

    def calls_to_departed_endpoints(self) -> Iterator[BrokenRule]:
        """Yields calls to an endpoint after the drain grace of its departure."""
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
        """Yields destinations with more calls than their budget in the first `overload_s` after an outage."""
        settings = self.settings
        allowed = allowed_calls(
            recovery_budget(settings.cold_rate, settings.overload_multiple, settings.overload_s)
        )
        for outage in self.records.outages:
            window_end = outage.ended_at + self.settings.overload_s
            calls = [
                call
                for call in self.records.calls
                if call.destination == outage.destination and outage.ended_at <= call.begun_at < window_end
            ]
            if len(calls) > allowed:
                description = (
                    f"{len(calls)} calls, {allowed:.1f} allowed, to destination {outage.destination}"
                )
                yield BrokenRule("returning", description)

    def calls_out_of_order(self) -> Iterator[BrokenRule]:
        """Yields calls of a message while an earlier message of the same key has no final outcome."""
        queues: dict[tuple[int, str], list[Submission]] = defaultdict(list)
        for submission in self.records.submissions.values():
            if submission.ordering_key and submission.status in (200, 202):
                queues[submission.sender, submission.ordering_key].append(submission)
        for queue in queues.values():
            queue.sort(key=lambda submission: submission.answered_at)
            yield from self.calls_out_of_order_in_queue(queue)

    def calls_out_of_order_in_queue(self, queue: Sequence[Submission]) -> Iterator[BrokenRule]:
        """Yields the calls out of order within the queue of one key."""
        for number, later in enumerate(queue):
            first_call = next(iter(self.calls_by_message[later.message_id]), None)
            if first_call is None:
                continue
            for earlier in queue[:number]:
                if earlier.answered_at >= later.sent_at:
                    continue  # the client submitted both concurrently, which requests no order
                ended = self.outcome_time(earlier)
                if ended is None or ended > first_call.begun_at:
                    yield BrokenRule(
                        "order", f"{later.message_id} called before the outcome of {earlier.message_id}"
                    )

    def calls_before_retry_after(self) -> Iterator[BrokenRule]:
        """Yields calls during a wait that an endpoint of their destination asked the same sender for.

        A restart ends the wait, a hot upgrade does not."""
        for asked in self.records.retry_afters:
            if asked.lost or self.history.may_have_lost_data(asked.sender, asked.written_at):
                continue
            until = asked.written_at + asked.wait_s
            for call in self.records.calls:
                same = call.sender == asked.sender and call.destination == asked.destination
                early = (
                    asked.written_at + RETRY_AFTER_SLACK_S < self.history.sent_by(call)
                    and call.begun_at < until - RETRY_AFTER_SLACK_S
                )
                if same and early and not self.history.was_restarted_within(asked.written_at, call):
                    yield BrokenRule(
                        "wait",
                        f"sender {call.sender} called {call.endpoint_id} of destination {call.destination} "
                        f"with {call.message_id} {call.begun_at - asked.written_at:.2f} s into the wait of "
                        f"{asked.wait_s:.2f} s that {asked.endpoint_id} asked for",
                    )
