"""Read-only status API of a sender without a platform: one message, the unfinished messages, and the
destinations.

The names of paths, fields and states are part of the wire format, and are defined only here and in
`wire_names`.
"""

from __future__ import annotations

from collections.abc import Sequence
from http import HTTPStatus
from itertools import islice
from typing import NotRequired, TypedDict
from urllib.parse import parse_qsl, unquote

import orjson
from msgspec import Struct

from ashpath.core.snapshots import BreakerState, DestinationSnapshot, GateSnapshot
from ashpath.core.time_units import SECOND, milliseconds
from ashpath.server import wire_names
from ashpath.server.http.messages import HttpRequest
from ashpath.server.http.request_handler import Reply
from ashpath.server.policy_runner import PolicyRunner
from ashpath.server.storage.outcome_store import OutcomeStore
from ashpath.server.storage.stored_message import StoredMessage
from ashpath.server.timers import stored_time

MAX_PAGE_ROWS = 500
BEFORE_FIRST_NUMBER = -1


class MessageRow(TypedDict):
    """A message without a final outcome."""

    id: str
    number: int
    state: str
    track: str
    destination: int
    shots: int
    may_have_run: bool
    left_ms: int
    bytes: int


class OutcomeRow(TypedDict):
    """A message with a final outcome."""

    id: str
    state: str
    at: float
    again_ms: NotRequired[float]


class MessagePage(TypedDict):
    """A page of unfinished messages, in the order of acceptance."""

    held: int
    envelopes: list[MessageRow]
    next: NotRequired[int]


class DestinationRow(TypedDict):
    """A destination, summed over its routes."""

    number: int
    name: str
    endpoints: int
    held: int
    out: int
    limit: int
    pace: float
    rate: float
    breaker: str
    ailing: bool
    wait_ms: int


class DestinationPage(TypedDict):
    """A page of destinations, in the order of their numbers."""

    destinations: list[DestinationRow]
    next: NotRequired[int]


class PageRequest(Struct, frozen=True):
    """The rows of a list that a client requests."""

    after: int = BEFORE_FIRST_NUMBER
    """The rows begin after this number."""
    limit: int = MAX_PAGE_ROWS

    @classmethod
    def parse(cls, query: bytes) -> PageRequest:
        """Parses `after` and `limit` of a query. Raises ValueError if one is not a whole number.

        >>> PageRequest.parse(b"after=7&limit=9000")
        PageRequest(after=7, limit=500)
        """
        fields = dict(parse_qsl(query.decode("latin-1")))
        after = int(fields.get("after", BEFORE_FIRST_NUMBER))
        limit = int(fields.get("limit", MAX_PAGE_ROWS))
        return cls(after, max(1, min(limit, MAX_PAGE_ROWS)))


