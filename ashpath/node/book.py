"""The stage that keeps the books: outcomes and ends go to the ledger, and from there to the platform."""

from __future__ import annotations

from typing import Any

from ashpath.node import names
from ashpath.node.ledger import Entry, Ledger
from ashpath.node.notices import Notices, notice


class Book:
    def __init__(self, ledger: Ledger, notices: Notices, log: Any) -> None:
        self.ledger, self.notices, self.log = ledger, notices, log
        self.handing_in: Entry | None = None  # its client still waits, and has the answer of the turn
        self.answer: int | None = None  # when to come back, below 0 for an abort; None: taken on

    def outcome(self, entry: Entry, may_have_run: bool, over: bool) -> None:
        if over:
            self.ledger.ended(entry)
        else:
            self.ledger.outcome(entry, may_have_run)

    def bounced(self, entry: Entry, come_back: int) -> None:
        if entry is self.handing_in:
            self.answer = come_back
            self.ledger.ended(entry)
        else:
            self.end(entry, notice(entry, names.DEFERRED, come_back // 1000))

    def aborted(self, entry: Entry) -> None:
        if entry is self.handing_in:
            self.answer = -1
            self.ledger.ended(entry)
        else:
            self.end(entry, notice(entry, names.UNDELIVERABLE))

    def end(self, entry: Entry, line: str) -> None:
        self.ledger.ended(entry, line)
        self.notices.add(entry)
