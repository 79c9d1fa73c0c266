"""What the calls of a day in the simulator came to, from what `lbsim replay S DAY --tap FILE` writes.

    .venv/bin/python -m benchmarks.tap FILE [DESTINATION]

By kind of destination: calls by how they ended, envelopes a call, and how each call came by its connection:
kept, or new because there was none yet, because it had been given back, or because it had idled too long.
By 2.5 s: how many slots calls held in the mean, those of calls called off beside it, and how envelopes that
were given up ended. Last, aborted envelopes by their number of shots and how the first one ended. A call is
what one sender sent to one endpoint in one round, as the wire has it. All figures are of simulated servers.
With the number of a destination: all that was sent there, by whom, how it ended, and what was logged of it.
"""

from __future__ import annotations

import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from typing import Any

import orjson

SPAN = 2_500.0  # milliseconds of a row


def rounds(lines: Iterable[bytes]) -> Iterator[tuple[float | None, int, str, dict[str, Any]]]:
    """The clock (none: an answer of the module), the sender, and one event or action."""
    for line in lines:
        if not line.startswith(b"{"):
            continue
        told = orjson.loads(line)
        for group in told.get("senders") or ():
            for item in group.get("items") or group.get("output") or ():
                ((name, body),) = item.items()
                yield told.get("wall"), group["sender-id"], name, body


class Tap:
    """
    >>> tap, kinds = Tap(), {"endpoint": "x", "hw": 0}
    >>> facts = {"specifics": {"per-call": [5]}, "limits": {"conn-idle": 9000.0}}
    >>> ended = {"endpoint": "x", "outcome": "Ok", "delay-seen": 3000.0}
    >>> tap.take(0.0, 1, "Hello", {"facts": facts}), tap.take(0.0, 1, "Register", {"rows-in": [kinds]})
    (None, None)
    >>> for at, name, body in [
    ...     (None, "CallOut", {"rid": 1, "endpoint": "x"}), (None, "CallOut", {"rid": 2, "endpoint": "x"}),
    ...     (3000.0, "Returned", ended | {"rid": 1}), (3000.0, "Returned", ended | {"rid": 2}),
    ...     (None, "CallOut", {"rid": 3, "endpoint": "x"}), (None, "Release", {"endpoint": "x"}),
    ...     (4000.0, "Returned", ended | {"rid": 3, "outcome": "Canceled", "delay-seen": 1000.0}),
    ...     (None, "Fail", {"rid": 3}), (None, "CallOut", {"rid": 4, "endpoint": "x"}),
    ... ]:
    ...     tap.take(at, 1, name, body)
    >>> print("\\n".join(tap.report()))
    kind 0: 3 calls, 1.33 envelopes a call
      shots {'Ok': 2, 'Canceled': 1}
      connections {'first': 1, 'kept': 1, 'given back': 1}
       0.0 s  slots 1.0, called off 0.0  {}
       2.5 s  slots 0.6, called off 0.4  {'aborted': 1}
    aborted 1: 1 shots, first Canceled: 1
    """

    def __init__(self) -> None:
        self.kinds: dict[str, int] = {}
        self.per_call: list[int] = []
        self.idle_life = self.clock = 0.0
        self.began: float | None = None
        self.ends: dict[int, Counter[str]] = defaultdict(Counter)
        self.envelopes: Counter[int] = Counter()  # by kind, as the calls and their connections are
        self.calls: Counter[int] = Counter()
        self.connections: dict[int, Counter[str]] = defaultdict(Counter)
        self.slots: Counter[tuple[int, str]] = Counter()
        self.given_up: dict[int, Counter[str]] = defaultdict(Counter)
        self.aborted: Counter[tuple[int, str]] = Counter()
        self.out: dict[tuple[int, int], tuple[int, str, float]] = {}  # the call of each shot out
        self.left: Counter[tuple[int, str, float]] = Counter()  # shots of each call still out
        self.idle: dict[tuple[int, str], list[float]] = {}  # since when
        self.released: set[tuple[int, str]] = set()
        self.shots: dict[tuple[int, int], list[str]] = defaultdict(list)

    @property
    def row(self) -> int:
        return int((self.clock - (self.began or 0.0)) / SPAN)

    def take(self, clock: float | None, sender: int, name: str, body: dict[str, Any]) -> None:
        if clock is not None:
            self.clock, self.began = clock, clock if self.began is None else self.began
        act = getattr(self, name.lower(), None)
        if act is not None:
            act(sender, body)

    def hello(self, sender: int, body: dict[str, Any]) -> None:
        facts = body["facts"]
        self.per_call, self.idle_life = facts["specifics"]["per-call"], facts["limits"]["conn-idle"]

    def register(self, sender: int, body: dict[str, Any]) -> None:
        self.kinds.update((row["endpoint"], row["hw"]) for row in body["rows-in"])

    def callout(self, sender: int, body: dict[str, Any]) -> None:
        endpoint = body["endpoint"]
        kind, call = self.kinds[endpoint], (sender, endpoint, self.clock)
        self.out[sender, body["rid"]] = call
        self.envelopes[kind] += 1
        together = self.per_call[kind] > 1 and self.left[call] > 0
        self.left[call] += 1
        if together:
            return
        self.calls[kind] += 1
        place = (sender, endpoint)
        kept = self.idle.get(place, [])
        fit = [since for since in kept if self.clock - since < self.idle_life]
        self.idle[place] = fit[:-1]
        why = "kept" if fit else "idled" if kept else "given back" if place in self.released else "first"
        self.connections[kind][why] += 1

    def returned(self, sender: int, body: dict[str, Any]) -> None:
        endpoint, ending = body["endpoint"], body["outcome"]
        self.ends[self.kinds[endpoint]][ending] += 1
        self.shots[sender, body["rid"]].append(ending)
        call = self.out.pop((sender, body["rid"]), None)
        if call is None:
            return
        self.left[call] -= 1
        if not self.left[call]:
            del self.left[call]
            self.hold(self.clock - body["delay-seen"], "called off" if ending == "Canceled" else "answered")
            if ending in ("Ok", "Failed", "QueueFull"):
                self.idle.setdefault((sender, endpoint), []).append(self.clock)

    def hold(self, since: float, what: str) -> None:
        """The time of a call that ends now, shared out to the rows it lay in."""
        row, start = self.row, (self.began or 0.0) + self.row * SPAN
        while row >= 0 and since < start + SPAN:
            self.slots[row, what] += min(self.clock, start + SPAN) - max(since, start)
            row, start = row - 1, start - SPAN

    def release(self, sender: int, body: dict[str, Any]) -> None:
        self.idle.pop((sender, body["endpoint"]), None)
        self.released.add((sender, body["endpoint"]))

    def turnaway(self, sender: int, body: dict[str, Any]) -> None:
        self.given_up[self.row]["bounced"] += 1

    def fail(self, sender: int, body: dict[str, Any]) -> None:
        self.given_up[self.row]["aborted"] += 1
        shots = self.shots.get((sender, body["rid"]), [])
        self.aborted[len(shots), shots[0] if shots else "never sent"] += 1

    def report(self) -> list[str]:
        lines = []
        for kind in sorted(self.ends):
            each = self.envelopes[kind] / max(1, self.calls[kind])
            lines.append(f"kind {kind}: {self.calls[kind]} calls, {each:.2f} envelopes a call")
            lines.append(f"  shots {dict(self.ends[kind].most_common())}")
            lines.append(f"  connections {dict(self.connections[kind].most_common())}")
        for row in sorted({row for row, _ in self.slots} | set(self.given_up)):
            off = self.slots[row, "called off"]
            held = (self.slots[row, "answered"] + off) / SPAN
            ends = dict(self.given_up[row])
            lines.append(f"{row * SPAN / 1000:6.1f} s  slots {held:.1f}, called off {off / SPAN:.1f}  {ends}")
        rows = [f"{n} shots, first {first}: {count}" for (n, first), count in self.aborted.most_common(10)]
        return [*lines, f"aborted {self.aborted.total()}: " + "; ".join(rows)]


