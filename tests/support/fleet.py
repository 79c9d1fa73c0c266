"""Many senders at one destination that goes out and comes back cold, in virtual time; the module alone.

What the destination may be sent is what the operators' rule says: N, so many times of what it can do at that
moment over the time in which it falls, and 2 x root of N + 2 for chance.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from math import sqrt
from random import Random
from typing import Any

from ashpath.core.interface import (
    AttemptOutcome,
    DestinationKindSettings,
    EndpointRecord,
    EndpointStatus,
    LoadReport,
    PolicySettings,
    PreviousAttempts,
    RetrySafety,
    TrafficClassSettings,
)
from ashpath.policy.delivery_policy import DeliveryPolicy

SECOND = 1_000_000
TOOK = 200_000  # microseconds from a call to its answer
NUMBER = 7  # the destination that goes out


@dataclass
class Fleet:
    """`capacity`: calls a second that the destination can do when warm. `offered`: of that, what is asked of
    it by all senders together, and of each of the `others` - 1 beside it, which stay well."""

    terms: PolicySettings
    senders: int
    capacity: float
    offered: float = 0.7
    uneven: bool = True
    silent: bool = False  # out: takes calls and says nothing; else it refuses them
    out: tuple[int, int] = (30 * SECOND, 50 * SECOND)
    end: int = 62 * SECOND
    restarts: tuple[int, ...] = ()  # when all senders are killed and come back, 600 ms later
    seed: int = 1
    others: int = 3
    calls: list[int] = field(default_factory=list)  # arrivals at the destination, from its return on
    during: int = 0  # and while it was out
    delivered: int = 0

    def __post_init__(self) -> None:
        self.now, self.chance = 0, Random(self.seed)
        self.events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count = 0
        self.fronts = [Front(self, number) for number in range(self.senders)]

    def at(self, when: int, act: Callable[..., None], *told: Any) -> None:
        self.count += 1
        heapq.heappush(self.events, (max(when, self.now), self.count, act, told))

    def play(self) -> Fleet:
        weights = [1 / (n + 1) if self.uneven else 1.0 for n in range(self.senders)]
        for front, weight in zip(self.fronts, weights, strict=True):
            front.start(())
            share = weight / sum(weights)
            for destination in range(NUMBER, NUMBER + self.others):
                rate = self.offered * self.capacity * share
                self.at(self.gap(rate), self.asks, front, destination, rate)
        for when in self.restarts:
            for front in self.fronts:
                self.at(when, front.kill)
        while self.events and self.events[0][0] <= self.end:
            self.now, _, act, told = heapq.heappop(self.events)
            act(*told)
        return self

    def gap(self, rate: float) -> int:
        return self.now + int(self.chance.expovariate(rate) * SECOND)

    def asks(self, front: Front, destination: int, rate: float) -> None:
        self.at(self.gap(rate), self.asks, front, destination, rate)
        front.take(destination)

    def answers(self, destination: int) -> tuple[AttemptOutcome, int] | None:
        """What a call that arrives now ends as, and when; None: silence."""
        out, back = self.out
        if destination != NUMBER or self.now < out:
            return AttemptOutcome.DELIVERED, TOOK
        if self.now >= back:
            self.calls.append(self.now)
            return AttemptOutcome.DELIVERED, TOOK
        self.during += 1
        return None if self.silent else (AttemptOutcome.CONNECT_FAILED, 1000)

    def allowed(self, when: int) -> float:
        terms = self.terms
        warm = min(1.0, (when - self.out[1]) / terms.warm_up_time)
        able = self.capacity * (terms.initial_capacity_share + (1 - terms.initial_capacity_share) * warm)
        return terms.overload_multiple * able * terms.overload_duration / SECOND

    def worst(self) -> tuple[float, float]:
        """The window that comes nearest to a fall, or goes furthest past it: calls in it, and what it may
        have with chance. The destination can do as much as at the window's end."""
        found = (0.0, 1.0)
        for last, when in enumerate(self.calls):
            if when > self.out[1] + self.terms.warm_up_time:
                break
            count = sum(at > when - self.terms.overload_duration for at in self.calls[: last + 1])
            budget = self.allowed(when)
            most = budget + 2 * sqrt(budget) + 2
            if count / most > found[0] / found[1]:
                found = (count, most)
        return found


