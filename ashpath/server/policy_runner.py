"""Owns the sender and its turns. No greenlet switches within a turn: the answers only queue work."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from ashpath.core.interface import (
    AttemptOutcome,
    EndpointRecord,
    LoadReport,
    PolicySettings,
    PreviousAttempts,
)
from ashpath.policy.delivery_policy import DeliveryPolicy
from ashpath.server import wire_names
from ashpath.server.delivery.attempts import Attempt, AttemptRunner
from ashpath.server.delivery.outcome_recorder import OutcomeRecorder
from ashpath.server.storage.outage_store import OutageStore
from ashpath.server.storage.shared_memory import SharedMemory
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog
from ashpath.server.timers import Timers, now, wall

News = tuple[Callable[..., None], tuple[Any, ...]]


class PolicyRunner:
    """What the module asks for goes from here to the stages, in the order of its answers."""

    def __init__(
        self,
        terms: PolicySettings,
        ledger: WriteAheadLog,
        book: OutcomeRecorder,
        send: AttemptRunner,
        log: Any,
        board: SharedMemory,
        outages: OutageStore,
    ) -> None:
        self.write_ahead_log, self.recorder, self.attempt_runner, self.logger = ledger, book, send, log
        self.messages: dict[int, StoredMessage] = {}  # what the sender owes an end; emptied as they have it
        self.attempts: dict[int, Attempt] = {}  # calls out, by envelope; emptied by their outcomes
        self.abandoned: set[int] = set()  # their clients left with a call out; emptied by its outcome
        self.queue: list[News] = []  # emptied after each turn
        self.timers = Timers(self.timers_fired)
        self.ending = False  # no shot is begun any more: what is held is the next life's
        self.policy = DeliveryPolicy(terms, self)
        self.outage_store = outages  # what a further life has to know of destinations that are out
        self.shared_memory = board  # what binds the other process of a hot upgrade at once, and the other way
        self.peers: Callable[[bytes], None] = lambda note: None  # carries notes to other senders
        self.holds: Callable[[], list[News]] = list  # what the file of holds says that is not done here yet

    def run_batch(self, *news: News) -> None:
        self.policy.begin_batch(now())
        for call, arguments in (*news, *self.shared_events()):
            call(*arguments)
        self.policy.end_batch()
        while self.queue:
            work, self.queue = self.queue, []
            for act, arguments in work:
                act(*arguments)

    def shared_events(self) -> list[News]:
        """What another process of this sender was told since the last look. It comes after a turn's own news,
        which may list the endpoints, and before its close, which sends."""
        if not self.shared_memory.changed():
            return []
        moment, clock = now(), wall()
        told, holds = self.shared_memory.updates(clock)
        news: list[News] = [
            (self.policy.retry_after_received, (n, id_, moment + end - clock)) for n, id_, end in told
        ]
        return news + (self.holds() if holds else [])

    # News of the stages.

    def restore(self, rows: list[EndpointRecord], held: list[str] | None = None) -> None:
        """The operators' holds, the directory as last held, the outages that an earlier life was told of,
        then what it left, in the order taken."""
        news: list[News] = [(self.policy.set_detached, (endpoint, True)) for endpoint in held or []]
        news.append((self.policy.update_endpoints, (rows, True)))
        news += [(self.policy.restore_outage, told) for told in self.outage_store.active()]
        self.adopt(list(self.write_ahead_log.live.values()), news)

    def set_detached(self, endpoint: str, out: bool, row: EndpointRecord | None) -> None:
        self.run_batch((self.policy.set_detached, (endpoint, out, row)))

    def adopt(self, entries: list[StoredMessage], news: list[News] | None = None) -> None:
        """What an earlier life or a process gone in a hot upgrade left, in the order taken, in one turn."""
        news = news or []
        for entry in entries:
            if entry.finished:
                self.recorder.notifier.add(entry)
                continue
            unheard = entry.in_flight_since is not None
            if unheard:
                self.write_ahead_log.record_outcome(entry, may_have_run=True)
            self.messages[entry.message_id] = entry
            ran_at = None if entry.first_run_at is None else now() - (wall() - entry.first_run_at)
            past = PreviousAttempts(entry.attempts, ran_at, entry.first_run_endpoint, unheard)
            left = entry.deadline - wall()
            facts = (entry.message_id, entry.destination, entry.traffic_class, entry.ordering_key, left, past)
            news.append((self.policy.restore, facts))
        self.run_batch(*news)

    def update_endpoints(self, rows: list[EndpointRecord], whole: bool) -> None:
        self.run_batch((self.policy.update_endpoints, (rows, whole)))

    def apply_settings(self, terms: PolicySettings, rows: list[EndpointRecord]) -> None:
        """The list again, as kinds may have other routes now."""
        self.run_batch((self.policy.apply_settings, (terms,)), (self.policy.update_endpoints, (rows, True)))

    def receive_gossip(self, note: bytes) -> None:
        self.run_batch((self.policy.receive_gossip, (note,)))

    def submit(self, entry: StoredMessage) -> None:
        self.messages[entry.message_id] = entry
        left = entry.deadline - wall()
        if self.recorder.metrics is not None:
            self.recorder.metrics.message_accepted(entry.traffic_class)
        self.run_batch(
            (
                self.policy.submit,
                (entry.message_id, entry.destination, entry.traffic_class, entry.ordering_key, left),
            )
        )

    def attempt_finished(
        self, flight: Attempt, ending: AttemptOutcome, wait: int, closed: bool, told: LoadReport | None
    ) -> None:
        number = flight.message.message_id
        self.attempts.pop(number, None)
        if self.recorder.metrics is not None:
            self.recorder.metrics.attempt_finished(ending, now() - flight.deadline + flight.timeout)
        if wait:
            self.shared_memory.publish_retry_after(
                flight.message.destination, flight.endpoint_id, wall() + wait
            )
        if closed:
            self.messages.pop(number, None)
        elif number in self.abandoned:
            self.write_ahead_log.record_finished(flight.message)
        self.abandoned.discard(number)
        self.run_batch((self.policy.attempt_finished, (number, ending, wait, closed, told)))

    def client_disconnected(self, entry: StoredMessage) -> None:
        if self.messages.pop(entry.message_id, None):
            self.recorder.store(entry, wire_names.CANCELLED_STATE)
            if entry.message_id in self.attempts:
                # The call may run yet: while it is out, the same message is not taken on beside it, and a
                # further life knows of it, for the order of its key.
                self.abandoned.add(entry.message_id)
            else:
                self.write_ahead_log.record_finished(entry)
            self.run_batch((self.policy.client_disconnected, (entry.message_id,)))

    def timers_fired(self, tokens: list[str]) -> None:
        self.run_batch(*((self.policy.timer_fired, (token,)) for token in tokens))

    def still_valid(self, entry: StoredMessage) -> bool:
        if self.shared_memory.changed():  # guards waits and holds told to the other process a moment ago
            self.run_batch()
        return self.policy.still_valid(entry.message_id, now())

    # Answers of the module.

    def start_attempt(self, envelope: int, endpoint: str, timeout: int) -> None:
        self.queue.append((self.begin_attempt, (self.messages[envelope], endpoint, timeout)))

    def reject(self, envelope: int, come_back: int) -> None:
        self.queue.append((self.recorder.rejected, (self.messages.pop(envelope), come_back)))

    def fail(self, envelope: int) -> None:
        self.queue.append((self.recorder.failed, (self.messages.pop(envelope),)))

    def cancel_attempt(self, envelope: int, shot: int) -> None:
        flight = self.attempts.get(envelope)
        if flight is not None:
            self.queue.append((flight.cancel, ()))

    def close_idle_connections(self, endpoint: str) -> None:
        self.queue.append((self.attempt_runner.pool.close_idle, (endpoint,)))

    def poll_endpoints(self) -> None:
        """The directory's stage asks by itself."""

    def publish(self, note: bytes) -> None:
        self.queue.append((self.peers, (note,)))

    def schedule_timer(self, at: int, token: str) -> None:
        self.timers.add(at, token)

    def mode_changed(self, text: str, destination: int, endpoint: str, out: bool, rate: float) -> None:
        self.logger.info("mode changed", change=text)
        ramp = self.policy.settings.warm_up_time
        self.queue.append((self.outage_store.mode_changed, (destination, endpoint, out, rate, ramp)))

    def begin_attempt(self, entry: StoredMessage, endpoint: str, timeout: int) -> None:
        if self.ending:
            return
        ordered = (
            entry.ordering_key is not None
            and self.policy.traffic_classes[entry.traffic_class].settings.ordered
        )
        flight = Attempt(entry, endpoint, now() + timeout, timeout, ordered=ordered)
        self.attempts[entry.message_id] = flight
        try:
            self.write_ahead_log.record_attempt(entry, wall(), endpoint)
        except OSError as error:  # unrecorded, it could run twice after a restart
            self.logger.error("attempt not recorded", error=str(error))
            # Not in this turn: the module would send it again at once, until it had no try left.
            pause = self.attempt_runner.pool.limits.retry_s
            gevent.spawn_later(pause, self.attempt_finished, flight, AttemptOutcome.NOT_SENT, 0, False, None)
            return
        self.attempt_runner.start(flight)