def story(told: Iterable[tuple[float | None, int, str, dict[str, Any]]], destination: int) -> Iterator[str]:
    """
    >>> rows = [{"endpoint": "x", "cell": 7}]
    >>> lines = [(9.0, 3, "Register", {"rows-in": rows}), (None, 3, "CallOut", {"endpoint": "x"}),
    ...          (2009.0, 3, "Returned", {"endpoint": "x", "outcome": "QueueFull", "remark-ms": 5}),
    ...          (None, 3, "WriteLog", {"what": "route x ailing"}), (None, 3, "CallOut", {"endpoint": "y"})]
    >>> print(*story(lines, 7), sep=chr(10))
    0.000 s sender 3 CallOut x
    2.000 s sender 3 QueueFull x, told 5 ms
    2.000 s sender 3 route x ailing
    """
    first, clock, there = None, 0.0, set[str]()
    for wall, sender, name, body in told:
        clock = clock if wall is None else wall
        first = clock if first is None else first
        for row in body.get("rows-in") or ():
            if row["cell"] == destination:
                there.add(row["endpoint"])
        words, endpoint = str(body.get("what") or ""), str(body.get("endpoint") or "")
        if name in ("CallOut", "Returned") and endpoint in there:
            wait = f", told {body['remark-ms']} ms" if body.get("remark-ms") else ""
            words = f"{body.get('outcome', name)} {endpoint}{wait}"
        elif words.split(" ")[1:2] != [str(destination)] and not there & set(words.split(" ")):
            continue
        if words:
            yield f"{(clock - first) / 1000:.3f} s sender {sender} {words}"


def main() -> None:
    with open(sys.argv[1], "rb") as file:
        if len(sys.argv) > 2:
            return print("\n".join(story(rounds(file), int(sys.argv[2]))))
        tap = Tap()
        for told in rounds(file):
            tap.take(*told)
    print("\n".join(tap.report()))


if __name__ == "__main__":
    main()
