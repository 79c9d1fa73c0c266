"""Owns the sender and its turns. No greenlet switches within a turn: the answers only queue work."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from ashpath.decide import Sender
from ashpath.door import Ending, Listing, Past, Terms, Told
from ashpath.node import names
from ashpath.node.board import Board
from ashpath.node.book import Book
from ashpath.node.ledger import Entry, Ledger
from ashpath.node.outages import Outages
from ashpath.node.send import Flight, Send
from ashpath.node.timers import Timers, now, wall

News = tuple[Callable[..., None], tuple[Any, ...]]


class Host:
    """What the module asks for goes from here to the stages, in the order of its answers."""

    def __init__(
        self, terms: Terms, ledger: Ledger, book: Book, send: Send, log: Any, board: Board, outages: Outages
    ) -> None:
        self.ledger, self.book, self.send, self.logger = ledger, book, send, log
        self.entries: dict[int, Entry] = {}  # what the sender owes an end; emptied as they have it
        self.flights: dict[int, Flight] = {}  # calls out, by envelope; emptied by their outcomes
        self.leaving: set[int] = set()  # their clients left with a call out; emptied by its outcome
        self.queue: list[News] = []  # emptied after each turn
        self.timers = Timers(self.woken)
        self.ending = False  # no shot is begun any more: what is held is the next life's
        self.sender = Sender(terms, self)
        self.outages = outages  # what a further life has to know of destinations that are out
        self.board = board  # what binds the other process of a hot upgrade at once, and the other way
        self.peers: Callable[[bytes], None] = lambda note: None  # carries notes to other senders
        self.holds: Callable[[], list[News]] = list  # what the file of holds says that is not done here yet

    def turn(self, *news: News) -> None:
        self.sender.open_turn(now())
        for call, arguments in (*news, *self.shared()):
            call(*arguments)
        self.sender.close_turn()
        while self.queue:
            work, self.queue = self.queue, []
            for act, arguments in work:
                act(*arguments)

    def shared(self) -> list[News]:
        """What another process of this sender was told since the last look. It comes after a turn's own news,
        which may list the endpoints, and before its close, which sends."""
        if not self.board.changed():
            return []
        moment, clock = now(), wall()
        told, holds = self.board.news(clock)
        news: list[News] = [(self.sender.waited, (n, id_, moment + end - clock)) for n, id_, end in told]
        return news + (self.holds() if holds else [])

    # News of the stages.

    def restore(self, rows: list[Listing], held: list[str] | None = None) -> None:
        """The operators' holds, the directory as last held, the outages that an earlier life was told of,
        then what it left, in the order taken."""
        news: list[News] = [(self.sender.hold, (endpoint, True)) for endpoint in held or []]
        news.append((self.sender.listed, (rows, True)))
        news += [(self.sender.outage, told) for told in self.outages.running()]
        self.adopt(list(self.ledger.live.values()), news)

    def hold(self, endpoint: str, out: bool, row: Listing | None) -> None:
        self.turn((self.sender.hold, (endpoint, out, row)))

    def adopt(self, entries: list[Entry], news: list[News] | None = None) -> None:
        """What an earlier life or a process gone in a hot upgrade left, in the order taken, in one turn."""
        news = news or []
        for entry in entries:
            if entry.over:
                self.book.notices.add(entry)
                continue
            unheard = entry.out_at is not None
            if unheard:
                self.ledger.outcome(entry, may_have_run=True)
            self.entries[entry.number] = entry
            ran_at = None if entry.ran_at is None else now() - (wall() - entry.ran_at)
            past = Past(entry.shots, ran_at, entry.ran_to, unheard)
            left = entry.cutoff - wall()
            facts = (entry.number, entry.destination, entry.track, entry.order, left, past)
            news.append((self.sender.restored, facts))
        self.turn(*news)

    def listed(self, rows: list[Listing], whole: bool) -> None:
        self.turn((self.sender.listed, (rows, whole)))

    def switch(self, terms: Terms, rows: list[Listing]) -> None:
        """The list again, as kinds may have other routes now."""
        self.turn((self.sender.switch, (terms,)), (self.sender.listed, (rows, True)))

    def heard(self, note: bytes) -> None:
        self.turn((self.sender.heard, (note,)))

    def take(self, entry: Entry) -> None:
        self.entries[entry.number] = entry
        left = entry.cutoff - wall()
        if self.book.meter is not None:
            self.book.meter.taken(entry.track)
        self.turn((self.sender.take, (entry.number, entry.destination, entry.track, entry.order, left)))

    def returned(self, flight: Flight, ending: Ending, wait: int, closed: bool, told: Told | None) -> None:
        number = flight.entry.number
        self.flights.pop(number, None)
        if self.book.meter is not None:
            self.book.meter.shot(ending, now() - flight.due + flight.timeout)
        if wait:
            self.board.told(flight.entry.destination, flight.endpoint, wall() + wait)
        if closed:
            self.entries.pop(number, None)
        elif number in self.leaving:
            self.ledger.ended(flight.entry)
        self.leaving.discard(number)
        self.turn((self.sender.returned, (number, ending, wait, closed, told)))

    def gone(self, entry: Entry) -> None:
        if self.entries.pop(entry.number, None):
            self.book.keep(entry, names.WITHDRAWN)
            if entry.number in self.flights:
                # The call may run yet: while it is out, the same message is not taken on beside it, and a
                # further life knows of it, for the order of its key.
                self.leaving.add(entry.number)
            else:
                self.ledger.ended(entry)
            self.turn((self.sender.gone, (entry.number,)))

    def woken(self, tokens: list[str]) -> None:
        self.turn(*((self.sender.woken, (token,)) for token in tokens))

    def stands(self, entry: Entry) -> bool:
        if self.board.changed():  # guards waits and holds told to the other process a moment ago
            self.turn()
        return self.sender.stands(entry.number, now())

    # Answers of the module.

    def shoot(self, envelope: int, endpoint: str, timeout: int) -> None:
        self.queue.append((self.begin, (self.entries[envelope], endpoint, timeout)))

    def bounce(self, envelope: int, come_back: int) -> None:
        self.queue.append((self.book.bounced, (self.entries.pop(envelope), come_back)))

    def abort(self, envelope: int) -> None:
        self.queue.append((self.book.aborted, (self.entries.pop(envelope),)))

    def withdraw(self, envelope: int, shot: int) -> None:
        flight = self.flights.get(envelope)
        if flight is not None:
            self.queue.append((flight.withdraw, ()))

    def release(self, endpoint: str) -> None:
        self.queue.append((self.send.pool.release, (endpoint,)))

    def ask(self) -> None:
        """The directory's stage asks by itself."""

    def tell(self, note: bytes) -> None:
        self.queue.append((self.peers, (note,)))

    def wake(self, at: int, token: str) -> None:
        self.timers.add(at, token)

    def mode(self, text: str, destination: int, endpoint: str, out: bool, rate: float) -> None:
        self.logger.info("mode", what=text)
        ramp = self.sender.terms.ramp_time
        self.queue.append((self.outages.note, (destination, endpoint, out, rate, ramp)))

    def begin(self, entry: Entry, endpoint: str, timeout: int) -> None:
        if self.ending:
            return
        ordered = entry.order is not None and self.sender.tracks[entry.track].terms.ordered
        flight = Flight(entry, endpoint, now() + timeout, timeout, ordered=ordered)
        self.flights[entry.number] = flight
        try:
            self.ledger.shot(entry, wall(), endpoint)
        except OSError as error:  # unrecorded, it could run twice after a restart
            self.logger.error("shot not recorded", error=str(error))
            # Not in this turn: the module would send it again at once, until it had no try left.
            pause = self.send.pool.limits.retry
            gevent.spawn_later(pause, self.returned, flight, Ending.UNSENT, 0, False, None)
            return
        self.send.begin(flight)
