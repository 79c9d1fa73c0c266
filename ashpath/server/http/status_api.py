"""What a client may ask of a sender without a platform: how an envelope stands, what is held, and how
destinations do. It reads, and changes nothing."""

from __future__ import annotations

from itertools import islice
from typing import Any
from urllib.parse import parse_qsl, unquote

import orjson

from ashpath.core.time_units import milliseconds
from ashpath.policy.engine import Destination, Gate
from ashpath.server import wire_names
from ashpath.server.http.messages import HttpRequest
from ashpath.server.policy_runner import PolicyRunner
from ashpath.server.storage.outcome_store import OutcomeStore
from ashpath.server.storage.write_ahead_log import StoredMessage
from ashpath.server.timers import wall

PAGE = 500  # rows of one answer, unless fewer are asked for


class StatusApi:
    """`tracks` has the names by number, `titles` those of destinations that have one."""

    def __init__(
        self, host: PolicyRunner, ends: OutcomeStore, tracks: list[str], titles: dict[int, str]
    ) -> None:
        self.policy_runner, self.outcome_store, self.traffic_classes, self.destination_names = (
            host,
            ends,
            tracks,
            titles,
        )

    def __call__(self, request: HttpRequest) -> tuple[int, bytes] | None:
        """Status and body; None where the path is not one of these."""
        path, _, query = request.url.partition(b"?")
        if path not in (wire_names.MESSAGES_PATH, wire_names.DESTINATIONS_PATH) and not path.startswith(
            wire_names.MESSAGE_PATH_PREFIX
        ):
            return None
        if request.method != b"GET":
            return 405, b""
        if path.startswith(wire_names.MESSAGE_PATH_PREFIX):
            return self.message_status(unquote(path[len(wire_names.MESSAGE_PATH_PREFIX) :].decode("latin-1")))
        asked = dict(parse_qsl(query.decode("latin-1")))
        try:
            after, most = int(asked.get("after", -1)), int(asked.get("limit", PAGE))
        except ValueError:
            return 400, orjson.dumps({"error": "after and limit are whole numbers"})
        rows = self.messages if path == wire_names.MESSAGES_PATH else self.destinations
        return 200, orjson.dumps(rows(after, max(1, min(most, PAGE))))

    def message_status(self, trace: str) -> tuple[int, bytes]:
        entry = self.policy_runner.write_ahead_log.by_trace_id.get(trace)
        if entry is not None and not entry.finished:
            return 200, orjson.dumps(self.row(entry))
        end = self.outcome_store.get(trace)
        if end is None:
            return 404, orjson.dumps({"error": "never seen, or forgotten"})
        told = {"id": trace, "state": end.state, "at": end.at / 1e6}
        return 200, orjson.dumps(told | ({"again_ms": milliseconds(end.come_back)} if end.come_back else {}))

    def row(self, entry: StoredMessage) -> dict[str, Any]:
        return {
            "id": entry.trace_id,
            "number": entry.message_id,
            "state": "out" if entry.in_flight_since is not None else "held",
            "track": self.traffic_classes[entry.traffic_class],
            "destination": entry.destination,
            "shots": entry.attempts,
            "may_have_run": entry.first_run_at is not None or entry.in_flight_since is not None,
            "left_ms": round(milliseconds(entry.deadline - wall())),
            "bytes": len(entry.body),
        }

    def messages(self, after: int, most: int) -> dict[str, Any]:
        """Those with a higher number, in the order taken on: `ledger.live` is in that order."""
        live = self.policy_runner.write_ahead_log.live.values()
        found = list(islice((e for e in live if not e.finished and e.message_id > after), most + 1))
        rows = [self.row(entry) for entry in found[:most]]
        told: dict[str, Any] = {"held": len(self.policy_runner.messages), "envelopes": rows}
        return told | ({"next": found[most - 1].message_id} if len(found) > most else {})

    def destinations(self, after: int, most: int) -> dict[str, Any]:
        numbers = sorted(number for number in self.policy_runner.policy.destinations if number > after)
        rows = [self.destination(self.policy_runner.policy.destinations[number]) for number in numbers[:most]]
        told: dict[str, Any] = {"destinations": rows}
        return told | ({"next": numbers[most - 1]} if len(numbers) > most else {})

    def destination(self, one: Destination) -> dict[str, Any]:
        gates, now = one.gates(), self.policy_runner.policy.now
        return {
            "number": one.number,
            "name": self.destination_names.get(one.number, ""),
            "endpoints": len(one.endpoints),
            "held": one.owed,
            "out": sum(gate.in_flight for gate in gates),
            "limit": sum(gate.limit for gate in gates),
            "pace": round(sum(gate.pace for gate in gates), 2),
            "rate": round(sum(gate.done.rate() for gate in gates), 2),
            "breaker": self.worst(gates),
            "ailing": any(gate.ailing for gate in gates),
            "wait_ms": max([0, *(round(milliseconds(gate.wait_until - now)) for gate in gates)]),
        }

    @staticmethod
    def worst(gates: list[Gate]) -> str:
        """The state of a breaker that is not closed, if one is not."""
        return next((g.breaker.name.lower() for g in gates if g.breaker.name != "CLOSED"), "closed")
