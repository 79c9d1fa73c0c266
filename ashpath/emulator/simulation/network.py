"""The simulated network between senders and destinations: addresses, connections and calls in transit.

A call goes through these steps, each of them an event. A call may also fail at any step.

    start        the call takes an idle connection, or opens a new one, which takes one round trip
    write        the connection is open; the sender checks once more whether the attempt is still valid
    arrive       the last byte reaches the destination, whose model decides the result and its time
    respond      the response reaches the sender
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random

from ashpath.core.interface import AttemptOutcome, LoadReport, RetrySafety, TrafficClassSettings
from ashpath.emulator.destination.calls import CallResult, DestinationCall
from ashpath.emulator.destination.model import DestinationModel
from ashpath.emulator.invariant_checker import InvariantChecker
from ashpath.emulator.scenario.schema import Network as NetworkProperties
from ashpath.emulator.scoreboard import Scoreboard
from ashpath.emulator.simulation.calls import EndpointAddress, InFlightCall
from ashpath.emulator.simulation.event_queue import EventQueue
from ashpath.emulator.simulation.recovery import RecoveryMonitor
from ashpath.emulator.topology import Topology
from ashpath.emulator.units import NEVER

OUTCOMES = {
    CallResult.OK: AttemptOutcome.DELIVERED,
    CallResult.ERROR: AttemptOutcome.ERROR,
    CallResult.OVERLOADED: AttemptOutcome.OVERLOADED,
    CallResult.RESET: AttemptOutcome.CONNECTION_RESET,
    CallResult.REFUSED: AttemptOutcome.CONNECT_FAILED,
}


class Network:
    """Carries calls.

    `endpoints` grows with each replaced endpoint; all other state grows with the number of calls in flight.
    """

    def __init__(
        self,
        events: EventQueue,
        properties: NetworkProperties,
        random: Random,
        topology: Topology,
        traffic_classes: Sequence[TrafficClassSettings],
        connect_timeout: int,
        checker: InvariantChecker,
        scoreboard: Scoreboard,
    ) -> None:
        self._events = events
        self._random = random
        self._latency = int(properties.latency)
        self._jitter = properties.jitter
        self._topology = topology
        self._traffic_classes = traffic_classes
        self._connect_timeout = connect_timeout
        self._checker = checker
        self._scoreboard = scoreboard
        self.recovery = RecoveryMonitor(events, topology.destinations, checker, scoreboard)
        self.added_latency = 0  # microseconds that faults add in each direction
        # Pairs of a sender and a destination that cannot reach each other.
        self.split_pairs: set[tuple[int, int]] = set()
        self.endpoints = {
            record.endpoint_id: EndpointAddress(topology.destinations[record.destination], record)
            for record in topology.endpoints
        }
        self._in_flight: Counter[int] = Counter()  # by destination
        self._on_the_way: Counter[int] = Counter()

    # Global state for the oracle: `ashpath.emulator.policy_under_test.GlobalView`.

    def destination(self, number: int) -> DestinationModel:
        """Returns the model of a destination."""
        return self._topology.destinations[number]

    def is_split(self, sender: int, destination: int) -> bool:
        """Returns whether the network between a sender and a destination is partitioned."""
        return (sender, destination) in self.split_pairs

    def calls_in_flight(self, destination: int) -> int:
        """Returns the number of calls of all senders that have no outcome yet."""
        return self._in_flight[destination]

    def calls_on_the_way(self, destination: int) -> int:
        """Returns the number of calls in flight that have not reached the destination."""
        return self._on_the_way[destination]

    def recent_recovery_calls(self, destination: int) -> int:
        """Returns the number of calls that count towards a collapse of a recovering destination."""
        return self.recovery.recent_calls(destination)

    # Addresses and connections.

    def route(self, endpoint: str) -> str:
        """Returns the scope of a Retry-After: the destination, or the endpoint if it is a separate route."""
        return self._topology.route(endpoint, self.endpoints[endpoint].destination)

    def listener(self, endpoint: str) -> str | None:
        """Returns the endpoint that now listens at an endpoint's address, or None if no endpoint does."""
        address = self.endpoints[endpoint]
        while endpoint not in address.model.endpoints and address.successor is not None:
            endpoint = address.successor
            address = self.endpoints[endpoint]
        return endpoint if endpoint in address.model.endpoints else None

    def connections_closed(self, endpoint: str, count: int) -> None:
        """Records that `count` connections to an endpoint were closed."""
        listener = self.listener(endpoint) if endpoint in self.endpoints else None
        if listener is not None:
            state = self.endpoints[listener].model.endpoints[listener]
            state.connections = max(0, state.connections - count)

    def _one_way(self) -> int:
        """Draws the latency of one direction, in microseconds."""
        delay = (
            self._latency * self._random.lognormvariate(0, self._jitter) if self._jitter else self._latency
        )
        return int(delay) + self.added_latency

    # Calls.

    def start_call(self, call: InFlightCall) -> None:
        """Starts a call; its outcome is reported to its sender once, unless the sender releases it first."""
        destination = call.message.request.destination
        self._in_flight[destination] += 1
        self._on_the_way[destination] += 1
        if call.sender.idle_connections.take(call.endpoint):
            self._write(call, False)
        else:
            self._connect(call)

    def _connect(self, call: InFlightCall) -> None:
        now = self._events.now
        address = self.endpoints.get(call.endpoint)
        if (
            address is None
            or self.is_split(call.sender.number, address.destination)
            or address.model.is_unresponsive(now)
        ):  # no response to the connection request
            return self._fail_at(
                min(now + self._connect_timeout, call.times_out_at), call, AttemptOutcome.CONNECT_FAILED
            )
        model = address.model
        handshake_time = 2 * self._one_way()
        listener = self.listener(call.endpoint)
        max_connections = model.properties.max_connections
        if listener is None or model.faults.down:
            return self._fail_at(now + handshake_time, call, AttemptOutcome.CONNECT_FAILED)
        if max_connections and model.endpoints[listener].connections >= max_connections:
            return self._fail_at(now + handshake_time, call, AttemptOutcome.CONNECTION_TABLE_FULL)
        if handshake_time >= self._connect_timeout:
            return self._fail_at(now + self._connect_timeout, call, AttemptOutcome.CONNECT_FAILED)
        model.endpoints[listener].connections += 1
        return self._events.schedule(now + handshake_time, self._write, call, True)

    def _write(self, call: InFlightCall, new_connection: bool) -> None:
        sender = call.sender
        if call.finished:
            self.connections_closed(call.endpoint, 1)
            return
        if new_connection and not sender.still_valid(call.message.number):
            sender.idle_connections.keep(call.endpoint)
            sender.attempt_finished(call, AttemptOutcome.NOT_SENT)
            return
        now = self._events.now
        call.sent = True
        call.began = now
        self._scoreboard.attempt_sent(now)
        route = self.route(call.endpoint)
        self._checker.attempt_sent(now, sender.number, call.message.number, call.endpoint, route)
        self._events.schedule(now + self._one_way(), self._arrive, call, new_connection)

    def _arrive(self, call: InFlightCall, new_connection: bool) -> None:
        if call.finished:
            return None
        now = self._events.now
        address = self.endpoints[call.endpoint]
        call.arrived = True
        self._on_the_way[address.destination] -= 1
        model = address.model
        listener = self.listener(call.endpoint)
        if self.is_split(call.sender.number, address.destination):
            return self._fail_at(call.times_out_at, call, AttemptOutcome.TIMED_OUT)
        if listener is None or model.faults.down:
            return self._fail_at(now + self._one_way(), call, AttemptOutcome.CONNECTION_RESET)
        self.recovery.call_arrived(address.destination, call.sender.number)
        collapses = model.collapses
        received = call.received = self._deliver(call, model, listener, new_connection)
        if model.collapses > collapses:
            self.recovery.collapsed(address.destination)
        if received.responds_after >= NEVER:
            return self._fail_at(call.times_out_at, call, AttemptOutcome.TIMED_OUT)
        response_at = now + received.responds_after + self._one_way()
        if response_at >= call.times_out_at:
            return self._fail_at(call.times_out_at, call, AttemptOutcome.TIMED_OUT)
        return self._events.schedule(response_at, self._respond, call, received)

    def _deliver(
        self, call: InFlightCall, model: DestinationModel, listener: str, new_connection: bool
    ) -> DestinationCall:
        request = call.message.request
        deduplicated = self._traffic_classes[request.traffic_class].retry_safety is RetrySafety.DEDUPLICATED
        key = request.idempotency_key if deduplicated else None
        return model.call_arrived(
            self._events.now, listener, request.id, request.traffic_class, key, new_connection
        )

    def _respond(self, call: InFlightCall, received: DestinationCall) -> None:
        """Reports a response to its sender, if the destination is still reachable."""
        if call.finished:
            return
        address = self.endpoints[call.endpoint]
        split = self.is_split(call.sender.number, address.destination)
        if split or address.model.is_unresponsive(self._events.now):
            self._fail_at(call.times_out_at, call, AttemptOutcome.TIMED_OUT)
            return
        if received.result is CallResult.RESET or address.model.faults.down:
            self._fail(call, AttemptOutcome.CONNECTION_RESET)
            return
        call.sender.idle_connections.keep(call.endpoint)
        report = None
        if received.remaining_quota >= 0:
            report = LoadReport(received.remaining_quota, received.rate_limit)
        call.sender.attempt_finished(call, OUTCOMES[received.result], received.retry_after, report)

    def _fail_at(self, at: int, call: InFlightCall, outcome: AttemptOutcome) -> None:
        self._events.schedule(at, self._fail, call, outcome)

    def _fail(self, call: InFlightCall, outcome: AttemptOutcome) -> None:
        """Closes the connection of a call, and reports the failure to its sender."""
        if not call.finished:
            if call.sent:
                self.connections_closed(call.endpoint, 1)
            call.sender.attempt_finished(call, outcome)

    def cancel(self, call: InFlightCall) -> None:
        """Cancels a call at the request of its sender."""
        self._fail(call, AttemptOutcome.CANCELLED)

    def release(self, call: InFlightCall) -> None:
        """Removes a call from the counts of its destination, and ends it in the destination's model.

        The sender calls it when a call has its outcome, or when the sender is killed.
        """
        destination = call.message.request.destination
        self._in_flight[destination] -= 1
        if not call.arrived:
            self._on_the_way[destination] -= 1
        if call.received is not None:
            model = self.endpoints[call.endpoint].model
            model.call_ended(self._events.now, call.received, call.message.request.id)