class StatusApi:
    """Serves the status of messages and destinations.

    `traffic_classes` has the names of traffic classes by number, `destination_names` the names of the
    destinations that have one. Both may change while the sender runs, with the operators' file.
    """

    def __init__(
        self,
        policy_runner: PolicyRunner,
        outcome_store: OutcomeStore,
        traffic_classes: Sequence[str],
        destination_names: dict[int, str],
    ) -> None:
        self.policy_runner = policy_runner
        self.outcome_store = outcome_store
        self.traffic_classes = traffic_classes
        self.destination_names = destination_names

    def apply_names(self, traffic_classes: list[str], destination_names: dict[int, str]) -> None:
        """Replaces the names that responses use from now on."""
        self.traffic_classes = traffic_classes
        self.destination_names = destination_names

    def respond(self, request: HttpRequest) -> Reply | None:
        """Returns the response, or None if the path is not part of the status API."""
        path, _, query = request.url.partition(b"?")
        is_message = path.startswith(wire_names.MESSAGE_PATH_PREFIX)
        if not is_message and path not in (wire_names.MESSAGES_PATH, wire_names.DESTINATIONS_PATH):
            return None
        if request.method != b"GET":
            return Reply(HTTPStatus.METHOD_NOT_ALLOWED)
        if is_message:
            trace_id = unquote(path[len(wire_names.MESSAGE_PATH_PREFIX) :].decode("latin-1"))
            return self.message_status(trace_id)
        try:
            page = PageRequest.parse(query)
        except ValueError:
            return json_reply(HTTPStatus.BAD_REQUEST, {"error": "after and limit are whole numbers"})
        if path == wire_names.MESSAGES_PATH:
            return json_reply(HTTPStatus.OK, self.messages(page))
        return json_reply(HTTPStatus.OK, self.destinations(page))

    def message_status(self, trace_id: str) -> Reply:
        """Returns the response with the state or the final outcome of a message."""
        message = self.policy_runner.write_ahead_log.messages.by_trace_id.get(trace_id)
        if message is not None and self._is_unfinished(message):
            return json_reply(HTTPStatus.OK, self.message_row(message))
        outcome = self.outcome_store.get(trace_id)
        if outcome is None:
            return json_reply(HTTPStatus.NOT_FOUND, {"error": "never seen, or forgotten"})
        row: OutcomeRow = {"id": trace_id, "state": outcome.state, "at": outcome.at / SECOND}
        if outcome.retry_after:
            row["again_ms"] = milliseconds(outcome.retry_after)
        return json_reply(HTTPStatus.OK, row)

    def _is_unfinished(self, message: StoredMessage) -> bool:
        """Whether the policy still has the message. A provisional delivery is in the log only."""
        return message.message_id in self.policy_runner.messages

    def message_row(self, message: StoredMessage) -> MessageRow:
        """Returns the row of a message without a final outcome."""
        in_flight = message.in_flight_since is not None
        return {
            "id": message.trace_id,
            "number": message.message_id,
            "state": "out" if in_flight else "held",
            "track": self.traffic_classes[message.traffic_class],
            "destination": message.destination,
            "shots": message.attempts,
            "may_have_run": message.first_run_at is not None or in_flight,
            "left_ms": round(milliseconds(message.deadline - stored_time())),
            "bytes": len(message.body),
        }

    def messages(self, page: PageRequest) -> MessagePage:
        """Returns the unfinished messages after `page.after`, in the order of acceptance.

        The write-ahead log keeps its live messages in that order."""
        live = self.policy_runner.write_ahead_log.messages.live.values()
        unfinished = (
            message for message in live if self._is_unfinished(message) and message.message_id > page.after
        )
        found = list(islice(unfinished, page.limit + 1))
        rows = [self.message_row(message) for message in found[: page.limit]]
        listing: MessagePage = {"held": len(self.policy_runner.messages), "envelopes": rows}
        if len(found) > page.limit:
            listing["next"] = found[page.limit - 1].message_id
        return listing

    def destinations(self, page: PageRequest) -> DestinationPage:
        """Returns the destinations after `page.after`, in the order of their numbers."""
        destinations = self.policy_runner.policy.destinations
        numbers = sorted(number for number in destinations if number > page.after)
        rows = [self.destination_row(destinations[number].snapshot()) for number in numbers[: page.limit]]
        listing: DestinationPage = {"destinations": rows}
        if len(numbers) > page.limit:
            listing["next"] = numbers[page.limit - 1]
        return listing

    def destination_row(self, destination: DestinationSnapshot) -> DestinationRow:
        """Returns the row of a destination, summed over its gates."""
        gates = destination.gates
        now = self.policy_runner.policy.now
        return {
            "number": destination.number,
            "name": self.destination_names.get(destination.number, ""),
            "endpoints": destination.endpoints,
            "held": destination.unfinished_messages,
            "out": sum(gate.in_flight for gate in gates),
            "limit": sum(gate.concurrency_limit for gate in gates),
            "pace": round(sum(gate.rate_limit for gate in gates), 2),
            "rate": round(sum(gate.delivery_rate for gate in gates), 2),
            "breaker": breaker_state(gates),
            "ailing": any(gate.down for gate in gates),
            "wait_ms": max([0, *(round(milliseconds(gate.retry_after_until - now)) for gate in gates)]),
        }


def json_reply(status: HTTPStatus, fields: object) -> Reply:
    """Returns a response with a JSON body."""
    return Reply(status, body=orjson.dumps(fields))


def breaker_state(gates: tuple[GateSnapshot, ...]) -> str:
    """Returns the state of the first circuit breaker that is not closed, else closed."""
    not_closed = (gate.breaker for gate in gates if gate.breaker is not BreakerState.CLOSED)
    return wire_names.BREAKER_STATES[next(not_closed, BreakerState.CLOSED)]
