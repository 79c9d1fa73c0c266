"""Reports on the calls of a simulated day, from the file that `lbsim replay S DAY --tap FILE` writes.

    .venv/bin/python -m benchmarks.tap FILE [DESTINATION]

By kind of destination: calls by outcome, messages per call, and how each call got its connection: an idle one
(kept), or a new one because there was none yet (first), because the sender had closed it (given back), or
because it had exceeded the idle time-out (idled). For each 2.5 s: the mean number of slots that calls held,
that of cancelled calls, and the final outcomes of messages that were not delivered. Last, failed messages by
their number of attempts and the outcome of the first attempt. A call is what one sender sent to one endpoint
in one round, as on the wire. All figures are of simulated servers. With the number of a destination: each
call to the destination with its sender and outcome, and the log lines about the destination.

The names of events, actions and fields are those of the bench's wire. The printed words are older than the
terms of the code, so that reports can be compared with stored ones.
"""

from __future__ import annotations

import sys
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import orjson

ROW_MS = 2_500.0
MAX_FAILED_ROWS = 10
KEEPS_CONNECTION = ("Ok", "Failed", "QueueFull")
CANCELLED = "Canceled"
ANSWERED_SLOTS = "answered"
CANCELLED_SLOTS = "called off"


class Item(NamedTuple):
    """One event or action of a sender."""

    clock_ms: float | None
    """Time of the event; None for an action, which responds to the event before it."""
    sender: int
    name: str
    body: dict[str, Any]


class Call(NamedTuple):
    """The messages that one sender sent to one endpoint in one round."""

    sender: int
    endpoint: str
    at_ms: float


class AttemptKey(NamedTuple):
    """The key of an attempt in flight."""

    sender: int
    message: int


class ConnectionKey(NamedTuple):
    """The key of the connections of one sender to one endpoint."""

    sender: int
    endpoint: str


def read_items(lines: Iterable[bytes]) -> Iterator[Item]:
    """Yields the items of all senders in the order of the file."""
    for line in lines:
        if not line.startswith(b"{"):
            continue
        row = orjson.loads(line)
        for group in row.get("senders") or ():
            for item in group.get("items") or group.get("output") or ():
                ((name, body),) = item.items()
                yield Item(row.get("wall"), group["sender-id"], name, body)


