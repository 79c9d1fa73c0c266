"""What a client may ask of a sender without a platform: how an envelope stands, what is held, and how
destinations do. It reads, and changes nothing."""

from __future__ import annotations

from itertools import islice
from typing import Any
from urllib.parse import parse_qsl, unquote

import orjson

from ashpath.decide import Destination, Gate
from ashpath.node import names
from ashpath.node.codec import Message
from ashpath.node.ends import Ends
from ashpath.node.host import Host
from ashpath.node.ledger import Entry
from ashpath.node.timers import wall
from ashpath.terms import millis

PAGE = 500  # rows of one answer, unless fewer are asked for


class Inquiry:
    """`tracks` has the names by number, `titles` those of destinations that have one."""

    def __init__(self, host: Host, ends: Ends, tracks: list[str], titles: dict[int, str]) -> None:
        self.host, self.ends, self.tracks, self.titles = host, ends, tracks, titles

    def __call__(self, request: Message) -> tuple[int, bytes] | None:
        """Status and body; None where the path is not one of these."""
        path, _, query = request.url.partition(b"?")
        if path not in (names.HELD, names.DESTINATIONS) and not path.startswith(names.ONE):
            return None
        if request.method != b"GET":
            return 405, b""
        if path.startswith(names.ONE):
            return self.one(unquote(path[len(names.ONE) :].decode("latin-1")))
        asked = dict(parse_qsl(query.decode("latin-1")))
        try:
            after, most = int(asked.get("after", -1)), int(asked.get("limit", PAGE))
        except ValueError:
            return 400, orjson.dumps({"error": "after and limit are whole numbers"})
        rows = self.held if path == names.HELD else self.destinations
        return 200, orjson.dumps(rows(after, max(1, min(most, PAGE))))

    def one(self, trace: str) -> tuple[int, bytes]:
        entry = self.host.ledger.traces.get(trace)
        if entry is not None and not entry.over:
            return 200, orjson.dumps(self.row(entry))
        end = self.ends.of(trace)
        if end is None:
            return 404, orjson.dumps({"error": "never seen, or forgotten"})
        told = {"id": trace, "state": end.state, "at": end.at / 1e6}
        return 200, orjson.dumps(told | ({"again_ms": millis(end.come_back)} if end.come_back else {}))

    def row(self, entry: Entry) -> dict[str, Any]:
        return {
            "id": entry.trace,
            "number": entry.number,
            "state": "out" if entry.out_at is not None else "held",
            "track": self.tracks[entry.track],
            "destination": entry.destination,
            "shots": entry.shots,
            "may_have_run": entry.ran_at is not None or entry.out_at is not None,
            "left_ms": round(millis(entry.cutoff - wall())),
            "bytes": len(entry.body),
        }

    def held(self, after: int, most: int) -> dict[str, Any]:
        """Those with a higher number, in the order taken on: `ledger.live` is in that order."""
        live = self.host.ledger.live.values()
        found = list(islice((e for e in live if not e.over and e.number > after), most + 1))
        rows = [self.row(entry) for entry in found[:most]]
        told: dict[str, Any] = {"held": len(self.host.entries), "envelopes": rows}
        return told | ({"next": found[most - 1].number} if len(found) > most else {})

    def destinations(self, after: int, most: int) -> dict[str, Any]:
        numbers = sorted(number for number in self.host.sender.destinations if number > after)
        rows = [self.destination(self.host.sender.destinations[number]) for number in numbers[:most]]
        told: dict[str, Any] = {"destinations": rows}
        return told | ({"next": numbers[most - 1]} if len(numbers) > most else {})

    def destination(self, one: Destination) -> dict[str, Any]:
        gates, now = one.gates(), self.host.sender.now
        return {
            "number": one.number,
            "name": self.titles.get(one.number, ""),
            "endpoints": len(one.endpoints),
            "held": one.owed,
            "out": sum(gate.in_flight for gate in gates),
            "limit": sum(gate.limit for gate in gates),
            "pace": round(sum(gate.pace for gate in gates), 2),
            "rate": round(sum(gate.done.rate() for gate in gates), 2),
            "breaker": self.worst(gates),
            "ailing": any(gate.ailing for gate in gates),
            "wait_ms": max([0, *(round(millis(gate.wait_until - now)) for gate in gates)]),
        }

    @staticmethod
    def worst(gates: list[Gate]) -> str:
        """The state of a breaker that is not closed, if one is not."""
        return next((g.breaker.name.lower() for g in gates if g.breaker.name != "CLOSED"), "closed")
