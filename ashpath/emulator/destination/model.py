"""A model of a destination without I/O or clock, which determines the result and the effect of each call.

The caller of the model passes the time in whole microseconds and carries out the results. All random numbers
come from the `Random` that is passed to the model. A destination is in one of these states:

    healthy     full speed
    outage      one of OUTAGE_FAULTS is active and determines the results of calls
    slow start  after an outage: the speed rises from `slow_start_share` to 1 within `slow_start_time`
    collapsed   after an overload in slow start: silent for `collapse_time`, then slow start again
"""

from __future__ import annotations

from collections import OrderedDict, deque
from heapq import heapreplace
from random import Random

from ashpath.core.time_units import SECOND
from ashpath.emulator.destination.calls import CallResult, DestinationCall, RequestTally
from ashpath.emulator.destination.endpoint_state import EndpointState
from ashpath.emulator.destination.faults import ActiveFaults, Fault
from ashpath.emulator.destination.properties import DestinationProperties
from ashpath.emulator.destination.rate_limit import DestinationRateLimit
from ashpath.emulator.units import NEVER

ERROR_RESPONSE_TIME = 1000  # microseconds to the response of a call that fails before its effect


class DestinationModel:
    """One destination. An entry of `key_expiry_times` is removed after the deduplication window.

    `tallies` keeps all client requests of a run for the checks at its end. If `keeps_tallies` is false, it
    holds only requests with a call in flight.
    """

    def __init__(
        self,
        properties: DestinationProperties,
        random: Random,
        endpoints: list[str],
        keeps_tallies: bool = True,
    ) -> None:
        self.properties = properties
        self.random = random
        self.keeps_tallies = keeps_tallies
        self._shared_workers = [0] * properties.workers
        self.endpoints: dict[str, EndpointState] = {}
        for endpoint in endpoints:
            self.add_endpoint(endpoint)
        self.key_expiry_times: OrderedDict[str, int] = OrderedDict()  # by idempotency key
        self.tallies: dict[str, RequestTally] = {}
        self.faults = ActiveFaults(properties.error_share, properties.error_after_effect_share)
        self.rate_limit = DestinationRateLimit(properties, self.faults, random)
        self.recovered_at = -NEVER  # end of the latest outage
        self.collapsed_until = -NEVER
        self.collapses = 0
        self._recovery_calls: deque[int] = deque()  # arrivals in slow start within overload_duration
        mean = sum(properties.service_times) / len(properties.service_times)
        self.capacity = (
            properties.workers * SECOND / mean * (1 if properties.shares_workers else len(endpoints))
        )
        if properties.rate_limit:
            self.capacity = min(self.capacity, properties.rate_limit)

    # Endpoints.

    def add_endpoint(self, endpoint: str) -> None:
        """Adds an endpoint, with workers of its own unless the endpoints share them."""
        properties = self.properties
        workers = self._shared_workers if properties.shares_workers else [0] * properties.workers
        self.endpoints[endpoint] = EndpointState(workers)

    def remove_endpoint(self, endpoint: str) -> None:
        """Removes an endpoint. Further calls to it are refused."""
        self.endpoints.pop(endpoint, None)

    # Faults.

    def add_fault(self, fault: Fault, amount: float) -> None:
        """Activates a fault."""
        self.faults.add(fault, amount)

    def remove_fault(self, fault: Fault, amount: float, now: int) -> None:
        """Deactivates a fault. If this ends an outage, slow start begins."""
        was_in_outage = self.in_outage()
        self.faults.remove(fault, amount)
        if was_in_outage and not self.in_outage():
            self.recovered_at = now
            self._recovery_calls.clear()

    def in_outage(self) -> bool:
        """Returns whether one of OUTAGE_FAULTS is active."""
        return self.faults.has_outage

    def is_unresponsive(self, now: int) -> bool:
        """Returns whether no call is answered now, including calls that arrived earlier."""
        return self.faults.silent or self.faults.hung or now < self.collapsed_until

    def speed(self, now: int) -> float:
        """Returns the current speed as a share of the full speed; it is below 1 in slow start."""
        time_since_recovery = now - self.recovered_at
        properties = self.properties
        if time_since_recovery >= properties.slow_start_time:
            return 1.0
        return (
            properties.slow_start_share
            + (1 - properties.slow_start_share) * max(0, time_since_recovery) / properties.slow_start_time
        )

    # Calls.

    def call_arrived(
        self, now: int, endpoint: str, request: str, traffic_class: int, key: str | None, new_connection: bool
    ) -> DestinationCall:
        """Returns the result of a call that has arrived completely.

        `new_connection` is true for the first call on a connection.
        """
        state = self.endpoints.get(endpoint)
        if state is None or self.faults.down:
            return DestinationCall(CallResult.REFUSED)
        call = DestinationCall(
            CallResult.NO_RESPONSE, NEVER, tally=self._count_call(request), idempotency_key=key
        )
        in_slow_start = now < self.recovered_at + self.properties.slow_start_time
        if in_slow_start and self._causes_collapse(now):
            self._collapse(now)
        if self.faults.silent or now < self.collapsed_until:
            return call
        if self.faults.hung:
            self._record_effect(now, call)  # executed when the fault ends; no caller receives the response
            return call
        if not self._rejects(now, state, call):
            self._process(now, state, call, traffic_class, in_slow_start, new_connection)
        return self._with_report(call)

    def _collapse(self, now: int) -> None:
        self.collapsed_until = now + self.properties.collapse_time
        self.recovered_at = self.collapsed_until
        self.collapses += 1

    def _process(
        self,
        now: int,
        state: EndpointState,
        call: DestinationCall,
        traffic_class: int,
        in_slow_start: bool,
        new_connection: bool,
    ) -> None:
        # Determines the result of a call that is not rejected, and when its response is sent.
        draw = self.random.random() if self.faults.has_failure_share else 1.0
        if draw < self.faults.error_share:
            call.result = CallResult.ERROR
            call.responds_after = ERROR_RESPONSE_TIME
            return
        service_time = self._service_time(traffic_class) * self.faults.service_time_factor
        if in_slow_start:
            service_time /= self.speed(now)
        if new_connection:
            service_time += self.properties.connection_setup_time
        self._assign_worker(now, state, call, service_time)
        if self.faults.has_failure_share:
            self._apply_failure_shares(draw - self.faults.error_share, call)

    def call_ended(self, now: int, call: DestinationCall, request: str) -> None:
        """Ends a call, whose response has been written or whose caller has disconnected."""
        tally = call.tally
        if tally is None:
            return
        tally.in_flight -= 1
        if not self.properties.completes_abandoned_calls and call.starts_at > now:
            self._undo_effect(call)
        if not self.keeps_tallies and not tally.in_flight:
            self.tallies.pop(request, None)

    def _count_call(self, request: str) -> RequestTally:
        tally = self.tallies.get(request)
        if tally is None:
            tally = self.tallies[request] = RequestTally()
        tally.calls += 1
        tally.overlapped |= tally.in_flight > 0
        tally.in_flight += 1
        return tally

    def _rejects(self, now: int, state: EndpointState, call: DestinationCall) -> bool:
        """Rejects a call that is above the rate limit or finds the queue full; returns whether it did."""
        rejecting = self.faults.rejecting
        if rejecting or (self.properties.rate_limit and not self.rate_limit.admit(now)):
            call.retry_after = 0 if rejecting else self.rate_limit.retry_after(now)
        else:
            queued = state.queued_starts
            while queued and queued[0] <= now:
                queued.popleft()
            if len(queued) < self.properties.queue_capacity or state.workers_free_at[0] <= now:
                return False
        call.result = CallResult.OVERLOADED
        call.responds_after = 0
        return True

    def _assign_worker(
        self, now: int, state: EndpointState, call: DestinationCall, service_time: float
    ) -> None:
        """Assigns the call to the worker that is free first."""
        start = max(now, state.workers_free_at[0])
        if self.properties.pause_interval:
            start = self._after_pause(start)
        end = start + max(1, int(service_time))
        heapreplace(state.workers_free_at, end)
        if start > now:
            state.queued_starts.append(start)
        call.starts_at = start
        self._record_effect(now, call)
        call.result = CallResult.OK
        call.responds_after = end - now

    def _apply_failure_shares(self, draw: float, call: DestinationCall) -> None:
        """Applies errors, lost responses and resets to a call by one random number.

        The number is relative to the share of errors before the effect. Half of the resets come before the
        execution and undo the effect.
        """
        faults = self.faults
        if draw < faults.error_after_share:
            call.result = CallResult.ERROR
        elif draw < faults.error_after_share + faults.lost_response_share:
            call.result = CallResult.NO_RESPONSE
            call.responds_after = NEVER
        elif draw < faults.error_after_share + faults.lost_response_share + faults.reset_share:
            call.result = CallResult.RESET
            if draw < faults.error_after_share + faults.lost_response_share + faults.reset_share / 2:
                call.responds_after = 0
                self._undo_effect(call)

    def _service_time(self, traffic_class: int) -> float:
        properties = self.properties
        if properties.samples:
            return self.random.choice(properties.samples)
        median = properties.service_times[min(traffic_class, len(properties.service_times) - 1)]
        service_time = (
            median * self.random.lognormvariate(0, properties.service_time_sigma)
            if properties.service_time_sigma
            else float(median)
        )
        in_tail = properties.tail_share and self.random.random() < properties.tail_share
        return service_time * properties.tail_factor if in_tail else service_time

    def _after_pause(self, at: int) -> int:
        properties = self.properties
        time_into_interval = at % properties.pause_interval
        return (
            at + properties.pause_time - time_into_interval
            if time_into_interval < properties.pause_time
            else at
        )

    def _with_report(self, call: DestinationCall) -> DestinationCall:
        report = self.rate_limit.report()
        if report is not None:
            call.remaining_quota, call.rate_limit = report
        return call

    def _causes_collapse(self, now: int) -> bool:
        """Returns whether a call in slow start completes an overload that makes the destination collapse."""
        properties = self.properties
        calls = self._recovery_calls
        calls.append(now)
        while calls[0] <= now - properties.overload_duration:
            calls.popleft()
        if now - self.recovered_at < properties.overload_duration or now < self.collapsed_until:
            return False
        load = properties.overload_multiple * self.capacity * self.speed(now)
        return len(calls) > load * properties.overload_duration / SECOND

    def _record_effect(self, now: int, call: DestinationCall) -> None:
        """Records the effect of a call, unless its idempotency key is still remembered.

        The effect does not depend on whether the caller still waits for the response.
        """
        key_expiry_times = self.key_expiry_times
        while key_expiry_times and next(iter(key_expiry_times.values())) <= now:
            key_expiry_times.popitem(last=False)
        key = call.idempotency_key
        call.has_effect = key is None or key not in key_expiry_times
        if call.has_effect and call.tally is not None:
            call.tally.effects += 1
            if key is not None:
                key_expiry_times[key] = now + self.properties.deduplication_window
                call.key_is_new = True

    def _undo_effect(self, call: DestinationCall) -> None:
        """Reverts the effect of a call that is not executed, and forgets the key that the call stored."""
        if call.has_effect and call.tally is not None:
            call.has_effect = False
            call.tally.effects -= 1
            if call.key_is_new and call.idempotency_key is not None:
                self.key_expiry_times.pop(call.idempotency_key, None)