class Tap:
    """The figures of one file. Add all items, then call `report`.

    >>> tap, kinds = Tap(), {"endpoint": "x", "hw": 0}
    >>> facts = {"specifics": {"per-call": [5]}, "limits": {"conn-idle": 9000.0}}
    >>> ended = {"endpoint": "x", "outcome": "Ok", "delay-seen": 3000.0}
    >>> tap.add(Item(0.0, 1, "Hello", {"facts": facts}))
    >>> tap.add(Item(0.0, 1, "Register", {"rows-in": [kinds]}))
    >>> for at, name, body in [
    ...     (None, "CallOut", {"rid": 1, "endpoint": "x"}), (None, "CallOut", {"rid": 2, "endpoint": "x"}),
    ...     (3000.0, "Returned", ended | {"rid": 1}), (3000.0, "Returned", ended | {"rid": 2}),
    ...     (None, "CallOut", {"rid": 3, "endpoint": "x"}), (None, "Release", {"endpoint": "x"}),
    ...     (4000.0, "Returned", ended | {"rid": 3, "outcome": "Canceled", "delay-seen": 1000.0}),
    ...     (None, "Fail", {"rid": 3}), (None, "CallOut", {"rid": 4, "endpoint": "x"}),
    ... ]:
    ...     tap.add(Item(at, 1, name, body))
    >>> print("\\n".join(tap.report()))
    kind 0: 3 calls, 1.33 envelopes a call
      shots {'Ok': 2, 'Canceled': 1}
      connections {'first': 1, 'kept': 1, 'given back': 1}
       0.0 s  slots 1.0, called off 0.0  {}
       2.5 s  slots 0.6, called off 0.4  {'aborted': 1}
    aborted 1: 1 shots, first Canceled: 1
    """

    def __init__(self) -> None:
        self._kinds: dict[str, int] = {}  # by endpoint
        self._messages_per_call: list[int] = []  # by kind
        self._idle_timeout_ms = 0.0
        self._clock_ms = 0.0
        self._began_ms: float | None = None
        self._outcomes: dict[int, Counter[str]] = defaultdict(Counter)  # by kind, as the next three
        self._messages: Counter[int] = Counter()
        self._calls: Counter[int] = Counter()
        self._connections: dict[int, Counter[str]] = defaultdict(Counter)
        self._slots: defaultdict[tuple[int, str], float] = defaultdict(float)  # milliseconds, by row and kind
        self._given_up: dict[int, Counter[str]] = defaultdict(Counter)  # by row
        self._failed: Counter[tuple[int, str]] = Counter()  # by number of attempts and the first outcome
        self._in_flight: dict[AttemptKey, Call] = {}
        self._attempts_left: Counter[Call] = Counter()
        self._idle_since: dict[ConnectionKey, list[float]] = {}
        self._released: set[ConnectionKey] = set()
        self._attempts: dict[AttemptKey, list[str]] = defaultdict(list)  # outcomes, by message
        self._handlers: dict[str, Callable[[int, dict[str, Any]], None]] = {
            "Hello": self._hello,
            "Register": self._register,
            "CallOut": self._call_started,
            "Returned": self._call_returned,
            "Release": self._released_connections,
            "TurnAway": self._rejected,
            "Fail": self._message_failed,
        }

    def add(self, item: Item) -> None:
        """Counts one item."""
        if item.clock_ms is not None:
            self._clock_ms = item.clock_ms
            if self._began_ms is None:
                self._began_ms = item.clock_ms
        handler = self._handlers.get(item.name)
        if handler is not None:
            handler(item.sender, item.body)

    @property
    def _row(self) -> int:
        return int((self._clock_ms - (self._began_ms or 0.0)) / ROW_MS)

    def _hello(self, _: int, body: dict[str, Any]) -> None:
        self._messages_per_call = body["facts"]["specifics"]["per-call"]
        self._idle_timeout_ms = body["facts"]["limits"]["conn-idle"]

    def _register(self, _: int, body: dict[str, Any]) -> None:
        self._kinds.update((row["endpoint"], row["hw"]) for row in body["rows-in"])

    def _call_started(self, sender: int, body: dict[str, Any]) -> None:
        endpoint = body["endpoint"]
        kind = self._kinds[endpoint]
        call = Call(sender, endpoint, self._clock_ms)
        self._in_flight[AttemptKey(sender, body["rid"])] = call
        self._messages[kind] += 1
        joins_another = self._messages_per_call[kind] > 1 and self._attempts_left[call] > 0
        self._attempts_left[call] += 1
        if not joins_another:
            self._calls[kind] += 1
            self._connections[kind][self._take_connection(ConnectionKey(sender, endpoint))] += 1

    def _take_connection(self, connection_key: ConnectionKey) -> str:
        """Takes a connection for a call, and returns how the call got the connection."""
        idle = self._idle_since.get(connection_key, [])
        usable = [since for since in idle if self._clock_ms - since < self._idle_timeout_ms]
        self._idle_since[connection_key] = usable[:-1]
        if usable:
            return "kept"
        if idle:
            return "idled"
        return "given back" if connection_key in self._released else "first"

    def _call_returned(self, sender: int, body: dict[str, Any]) -> None:
        endpoint = body["endpoint"]
        outcome = body["outcome"]
        key = AttemptKey(sender, body["rid"])
        self._outcomes[self._kinds[endpoint]][outcome] += 1
        self._attempts[key].append(outcome)
        call = self._in_flight.pop(key, None)
        if call is None:
            return
        self._attempts_left[call] -= 1
        if not self._attempts_left[call]:
            del self._attempts_left[call]
            kind = CANCELLED_SLOTS if outcome == CANCELLED else ANSWERED_SLOTS
            self._add_slot_time(self._clock_ms - body["delay-seen"], kind)
            if outcome in KEEPS_CONNECTION:
                self._idle_since.setdefault(ConnectionKey(sender, endpoint), []).append(self._clock_ms)

    def _add_slot_time(self, since_ms: float, kind: str) -> None:
        """Adds the duration of a call that ends now to the rows that the call overlaps."""
        row = self._row
        start = (self._began_ms or 0.0) + row * ROW_MS
        while row >= 0 and since_ms < start + ROW_MS:
            self._slots[row, kind] += min(self._clock_ms, start + ROW_MS) - max(since_ms, start)
            row -= 1
            start -= ROW_MS

    def _released_connections(self, sender: int, body: dict[str, Any]) -> None:
        connection_key = ConnectionKey(sender, body["endpoint"])
        self._idle_since.pop(connection_key, None)
        self._released.add(connection_key)

    def _rejected(self, _: int, __: dict[str, Any]) -> None:
        self._given_up[self._row]["bounced"] += 1

    def _message_failed(self, sender: int, body: dict[str, Any]) -> None:
        self._given_up[self._row]["aborted"] += 1
        outcomes = self._attempts.get(AttemptKey(sender, body["rid"]), [])
        self._failed[len(outcomes), outcomes[0] if outcomes else "never sent"] += 1

    def report(self) -> list[str]:
        """Returns the lines of the report."""
        lines: list[str] = []
        for kind in sorted(self._outcomes):
            each = self._messages[kind] / max(1, self._calls[kind])
            lines.append(f"kind {kind}: {self._calls[kind]} calls, {each:.2f} envelopes a call")
            lines.append(f"  shots {dict(self._outcomes[kind].most_common())}")
            lines.append(f"  connections {dict(self._connections[kind].most_common())}")
        for row in sorted({row for row, _ in self._slots} | set(self._given_up)):
            cancelled = self._slots[row, CANCELLED_SLOTS]
            held = (self._slots[row, ANSWERED_SLOTS] + cancelled) / ROW_MS
            ends = dict(self._given_up[row])
            at = f"{row * ROW_MS / 1000:6.1f} s"
            lines.append(f"{at}  slots {held:.1f}, called off {cancelled / ROW_MS:.1f}  {ends}")
        failed = [
            f"{number} shots, first {first}: {count}"
            for (number, first), count in self._failed.most_common(MAX_FAILED_ROWS)
        ]
        return [*lines, f"aborted {self._failed.total()}: " + "; ".join(failed)]


