"""The network between senders and destinations: addresses, connections, and calls on their way.

A call goes through these steps, each an event; at any of them it may have its outcome instead.

    start        an idle connection is taken, or a new one is opened, which takes a way there and back
    write        the connection is open; the sender is asked once more whether the attempt is still valid
    arrive       the last byte is at the destination, which says what the call meets, and when
    respond      the response is at the sender
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

    `endpoints` grows with endpoints that come in place of others; the rest with calls out.
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
        self.added_latency = 0  # microseconds that a fault adds each way
        self.split_pairs: set[tuple[int, int]] = (
            set()
        )  # senders and destinations that do not reach each other
        self.endpoints = {
            record.endpoint_id: EndpointAddress(topology.destinations[record.destination], record)
            for record in topology.endpoints
        }
        self._in_flight: Counter[int] = Counter()  # by destination
        self._on_the_way: Counter[int] = Counter()

    # What an oracle sees.

    def destination(self, number: int) -> DestinationModel:
        """The model of a destination."""
        return self._topology.destinations[number]

    def is_split(self, sender: int, destination: int) -> bool:
        """Whether the network between the two is cut."""
        return (sender, destination) in self.split_pairs

    def calls_in_flight(self, destination: int) -> int:
        """Calls of all senders that have no outcome."""
        return self._in_flight[destination]

    def calls_on_the_way(self, destination: int) -> int:
        """Those of them that have not reached the destination."""
        return self._on_the_way[destination]

    def recent_recovery_calls(self, destination: int) -> int:
        """Calls that count towards a collapse of a destination that is down or in slow start."""
        return self.recovery.recent_calls(destination)

    # Addresses and connections.

    def route(self, endpoint: str) -> str:
        """What a Retry-After holds for: the destination, or the endpoint where those are separate routes."""
        return self._topology.route(endpoint, self.endpoints[endpoint].destination)

    def listener(self, endpoint: str) -> str | None:
        """The endpoint that answers at the address of this one; None: nobody does."""
        address = self.endpoints[endpoint]
        while endpoint not in address.model.endpoints and address.successor is not None:
            endpoint = address.successor
            address = self.endpoints[endpoint]
        return endpoint if endpoint in address.model.endpoints else None

    def connections_closed(self, endpoint: str, count: int) -> None:
        """So many connections to an endpoint are closed."""
        listener = self.listener(endpoint) if endpoint in self.endpoints else None
        if listener is not None:
            state = self.endpoints[listener].model.endpoints[listener]
            state.connections = max(0, state.connections - count)

    def _one_way(self) -> int:
        """Microseconds that a message takes, as drawn."""
        delay = (
            self._latency * self._random.lognormvariate(0, self._jitter) if self._jitter else self._latency
        )
        return int(delay) + self.added_latency

    # Calls.

    def start_call(self, call: InFlightCall) -> None:
        """The attempt's outcome is reported to its sender once, unless the call is cancelled by `release`."""
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
        ):  # nobody answers: the connection never opens
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
        """A response is here, if what it came from still answers."""
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
        """Its connection is of no further use."""
        if not call.finished:
            if call.sent:
                self.connections_closed(call.endpoint, 1)
            call.sender.attempt_finished(call, outcome)

    def cancel(self, call: InFlightCall) -> None:
        """Its sender no longer wants it."""
        self._fail(call, AttemptOutcome.CANCELLED)

    def release(self, call: InFlightCall) -> None:
        """The call has its outcome, or its sender was killed: it counts no more, and the destination sees
        it go."""
        destination = call.message.request.destination
        self._in_flight[destination] -= 1
        if not call.arrived:
            self._on_the_way[destination] -= 1
        if call.received is not None:
            model = self.endpoints[call.endpoint].model
            model.call_ended(self._events.now, call.received, call.message.request.id)
