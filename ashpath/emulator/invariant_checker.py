"""Checks the events of a run against the delivery rules, and reports each violation.

The checker shares only the interface's types for traffic classes with the policy, and receives only events
that an external observer with a clock could see. All times are in microseconds of the run. The texts of
violations and message events are printed and stored, and keep terms older than those of the code (envelope,
shot, once-only, bounced). The rules, by their names in outcome files:

    lost        an accepted message has no final answer by its deadline, has several, or is sent after one
    doubled     a message may take, or took, effect twice
    drain       a call is sent to an endpoint after the grace period that follows its reported removal
    returning   a destination in slow start collapsed under load of senders that had seen it fail
    order       a call is sent for a key while an earlier message of that key has not ended, or settles
    wait        a call is sent to a destination before the Retry-After that the destination sent has passed
"""

from __future__ import annotations

from collections import Counter

from ashpath.core.interface import RetrySafety, TrafficClassSettings
from ashpath.emulator.invariant_records import MessageEvent, OrderedQueue, RuleViolation, WatchedMessage

# Times are in microseconds.
LATE_TOLERANCE = 50_000  # a final answer this long after the deadline is in time, as observers' clocks differ
START_TOLERANCE = 1_500_000  # after a restart, for the ends of messages that expired during the downtime
# A collapse violates the rule if senders that had seen the outage sent at least this share of the load.
RESPONSIBLE_LOAD_SHARE = 2 / 3
MAX_VIOLATIONS = 100  # violations that are kept with their events; further ones are only counted
# Outcomes of attempts, by their values:
NOT_RUN = frozenset({"full", "no connection", "unsent"})  # prove that a call has not run
UNRESOLVED = frozenset({"timed out", "reset", "withdrawn"})  # an ordering key settles after these
FAILED = frozenset({"error", "full", "timed out", "no connection", "reset"})
DELIVERED = "completed"
REJECTED = "bounced"