def history(items: Iterable[Item], destination: int) -> Iterator[str]:
    """Yields a line for each event of one destination.

    >>> rows = [{"endpoint": "x", "cell": 7}]
    >>> items = [Item(9.0, 3, "Register", {"rows-in": rows}), Item(None, 3, "CallOut", {"endpoint": "x"}),
    ...          Item(2009.0, 3, "Returned", {"endpoint": "x", "outcome": "QueueFull", "remark-ms": 5}),
    ...          Item(None, 3, "WriteLog", {"what": "route x ailing"}),
    ...          Item(None, 3, "CallOut", {"endpoint": "y"})]
    >>> print(*history(items, 7), sep=chr(10))
    0.000 s sender 3 CallOut x
    2.000 s sender 3 QueueFull x, told 5 ms
    2.000 s sender 3 route x ailing
    """
    began_ms: float | None = None
    clock_ms = 0.0
    endpoints: set[str] = set()
    for item in items:
        clock_ms = clock_ms if item.clock_ms is None else item.clock_ms
        began_ms = clock_ms if began_ms is None else began_ms
        for row in item.body.get("rows-in") or ():
            if row["cell"] == destination:
                endpoints.add(row["endpoint"])
        text = _text_of(item, destination, endpoints)
        if text:
            yield f"{(clock_ms - began_ms) / 1000:.3f} s sender {item.sender} {text}"


def _text_of(item: Item, destination: int, endpoints: set[str]) -> str:
    """Returns the text of an item; empty if the item does not concern the destination."""
    body = item.body
    endpoint = str(body.get("endpoint") or "")
    if item.name in ("CallOut", "Returned") and endpoint in endpoints:
        retry_after = f", told {body['remark-ms']} ms" if body.get("remark-ms") else ""
        return f"{body.get('outcome', item.name)} {endpoint}{retry_after}"
    logged = str(body.get("what") or "")
    words = logged.split(" ")
    is_of_destination = words[1:2] == [str(destination)] or endpoints & set(words)
    return logged if is_of_destination else ""


def main() -> None:
    """Runs the command of the command line."""
    with Path(sys.argv[1]).open("rb") as file:
        if len(sys.argv) > 2:
            print("\n".join(history(read_items(file), int(sys.argv[2]))))
            return
        tap = Tap()
        for item in read_items(file):
            tap.add(item)
    print("\n".join(tap.report()))


if __name__ == "__main__":
    main()
