"""The stage that keeps the books: outcomes and ends go to the ledger, and from there to the platform."""

from __future__ import annotations

from ashpath.node import names
from ashpath.node.ledger import Entry, Ledger
from ashpath.node.notices import Notices, notice


class Book:
    def __init__(self, ledger: Ledger, notices: Notices) -> None:
        self.ledger, self.notices = ledger, notices
        self.handing_in: Entry | None = None  # its client still waits, and has the answer of the turn
        self.answer: int | None = None  # when to come back, below 0 for an abort; None: taken on

    def outcome(self, entry: Entry, may_have_run: bool, over: bool) -> None:
        if over:
            self.ledger.ended(entry)
        else:
            self.ledger.outcome(entry, may_have_run)

    def bounced(self, entry: Entry, come_back: int) -> None:
        self.end(entry, come_back, notice(entry, names.DEFERRED, come_back // 1000))

    def aborted(self, entry: Entry) -> None:
        self.end(entry, -1, notice(entry, names.UNDELIVERABLE))

    def end(self, entry: Entry, answer: int, line: str) -> None:
        """Told to the client that still waits, else by a notice."""
        if entry is self.handing_in:
            self.answer = answer
            self.ledger.ended(entry)
        else:
            self.ledger.ended(entry, line)
            self.notices.add(entry)
