"""The stage that keeps the books: outcomes and ends go to the ledger, and from there to the platform."""

from __future__ import annotations

from typing import Protocol

from ashpath.core.interface import AttemptOutcome
from ashpath.server import wire_names
from ashpath.server.delivery.notifier import encode_notification
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.storage.write_ahead_log import WriteAheadLog


class Teller(Protocol):
    """Who tells of ends after the 202: from then on it owes the ledger an `ended`."""

    def add(self, entry: StoredMessage) -> None: ...


class Keeper(Protocol):
    """Who keeps ends for clients that ask."""

    def add(self, trace: str, state: str, come_back: int = 0) -> None: ...


class Meter(Protocol):
    """Who counts what happens, where somebody reads it."""

    def message_accepted(self, track: int) -> None: ...

    def message_finished(self, track: int, state: str) -> None: ...

    def attempt_finished(self, ending: AttemptOutcome, took: int) -> None: ...


class OutcomeRecorder:
    def __init__(self, ledger: WriteAheadLog, notices: Teller, ends: Keeper | None = None) -> None:
        self.write_ahead_log, self.notifier, self.outcome_store = ledger, notices, ends
        self.submitting: StoredMessage | None = None  # its client still waits, and has the answer of the turn
        self.metrics: Meter | None = None
        self.submit_result: int | None = None  # when to come back, below 0 for an abort; None: taken on

    def attempt_finished(
        self, entry: StoredMessage, may_have_run: bool, over: bool, completed: bool = False
    ) -> None:
        if over:
            self.store(entry, wire_names.DELIVERED_STATE if completed else wire_names.CANCELLED_STATE)
            self.write_ahead_log.record_finished(entry)
        else:
            self.write_ahead_log.record_outcome(entry, may_have_run=may_have_run)

    def rejected(self, entry: StoredMessage, come_back: int) -> None:
        self.finish(
            entry, come_back, encode_notification(entry, wire_names.REJECTED_STATUS, come_back // 1000)
        )

    def failed(self, entry: StoredMessage) -> None:
        self.finish(entry, -1, encode_notification(entry, wire_names.FAILED_STATUS))

    def store(self, entry: StoredMessage, state: str, come_back: int = 0) -> None:
        """Before the ledger lets go of it: a kill in between leaves both."""
        if self.outcome_store is not None:
            self.outcome_store.add(entry.trace_id, state, come_back)
        if self.metrics is not None:
            self.metrics.message_finished(entry.traffic_class, state)

    def finish(self, entry: StoredMessage, answer: int, line: str) -> None:
        """Told to the client that still waits, else by a notice."""
        if entry is self.submitting:
            self.submit_result = answer
            if self.metrics is not None:
                self.metrics.message_finished(
                    entry.traffic_class,
                    wire_names.FAILED_STATUS if answer < 0 else wire_names.REJECTED_STATUS,
                )
            self.write_ahead_log.record_finished(entry)
        else:
            self.store(
                entry, wire_names.FAILED_STATUS if answer < 0 else wire_names.REJECTED_STATUS, max(0, answer)
            )
            self.write_ahead_log.record_finished(entry, line)
            self.notifier.add(entry)
