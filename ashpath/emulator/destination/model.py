"""A destination as a model, free of I/O and of any clock: what a call meets, and what effect it has.

Whoever plays the model says what time it is, in whole microseconds, and carries out what it says. Every draw
comes from the `Random` that it is handed. A destination is in one of these states:

    healthy     full speed
    outage      one of OUTAGE_FAULTS is on; each decides for itself what becomes of a call
    slow start  after an outage: `cold_share` of its speed, rising to all of it over `ramp`
    collapsed   pushed over by too many calls in slow start: silent for `fall_down`, then slow start again
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from heapq import heapreplace
from random import Random

from ashpath.emulator.destination.calls import CallResult, DestinationCall, RequestTally
from ashpath.emulator.destination.faults import ActiveFaults, Fault
from ashpath.emulator.destination.properties import DestinationProperties
from ashpath.emulator.destination.rate_limit import DestinationRateLimit
from ashpath.emulator.units import NEVER, SECOND

ERROR_RESPONSE_TIME = 1000  # microseconds until an error that comes before the effect


@dataclass(eq=False, slots=True)
class EndpointState:
    """One endpoint of a destination."""

    workers_free_at: list[int]
    """When each worker is free: a heap; endpoints that share workers have the same one."""
    queued_starts: deque[int] = field(default_factory=deque)
    """When the calls that wait will start; emptied as they do."""
    connections: int = 0


class DestinationModel:
    """One destination. `key_expiry_times` is emptied as deduplication windows pass.

    `tallies` grows with the run, as its checks need them, unless `keeps_tallies` is off: then with the
    calls in flight.
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
        self.key_expiry_times: OrderedDict[str, int] = OrderedDict()  # until when each is remembered
        self.tallies: dict[str, RequestTally] = {}
        self.faults = ActiveFaults(properties.error_share, properties.error_after_effect_share)
        self.rate_limit = DestinationRateLimit(properties, self.faults, random)
        self.recovered_at = -NEVER  # when the latest outage ended
        self.collapsed_until = -NEVER
        self.collapses = 0
        self._recovery_calls: deque[int] = deque()  # arrivals over the latest fall_time, in slow start
        mean = sum(properties.service_times) / len(properties.service_times)
        self.capacity = (
            properties.workers * SECOND / mean * (1 if properties.shares_workers else len(endpoints))
        )
        if properties.rate_limit:
            self.capacity = min(self.capacity, properties.rate_limit)

    # Endpoints come and go.

    def add_endpoint(self, endpoint: str) -> None:
        """A new endpoint, with workers of its own unless they are shared."""
        properties = self.properties
        workers = self._shared_workers if properties.shares_workers else [0] * properties.workers
        self.endpoints[endpoint] = EndpointState(workers)

    def remove_endpoint(self, endpoint: str) -> None:
        """It refuses calls from now on."""
        self.endpoints.pop(endpoint, None)

    # Faults.

    def add_fault(self, fault: Fault, amount: float) -> None:
        """Puts a fault on."""
        self.faults.add(fault, amount)

    def remove_fault(self, fault: Fault, amount: float, now: int) -> None:
        """Takes a fault off; if the destination was in an outage and no longer is, slow start begins."""
        was_in_outage = self.in_outage()
        self.faults.remove(fault, amount)
        if was_in_outage and not self.in_outage():
            self.recovered_at = now
            self._recovery_calls.clear()

    def in_outage(self) -> bool:
        """Whether one of OUTAGE_FAULTS is on."""
        return self.faults.has_outage

    def is_unresponsive(self, now: int) -> bool:
        """Whether no call is answered now, not even one that came in before."""
        return self.faults.silent or self.faults.hung or now < self.collapsed_until

    def speed(self, now: int) -> float:
        """Its present share of its full speed, as of the recovery ramp."""
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
        """A call has come in whole. `new_connection`: it is the first on its connection."""
        state = self.endpoints.get(endpoint)
        if state is None or self.faults.down:
            return DestinationCall(CallResult.REFUSED)
        call = DestinationCall(
            CallResult.NO_RESPONSE, NEVER, tally=self._count_call(request), idempotency_key=key
        )
        in_slow_start = now < self.recovered_at + self.properties.slow_start_time
        if in_slow_start and self._causes_collapse(now):
            self.collapsed_until = now + self.properties.collapse_time
            self.recovered_at = self.collapsed_until
            self.collapses += 1
        if self.faults.silent or now < self.collapsed_until:
            return call
        if self.faults.hung:
            self._record_effect(now, call)  # it runs as the hang ends, and nobody receives the response
            return call
        if self._rejects(now, state, call):
            return self._with_report(call)
        draw = self.random.random() if self.faults.has_failure_share else 1.0
        if draw < self.faults.error_share:
            call.result = CallResult.ERROR
            call.responds_after = ERROR_RESPONSE_TIME
            return self._with_report(call)
        service_time = self._service_time(traffic_class) * self.faults.service_time_factor
        if in_slow_start:
            service_time /= self.speed(now)
        if new_connection:
            service_time += self.properties.connection_setup_time
        self._assign_worker(now, state, call, service_time)
        if self.faults.has_failure_share:
            self._apply_failure_shares(draw - self.faults.error_share, call)
        return self._with_report(call)

    def call_ended(self, now: int, call: DestinationCall, request: str) -> None:
        """The response is written, or the caller has gone."""
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
        """Answers a call that is above the rate limit or finds the queue full; False: it is admitted."""
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
        """The worker that is free first takes the call."""
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
        """What becomes of a call that ran, by one draw from 0 on."""
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
        """A call in slow start: whether it is one too many for too long."""
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
        """It runs, whether or not anybody waits for the response, unless its key is still known."""
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
        """It will not run after all."""
        if call.has_effect and call.tally is not None:
            call.has_effect = False
            call.tally.effects -= 1
            if call.key_is_new and call.idempotency_key is not None:
                self.key_expiry_times.pop(call.idempotency_key, None)
