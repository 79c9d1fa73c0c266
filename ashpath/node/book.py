"""The stage that keeps the books: outcomes and ends go to the ledger, and from there to the platform."""

from __future__ import annotations

from typing import Protocol

from ashpath.door import Ending
from ashpath.node import names
from ashpath.node.ledger import Entry, Ledger
from ashpath.node.notices import notice


class Teller(Protocol):
    """Who tells of ends after the 202: from then on it owes the ledger an `ended`."""

    def add(self, entry: Entry) -> None: ...


class Keeper(Protocol):
    """Who keeps ends for clients that ask."""

    def add(self, trace: str, state: str, come_back: int = 0) -> None: ...


class Meter(Protocol):
    """Who counts what happens, where somebody reads it."""

    def taken(self, track: int) -> None: ...

    def ended(self, track: int, state: str) -> None: ...

    def shot(self, ending: Ending, took: int) -> None: ...


class Book:
    def __init__(self, ledger: Ledger, notices: Teller, ends: Keeper | None = None) -> None:
        self.ledger, self.notices, self.ends = ledger, notices, ends
        self.handing_in: Entry | None = None  # its client still waits, and has the answer of the turn
        self.meter: Meter | None = None
        self.answer: int | None = None  # when to come back, below 0 for an abort; None: taken on

    def outcome(self, entry: Entry, may_have_run: bool, over: bool, completed: bool = False) -> None:
        if over:
            self.keep(entry, names.COMPLETED if completed else names.WITHDRAWN)
            self.ledger.ended(entry)
        else:
            self.ledger.outcome(entry, may_have_run)

    def bounced(self, entry: Entry, come_back: int) -> None:
        self.end(entry, come_back, notice(entry, names.DEFERRED, come_back // 1000))

    def aborted(self, entry: Entry) -> None:
        self.end(entry, -1, notice(entry, names.UNDELIVERABLE))

    def keep(self, entry: Entry, state: str, come_back: int = 0) -> None:
        """Before the ledger lets go of it: a kill in between leaves both."""
        if self.ends is not None:
            self.ends.add(entry.trace, state, come_back)
        if self.meter is not None:
            self.meter.ended(entry.track, state)

    def end(self, entry: Entry, answer: int, line: str) -> None:
        """Told to the client that still waits, else by a notice."""
        if entry is self.handing_in:
            self.answer = answer
            if self.meter is not None:
                self.meter.ended(entry.track, names.UNDELIVERABLE if answer < 0 else names.DEFERRED)
            self.ledger.ended(entry)
        else:
            self.keep(entry, names.UNDELIVERABLE if answer < 0 else names.DEFERRED, max(0, answer))
            self.ledger.ended(entry, line)
            self.notices.add(entry)
