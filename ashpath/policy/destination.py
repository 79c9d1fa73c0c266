"""The ranking of a destination's endpoints, and the dispatch of messages to them."""

from __future__ import annotations

from ashpath.core.destination_state import DestinationState
from ashpath.core.gate_state import GateState
from ashpath.core.lifecycle import MessageState, transition
from ashpath.core.messages import Attempt, Endpoint, Message
from ashpath.core.sender_state import SenderState
from ashpath.policy import tuning
from ashpath.policy.gate import Gate
from ashpath.policy.queues import RankedQueues


class Destination(DestinationState):
    """Starts the attempts of one destination as its gates allow."""

    queues: RankedQueues
    gate: Gate

    def __init__(self, state: SenderState, number: int) -> None:
        super().__init__(state, number, RankedQueues(state, tuning.SMOOTHING_GAIN))

    def new_gate(self, route: str) -> Gate:
        """Returns a gate for one route, or for the whole destination if `route` is empty."""
        return Gate(self.state, self.number, route)

    def rank(self) -> None:
        """Sorts the endpoints by failure share, zone cost where endpoints are routes, and mean duration.

        Equal endpoints are in random order, as all senders would start with the same one otherwise.
        """
        costs = self.state.settings.zone_costs if self.limit_per_endpoint else ()
        cost = {e: costs[e.zone] if e.zone < len(costs) else 0.0 for e in self.endpoints}
        self.endpoints.sort(key=lambda e: (round(e.failure_share, 1), cost[e], e.mean_duration, e.tie_break))

    def dispatch(self) -> None:
        """Starts attempts while gates are open and messages are queued."""
        if self.max_batch_size > 1:
            deadline = self.queues.batching_deadline(self.max_batch_size)
            if deadline:
                self.schedule_dispatch(deadline)
                return
        for gate in self.gates():
            if not self._dispatch_through(gate):
                return

    def _dispatch_through(self, gate: GateState) -> bool:
        # Returns False if the destination may have no more calls in flight.
        state = self.state
        while self.queues:
            # The cap is a multiple of the places left free, so that slow destinations leave room for others.
            free = state.settings.max_in_flight - len(state.attempts_in_flight)
            if gate.in_flight >= tuning.MAX_IN_FLIGHT_TO_FREE * free:
                state.needs_dispatch[self] = None
                cancel_overdue_attempt(state)
                return False
            opens_at = gate.opens_at(state.now)
            picked = self._pick_endpoint_and_message(gate) if opens_at is None else None
            if picked is None:
                if opens_at:
                    self.schedule_dispatch(opens_at)
                break
            self._start_attempt(*picked)
        return True

    def _next_message_for(self, endpoint: Endpoint) -> Message | None:
        return self.queues.next_message(endpoint, self.delivery_rate())

    def _pick_endpoint_and_message(self, gate: GateState) -> tuple[Endpoint, Message] | None:
        # Prefers the best ranked endpoints below their even part of the limit, and skips those that no queued
        # message may go to.
        candidates = [e for e in self.endpoints if e.gate is gate]
        per_endpoint_limit = -(-max(1, gate.limit) // max(1, len(candidates)))
        for endpoint in sorted(candidates, key=lambda e: e.in_flight >= per_endpoint_limit):
            message = self._next_message_for(endpoint)
            if message:
                return endpoint, message
        return None

    def _start_attempt(self, endpoint: Endpoint, first_message: Message) -> None:
        now = self.state.now
        attempt = Attempt(endpoint=endpoint, started_at=now)
        message: Message | None = first_message
        while message and len(attempt.messages) < self.max_batch_size:
            transition(message, MessageState.IN_FLIGHT)
            self.queues.remove(message)
            attempt.messages.append(message)
            message = self._next_message_for(endpoint)
        classes = [m.traffic_class for m in attempt.messages]
        attempt.duration_bound = max(map(self.queues.duration_bound, classes))
        timeout_factor = max(tuning.TIMEOUT_FACTOR[c.settings.retry_safety] for c in classes)
        attempt.timeout = timeout_factor * max(tuning.MIN_TIMEOUT, attempt.duration_bound)
        attempt.unresolved = len(attempt.messages)
        for message in attempt.messages:
            message.attempt = attempt
            message.attempts += 1
            timeout = min(attempt.timeout, message.deadline_at - now)
            self.state.actions.start_attempt(message.message_id, endpoint.endpoint_id, timeout)
        endpoint.gate.attempt_started(attempt)


def cancel_overdue_attempt(state: SenderState) -> None:
    """Cancels the oldest overdue call, if the settings allow it.

    Otherwise calls without a response would use up the calls that may be in flight.
    """
    for attempt in state.attempts_in_flight if state.settings.may_cancel else ():
        if attempt.duration_bound < state.now - attempt.started_at and not attempt.cancelled:
            attempt.cancelled = True
            for message in (m for m in attempt.messages if m.attempt is attempt):
                state.actions.cancel_attempt(message.message_id, message.attempts - 1)
            return
