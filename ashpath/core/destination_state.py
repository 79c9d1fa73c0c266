"""The state of a destination, and its updates; the policy's `Destination` makes the decisions."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ashpath.core.gate_state import GateState
from ashpath.core.interface import EndpointRecord, EndpointStatus
from ashpath.core.messages import Endpoint
from ashpath.core.sender_state import SenderState
from ashpath.core.snapshots import DestinationSnapshot
from ashpath.core.timers import destination_timer
from ashpath.core.waiting_queues import WaitingQueues


class DestinationState(ABC):
    """The state of one destination; removed when the destination has neither endpoints nor messages."""

    def __init__(self, state: SenderState, number: int, queues: WaitingQueues) -> None:
        self.state = state
        self.number = number
        self.queues = queues
        self.gate = self.new_gate("")
        self.known_endpoints: dict[str, Endpoint] = {}
        """Active endpoints, and all others until `forget_endpoints` deletes them."""
        self.endpoints: list[Endpoint] = []
        """Active endpoints that are not detached, in ranked order."""
        self.kind = 0
        self.limit_per_endpoint = False
        """Each endpoint is a separate route with its own gate."""
        self.max_batch_size = 1
        self.unfinished_messages = 0
        self.dispatch_at = 0
        """The due time of the dispatch timer that was scheduled last."""
        state.needs_ranking[self] = None

    @abstractmethod
    def new_gate(self, route: str) -> GateState:
        """Returns a gate for the entire destination (`route` is empty) or for one route."""

    @abstractmethod
    def rank(self) -> None:
        """Sorts `endpoints` by preference."""

    @abstractmethod
    def dispatch(self) -> None:
        """Starts attempts while gates are open and messages wait."""

    def gates(self) -> list[GateState]:
        """Returns the gate of each route if endpoints are separate routes, else the destination's gate."""
        return [endpoint.gate for endpoint in self.endpoints] if self.limit_per_endpoint else [self.gate]

    def opens_in(self, *, only_retry_after: bool = False) -> int:
        """Returns the microseconds until the first gate may open; 0 if one is open or the time is not known.

        `only_retry_after`: considers only Retry-After.
        """
        now = self.state.now
        opens = (g.retry_after_until if only_retry_after else g.opens_at(now) or 0 for g in self.gates())
        return min((max(0, at - now) for at in opens), default=0)

    def delivery_rate(self) -> float:
        """Returns deliveries per second, over all gates."""
        return sum(gate.outage.completions.rate() for gate in self.gates())

    def update_endpoint(self, row: EndpointRecord) -> None:
        """Applies a row of the endpoint list, or a change to one."""
        state = self.state
        kind = state.settings.destination_kinds[row.kind]
        self.kind = row.kind
        self.limit_per_endpoint = kind.limit_per_endpoint
        self.max_batch_size = kind.max_batch_size
        before = self.known_endpoints.get(row.endpoint_id)
        if before is None or (before.gate is self.gate) == self.limit_per_endpoint:  # new, or kind changed
            self.known_endpoints[row.endpoint_id] = self._new_endpoint(row, before)
        endpoint = self.known_endpoints[row.endpoint_id]
        endpoint.zone = row.zone
        endpoint.gate.apply_listed_rate(row.listed_rate)
        others = [e for e in self.endpoints if e.endpoint_id != row.endpoint_id]
        serves = row.status is EndpointStatus.ACTIVE and row.endpoint_id not in state.detached
        self.endpoints = [endpoint, *others] if serves else others
        self.rank()

    def _new_endpoint(self, row: EndpointRecord, before: Endpoint | None) -> Endpoint:
        gate = self.new_gate(row.endpoint_id) if self.limit_per_endpoint else self.gate
        if before is not None:
            gate.inherit_from(before.gate)
        # The destination's gate has the waits that arrived before any of its routes was known.
        gate.retry_after_until = max(gate.retry_after_until, self.gate.retry_after_until)
        draw = self.state.random.random()
        return Endpoint(endpoint_id=row.endpoint_id, zone=row.zone, gate=gate, tie_break=draw)

    def is_unused(self) -> bool:
        """Returns whether nothing is lost if this state is deleted: endpoints, messages or a Retry-After."""
        waits = self.gate.retry_after_until > self.state.now
        return not (self.known_endpoints or self.unfinished_messages or waits)

    def forget_endpoints(self, unused_us: int) -> None:
        """Deletes inactive endpoints without a call for `unused_us` microseconds whose Retry-After is over.

        Otherwise memory use would grow without bound where endpoints are replaced under new ids all day.
        """
        now = self.state.now
        unused = (
            e for e in self.known_endpoints.values() if not e.in_flight and e.last_call_at + unused_us <= now
        )
        for endpoint in [e for e in unused if e.gate.retry_after_until <= now and e not in self.endpoints]:
            del self.known_endpoints[endpoint.endpoint_id]

    def schedule_dispatch(self, at: int) -> None:
        """Schedules a dispatch at time `at`, unless an earlier one is pending."""
        if not self.state.now < self.dispatch_at <= at:
            self.dispatch_at = at
            self.state.actions.schedule_timer(at, destination_timer(self.number))

    def snapshot(self, max_gates: int | None = None) -> DestinationSnapshot:
        """Returns a snapshot with at most `max_gates` gates: a destination may have thousands of routes."""
        gates = tuple(gate.snapshot() for gate in self.gates()[:max_gates])
        return DestinationSnapshot(self.number, len(self.endpoints), self.unfinished_messages, gates)