class InvariantChecker:
    """Checks the events of all senders of one run.

    Entries of `_messages` and `_queues` are removed when messages have ended. `_removed`, `_retry_after` and
    `_informed_senders` keep an entry for each endpoint or destination that a sender was notified of, as long
    as the run lasts. With `keeps_ended`, ended messages are kept too, so that a violation after the end of a
    message has the message's events.
    """

    def __init__(
        self,
        grace: int,
        settle_time: int,
        watched: str = "",
        retry_after_slack: int = 0,
        *,
        keeps_ended: bool = False,
    ) -> None:
        self.violations: list[RuleViolation] = []
        self.counts: Counter[str] = Counter()
        self.watched_events: list[MessageEvent] = []  # of the watched message
        self.outages: dict[int, int] = {}  # destinations down or in slow start, with the start of the outage
        self._grace = grace
        self._settle_time = settle_time
        self._watched = watched
        # Calls this soon after a Retry-After were already under way when it was sent.
        self._retry_after_slack = retry_after_slack
        self._messages: dict[tuple[int, int], WatchedMessage] = {}  # by sender and number at that sender
        self._keeps_ended = keeps_ended
        self._ended: dict[tuple[int, int], WatchedMessage] = {}  # empty without `keeps_ended`
        self._queues: dict[tuple[int, int], OrderedQueue] = {}  # by sender and key
        # Time at which each sender was notified of an endpoint's removal.
        self._removed: dict[tuple[int, str], int] = {}
        # Begin and end of the Retry-After, by sender and route.
        self._retry_after: dict[tuple[int, str], tuple[int, int]] = {}
        # Senders that saw a call fail at a destination since its outage began.
        self._informed_senders: dict[int, set[int]] = {}
        self._now = 0

    def _report_violation(self, rule: str, at: int, what: str, message: WatchedMessage | None = None) -> None:
        self.counts[rule] += 1
        if len(self.violations) < MAX_VIOLATIONS:
            events = tuple(message.events) if message else ()
            self.violations.append(RuleViolation(rule, at, what, message.id if message else "", events))

    def _record(self, message: WatchedMessage, at: int, what: str) -> None:
        message.events.append(MessageEvent(at, what))
        if message.id == self._watched:
            self.watched_events.append(MessageEvent(at, f"sender {message.sender}: {what}"))

    # Messages.

    def accepted(
        self,
        at: int,
        sender: int,
        number: int,
        id_: str,
        destination: int,
        settings: TrafficClassSettings,
        ordering_key: int | None,
        deadline_at: int,
    ) -> None:
        """Records that a sender accepted a message, or restored it if the sender already had its number."""
        if (sender, number) in self._messages:
            self.restored(at, sender, number)
            return
        message = WatchedMessage(id_, sender, number, destination, settings, ordering_key, deadline_at)
        self._messages[sender, number] = message
        self._record(message, at, f"taken on for destination {destination}, cut-off at {deadline_at}")
        if settings.ordered and ordering_key is not None:
            queue = self._queues.get((sender, ordering_key))
            if queue is None:
                queue = self._queues[sender, ordering_key] = OrderedQueue()
            queue.waiting.append(message)

    def restored(self, at: int, sender: int, number: int) -> None:
        """Records that a sender's next incarnation has the message.

        Its final answer is not overdue until START_TOLERANCE after the restart.
        """
        message = self._messages.get((sender, number))
        if message is not None:
            self._record(message, at, "taken on again by the next life")
            message.deadline_at = max(message.deadline_at, at + START_TOLERANCE - LATE_TOLERANCE)

    def final_answer(self, at: int, sender: int, number: int, answer: str) -> None:
        """Records a final answer to the message's client, or to the receiver of its notices."""
        self._now = at
        message = self._messages.get((sender, number))
        if message is None:
            what = f"sender {sender} answers {answer} for what is over"
            self._report_violation("lost", at, what, self._ended.get((sender, number)))
            return
        self._record(message, at, answer)
        if message.final_answer:
            self._report_violation(
                "lost", at, f"a second final answer, {answer}, after {message.final_answer}", message
            )
        elif at > message.deadline_at + LATE_TOLERANCE:
            self._report_violation(
                "lost", at, f"{answer} {at - message.deadline_at} us after its cut-off", message
            )
        may_have_run = message.first_run_at is not None or message.in_flight
        at_most_once = message.settings.retry_safety is RetrySafety.AT_MOST_ONCE
        if answer == REJECTED and may_have_run and at_most_once:
            self._report_violation(
                "doubled", at, "a once-only envelope that may have run is bounced", message
            )
        message.final_answer = message.final_answer or answer
        self._release(message)

    def abandoned(self, at: int, sender: int, number: int) -> None:
        """Records that the client no longer waits for a message, which then needs no final answer."""
        message = self._messages.get((sender, number))
        if message is not None:
            self._record(message, at, "nobody wants it any more")
            message.final_answer = message.final_answer or "left"
            self._release(message)

    def _release(self, message: WatchedMessage) -> None:
        if not message.final_answer or message.in_flight:
            return
        del self._messages[message.sender, message.number]
        if self._keeps_ended:
            self._ended[message.sender, message.number] = message
        if not message.settings.ordered or message.ordering_key is None:
            return
        queue = self._queues.get((message.sender, message.ordering_key))
        if queue is not None:
            queue.waiting.remove(message)
            if not queue.waiting and queue.settles_until <= self._now:
                del self._queues[message.sender, message.ordering_key]

    # Attempts.

    def attempt_sent(self, at: int, sender: int, number: int, endpoint: str, route: str) -> None:
        """Records that the first byte of a call is sent, and checks the rules for sending."""
        message = self._messages.get((sender, number))
        if message is None:
            what = f"sender {sender} sends what is over, to {endpoint}"
            self._report_violation("lost", at, what, self._ended.get((sender, number)))
            return
        self._record(message, at, f"shot to {endpoint}")
        if message.final_answer:
            self._report_violation(
                "lost", at, f"sent after its final answer, {message.final_answer}", message
            )
        self._check_doubled(at, message)
        removed = self._removed.get((sender, endpoint))
        if removed is not None and at > removed + self._grace:
            late = at - removed
            self._report_violation(
                "drain", at, f"to {endpoint}, {late} us after it was told off the list", message
            )
        since, until = self._retry_after.get((sender, route), (0, 0))
        if since <= at < until:
            self._report_violation(
                "wait", at, f"to {route}, {until - at} us before its wait is over", message
            )
        if message.settings.ordered and message.ordering_key is not None:
            self._check_order(at, message, self._queues[sender, message.ordering_key])
        message.in_flight += 1

    def _check_doubled(self, at: int, message: WatchedMessage) -> None:
        if message.in_flight:
            self._report_violation("doubled", at, "a second shot beside one that is out", message)
        if message.first_run_at is None:
            return
        settings = message.settings
        since = at - message.first_run_at
        if settings.retry_safety is RetrySafety.AT_MOST_ONCE:
            self._report_violation(
                "doubled", at, "a once-only envelope that may have run is sent again", message
            )
        elif settings.retry_safety is RetrySafety.DEDUPLICATED and since > settings.deduplication_window:
            what = f"a tagged envelope is sent again {since} us after it may have run"
            self._report_violation("doubled", at, what, message)

    def _check_order(self, at: int, message: WatchedMessage, queue: OrderedQueue) -> None:
        if queue.waiting and queue.waiting[0] is not message:
            what = f"before {queue.waiting[0].id} of its key, which is not done"
            self._report_violation("order", at, what, message)
        elif at < queue.settles_until and queue.settling_message is not message:
            self._report_violation(
                "order", at, f"{queue.settles_until - at} us before its key has rested", message
            )

    def attempt_finished(self, at: int, sender: int, number: int, outcome: str, began: int) -> None:
        """Records the outcome, as its sender saw it, of an attempt that began at `began`."""
        self._now = at
        message = self._messages.get((sender, number))
        if message is None:
            return
        message.in_flight -= 1
        self._record(message, at, f"shot ended: {outcome}")
        if outcome not in NOT_RUN and message.first_run_at is None:
            message.first_run_at = began
        if message.ordering_key is not None and message.settings.ordered and outcome in UNRESOLVED:
            queue = self._queues[sender, message.ordering_key]
            queue.settles_until = at + self._settle_time
            queue.settling_message = message
        if outcome in FAILED and message.destination in self.outages:
            self._informed_senders.setdefault(message.destination, set()).add(sender)
        if outcome == DELIVERED and not message.final_answer:
            message.final_answer = DELIVERED
        self._release(message)

    # Notifications to senders.

    def endpoint_listed(self, at: int, sender: int, endpoint: str, listed: bool) -> None:
        """Records that a sender was notified whether an endpoint is active."""
        if listed:
            self._removed.pop((sender, endpoint), None)
        else:
            self._removed.setdefault((sender, endpoint), at)

    def retry_after_received(self, at: int, sender: int, route: str, retry_after: int) -> None:
        """Records a Retry-After for a destination, or for an endpoint that is a separate route."""
        since, until = self._retry_after.get((sender, route), (0, 0))
        if at + retry_after > until:
            begins = since if at < until else at + self._retry_after_slack
            self._retry_after[sender, route] = (begins, at + retry_after)

    def forget_retry_after(self, sender: int) -> None:
        """Discards the Retry-After times of a killed sender, as they end with the incarnation."""
        for key in [key for key in self._retry_after if key[0] == sender]:
            del self._retry_after[key]

    # Destinations.

    def outage_began(self, at: int, destination: int) -> None:
        """Records the start of an outage. Senders whose calls fail before the recovery are informed of it."""
        self.outages[destination] = at
        self._informed_senders[destination] = set()

    def recovered(self, destination: int) -> None:
        """Records that a destination is as fast again as before its outage."""
        self.outages.pop(destination, None)
        self._informed_senders.pop(destination, None)

    def collapsed(self, at: int, destination: int, load: Counter[int]) -> None:
        """Checks a collapse in slow start; `load` has the number of recent calls of each sender."""
        informed = self._informed_senders.get(destination, set())
        informed_calls = sum(count for sender, count in load.items() if sender in informed)
        total_calls = sum(load.values())
        if informed_calls >= RESPONSIBLE_LOAD_SHARE * total_calls:
            what = f"destination {destination} fell: {informed_calls} of {total_calls} calls from who knew"
            self._report_violation("returning", at, what)

    def effects_counted(self, at: int, request: str, effects: int, retry_safety: RetrySafety) -> None:
        """Checks how often one request took effect, over all messages that carried it."""
        if effects > 1 and retry_safety is not RetrySafety.IDEMPOTENT:
            self.counts["doubled"] += 1
            if len(self.violations) < MAX_VIOLATIONS:
                self.violations.append(
                    RuleViolation("doubled", at, f"{request} ran {effects} times", request, ())
                )

    def run_ended(self, at: int) -> None:
        """Reports messages without a final answer whose deadline has passed, at the end of the run."""
        for message in self._messages.values():
            if not message.final_answer and at > message.deadline_at + LATE_TOLERANCE:
                self._report_violation("lost", at, "no final answer", message)
