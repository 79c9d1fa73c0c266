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

from ashpath.decide import Sender
from ashpath.door import Ending, KindTerms, Listing, Past, Presence, Repeat, Terms, Told, TrackTerms

SECOND = 1_000_000
TOOK = 200_000  # microseconds from a call to its answer
NUMBER = 7  # the destination that goes out


@dataclass
class Fleet:
    """`capacity`: calls a second that the destination can do when warm. `offered`: of that, what is asked of
    it by all senders together, and of each of the `others` - 1 beside it, which stay well."""

    terms: Terms
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

    def answers(self, destination: int) -> tuple[Ending, int] | None:
        """What a call that arrives now ends as, and when; None: silence."""
        out, back = self.out
        if destination != NUMBER or self.now < out:
            return Ending.COMPLETED, TOOK
        if self.now >= back:
            self.calls.append(self.now)
            return Ending.COMPLETED, TOOK
        self.during += 1
        return None if self.silent else (Ending.NO_CONNECTION, 1000)

    def allowed(self, when: int) -> float:
        terms = self.terms
        warm = min(1.0, (when - self.out[1]) / terms.ramp_time)
        able = self.capacity * (terms.cold_share + (1 - terms.cold_share) * warm)
        return terms.fall_multiple * able * terms.fall_time / SECOND

    def worst(self) -> tuple[float, float]:
        """The window that comes nearest to a fall, or goes furthest past it: calls in it, and what it may
        have with chance. The destination can do as much as at the window's end."""
        found = (0.0, 1.0)
        for last, when in enumerate(self.calls):
            if when > self.out[1] + self.terms.ramp_time:
                break
            count = sum(at > when - self.terms.fall_time for at in self.calls[: last + 1])
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
        terms: Any = replace(fleet.terms, number=self.number, senders=fleet.senders, seed=seed)
        self.sender = Sender(terms, self)
        rows = [
            Listing(f"x{n}", n, 0, 0, Presence.LISTED, fleet.capacity)
            for n in range(NUMBER, NUMBER + fleet.others)
        ]
        restored: list[tuple[Any, ...]] = [
            ("outage", destination, "", rate)
            for destination, (rate, until) in self.outages.items()
            if until is None or until > fleet.now
        ]
        for id_ in kept:
            destination, end, attempts, out_at = self.owed[id_]
            past = Past(attempts, out_at, f"x{destination}" if out_at is not None else "", out_at is not None)
            restored.append(("restored", id_, destination, 0, None, end - fleet.now, past))
            self.owed[id_][3] = None
        self.turn(("listed", rows, True), *restored)

    def kill(self) -> None:
        self.alive, self.life = False, self.life + 1
        self.fleet.at(self.fleet.now + 600_000, lambda: self.start(tuple(self.owed)))

    def turn(self, *news: tuple[Any, ...]) -> None:
        self.sender.open_turn(self.fleet.now)
        for name, *told in news:
            getattr(self.sender, name)(*told)
        self.sender.close_turn()

    def take(self, destination: int) -> None:
        if not self.alive:
            return
        self.last += 1
        self.owed[self.last] = [destination, self.fleet.now + 20 * SECOND, 0, None]
        self.turn(("take", self.last, destination, 0, None, 20 * SECOND))

    def shoot(self, message: int, endpoint: str, timeout: int) -> None:
        one, life = self.owed[message], self.life
        one[2], one[3] = one[2] + 1, self.fleet.now
        self.fleet.at(self.fleet.now, self.arrive, life, message, timeout)

    def arrive(self, life: int, message: int, timeout: int) -> None:
        if life == self.life:
            ending, took = self.fleet.answers(self.owed[message][0]) or (Ending.TIMED_OUT, timeout)
            self.fleet.at(self.fleet.now + min(took, timeout), self.back, life, message, ending)

    def back(self, life: int, message: int, ending: Ending) -> None:
        if life != self.life:
            return
        done = ending is Ending.COMPLETED
        if message in self.owed:
            self.owed[message][3] = None
            if done:
                del self.owed[message]
        self.fleet.delivered += done
        told = Told(0.7, self.fleet.capacity) if done and self.fleet.terms.reports else None
        self.turn(("returned", message, ending, 0, done, told))

    def bounce(self, message: int, come_back: int) -> None:
        del self.owed[message]

    def abort(self, message: int) -> None:
        del self.owed[message]

    def wake(self, at: int, token: str) -> None:
        self.fleet.at(max(at, self.fleet.now + 1), self.woken, self.life, token)

    def woken(self, life: int, token: str) -> None:
        if life == self.life and self.alive:
            self.turn(("woken", token))

    def withdraw(self, message: int, attempt: int) -> None: ...

    def release(self, endpoint: str) -> None: ...

    def ask(self) -> None: ...

    def tell(self, note: bytes) -> None: ...

    def mode(self, text: str, destination: int, endpoint: str, out: bool, rate: float) -> None:
        if out:
            self.outages[destination] = (rate, None)
        elif destination in self.outages and self.outages[destination][1] is None:
            self.outages[destination] = (rate, self.fleet.now + self.fleet.terms.ramp_time)


TRACK = TrackTerms(1.0, 3 * SECOND, 20 * SECOND, Repeat.REPEATABLE, 0, True, 0.3, False)
PLAIN = Terms(
    seed=1, number=0, senders=1, slots=16, room=200, most_shots=12, may_withdraw=True,
    longest_wait=3 * SECOND, connect_time=SECOND, idle_time=5 * SECOND, tables_told=True, tracks=(TRACK,),
    kinds=(KindTerms(False, 1),), decays=True, drain_grace=SECOND, cold_share=0.2, ramp_time=10 * SECOND,
    fall_multiple=2.0, fall_time=3 * SECOND, key_rest=0, ask_within=0, reports=True, rated=True, notes=False,
    fees=(),
)  # fmt: skip
# Two customers: one whose answers tell of limits, and one where nothing does and the rates listed are rough.
CUSTOMERS = {
    "told": PLAIN,
    "blind": replace(PLAIN, reports=False, cold_share=0.18, ramp_time=12 * SECOND, fall_time=3 * SECOND // 2),
}
