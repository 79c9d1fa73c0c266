"""The stage that puts what came back, or did not, into the module's words."""

from __future__ import annotations

from collections.abc import Callable

from gevent import Timeout

from ashpath.decide import PROVES_UNRUN
from ashpath.door import Ending, Told
from ashpath.node import names
from ashpath.node.book import Book
from ashpath.node.codec import Message
from ashpath.node.send import Flight, Unsent, Withdrawn

# A status that the protocol does not name says nothing of whether the call ran: an error.
ENDINGS = {
    200: Ending.COMPLETED,
    410: Ending.UNSENT,
    429: Ending.FULL,
    503: Ending.FULL,
    504: Ending.UNSENT,
}


def number(text: bytes | None) -> float | None:
    """A number of a header or a report; none where there is none, or one that cannot be meant.

    >>> number(b"0.25"), number(b"soon"), number(None), number(b"nan"), number(b"-1")
    (0.25, None, None, None, None)
    """
    try:
        value = float(text or b"")
    except ValueError:
        return None
    return value if 0 <= value < 1e6 else None


class Relay:
    def __init__(self, book: Book, reports: bool) -> None:
        self.book, self.reports = book, reports
        self.returned: Callable[[Flight, Ending, int, bool, Told | None], None] = lambda *_: None

    def __call__(self, flight: Flight) -> None:
        ending, wait, closed, told = self.outcome(flight)
        completed = ending is Ending.COMPLETED
        self.book.outcome(flight.entry, ending not in PROVES_UNRUN, closed, completed)
        self.returned(flight, ending, wait, closed, told)

    def outcome(self, flight: Flight) -> tuple[Ending, int, bool, Told | None]:
        """The ending, a wait that was told, whether the envelope is over, and what was told of the limit."""
        answer, failure = flight.answer, flight.failure
        if answer is None:
            if isinstance(failure, Withdrawn):
                return Ending.WITHDRAWN, 0, False, None
            if isinstance(failure, Unsent):
                return Ending.UNSENT, 0, False, None
            if not flight.written:
                return Ending.NO_CONNECTION, 0, False, None
            return Ending.TIMED_OUT if isinstance(failure, Timeout) else Ending.RESET, 0, False, None
        status, headers = answer.status, answer.headers
        ending = ENDINGS.get(status, Ending.ERROR)
        if status == 503 and headers.get(names.FULL, b"") == b"1":
            ending = Ending.UNSENT
        elif status == 503 and flight.fresh and not answer.keep:
            # Guards against a full table of connections taken for a limit or a shut destination: the first
            # call on a connection is turned away with it.
            ending = Ending.CROWDED
        wait = round((number(headers.get(names.WAIT)) or 0.0) * 1e6) if ending is Ending.FULL else 0
        return ending, wait, status in (200, 410), self.told(answer)

    def told(self, answer: Message) -> Told | None:
        """What `TEXT x0=0.4, x1=25` tells of the limit; a rate of 0 stands for none."""
        report = answer.headers.get(names.REPORT)
        if not self.reports or report is None:
            return None
        pairs = (word.strip(b", ").partition(b"=") for word in report.replace(b",", b" ").split())
        values = {name: number(value) for name, _, value in pairs}
        left, rate = values.get(b"x0"), values.get(b"x1")
        if left is None or not rate:
            return None  # half a report tells nothing: a share of 0 would stop all calls
        return Told(min(left, 1.0), rate)