class Front:
    """One sender's front: carries out its answers, and keeps what it took over a kill."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.life, self.last = fleet, number, 0, number << 32
        self.owed: dict[int, list[Any]] = {}  # destination, end, attempts, when the one out began
        self.outages: dict[int, tuple[float, int | None]] = {}  # kept over a kill, too
        self.alive = False

    def start(self, kept: tuple[int, ...]) -> None:
        fleet = self.fleet
        self.life, self.alive = self.life + 1, True
        seed = f"{fleet.seed}/{self.number}/{self.life}"
        terms: Any = replace(fleet.terms, sender_index=self.number, sender_count=fleet.senders, seed=seed)
        self.sender = DeliveryPolicy(terms, self)
        rows = [
            EndpointRecord(f"x{n}", n, 0, 0, EndpointStatus.ACTIVE, fleet.capacity)
            for n in range(NUMBER, NUMBER + fleet.others)
        ]
        restored: list[tuple[Any, ...]] = [
            ("restore_outage", destination, "", rate)
            for destination, (rate, until) in self.outages.items()
            if until is None or until > fleet.now
        ]
        for id_ in kept:
            destination, end, attempts, out_at = self.owed[id_]
            past = PreviousAttempts(
                attempts, out_at, f"x{destination}" if out_at is not None else "", out_at is not None
            )
            restored.append(("restore", id_, destination, 0, None, end - fleet.now, past))
            self.owed[id_][3] = None
        self.turn(("update_endpoints", rows, True), *restored)

    def kill(self) -> None:
        self.alive, self.life = False, self.life + 1
        self.fleet.at(self.fleet.now + 600_000, lambda: self.start(tuple(self.owed)))

    def turn(self, *news: tuple[Any, ...]) -> None:
        self.sender.begin_batch(self.fleet.now)
        for name, *told in news:
            getattr(self.sender, name)(*told)
        self.sender.end_batch()

    def take(self, destination: int) -> None:
        if not self.alive:
            return
        self.last += 1
        self.owed[self.last] = [destination, self.fleet.now + 20 * SECOND, 0, None]
        self.turn(("submit", self.last, destination, 0, None, 20 * SECOND))

    def start_attempt(self, message: int, endpoint: str, timeout: int) -> None:
        one, life = self.owed[message], self.life
        one[2], one[3] = one[2] + 1, self.fleet.now
        self.fleet.at(self.fleet.now, self.arrive, life, message, timeout)

    def arrive(self, life: int, message: int, timeout: int) -> None:
        if life == self.life:
            ending, took = self.fleet.answers(self.owed[message][0]) or (AttemptOutcome.TIMED_OUT, timeout)
            self.fleet.at(self.fleet.now + min(took, timeout), self.back, life, message, ending)

    def back(self, life: int, message: int, ending: AttemptOutcome) -> None:
        if life != self.life:
            return
        done = ending is AttemptOutcome.DELIVERED
        if message in self.owed:
            self.owed[message][3] = None
            if done:
                del self.owed[message]
        self.fleet.delivered += done
        told = LoadReport(0.7, self.fleet.capacity) if done and self.fleet.terms.has_load_reports else None
        self.turn(("attempt_finished", message, ending, 0, done, told))

    def reject(self, message: int, come_back: int) -> None:
        del self.owed[message]

    def fail(self, message: int) -> None:
        del self.owed[message]

    def schedule_timer(self, at: int, token: str) -> None:
        self.fleet.at(max(at, self.fleet.now + 1), self.woken, self.life, token)

    def woken(self, life: int, token: str) -> None:
        if life == self.life and self.alive:
            self.turn(("timer_fired", token))

    def cancel_attempt(self, message: int, attempt: int) -> None: ...

    def close_idle_connections(self, endpoint: str) -> None: ...

    def poll_endpoints(self) -> None: ...

    def publish(self, note: bytes) -> None: ...

    def mode_changed(self, text: str, destination: int, endpoint: str, out: bool, rate: float) -> None:
        if out:
            self.outages[destination] = (rate, None)
        elif destination in self.outages and self.outages[destination][1] is None:
            self.outages[destination] = (rate, self.fleet.now + self.fleet.terms.warm_up_time)


TRACK = TrafficClassSettings(1.0, 3 * SECOND, 20 * SECOND, RetrySafety.IDEMPOTENT, 0, True, 0.3, False)
PLAIN = PolicySettings(
    seed=1,
    sender_index=0,
    sender_count=1,
    max_in_flight=16,
    queue_capacity=200,
    max_attempts=12,
    may_cancel=True,
    max_retry_after=3 * SECOND,
    connect_timeout=SECOND,
    idle_timeout=5 * SECOND,
    reports_full_connection_table=True,
    traffic_classes=(TRACK,),
    destination_kinds=(DestinationKindSettings(False, 1),),
    value_halves=True,
    drain_grace=SECOND,
    initial_capacity_share=0.2,
    warm_up_time=10 * SECOND,
    overload_multiple=2.0,
    overload_duration=3 * SECOND,
    settle_time=0,
    poll_interval=0,
    has_load_reports=True,
    has_listed_rates=True,
    gossip_enabled=False,
    zone_costs=(),
)
# Two customers: one whose answers tell of limits, and one where nothing does and the rates listed are rough.
CUSTOMERS = {
    "told": PLAIN,
    "blind": replace(
        PLAIN,
        has_load_reports=False,
        initial_capacity_share=0.18,
        warm_up_time=12 * SECOND,
        overload_duration=3 * SECOND // 2,
    ),
}
