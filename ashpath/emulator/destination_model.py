"""A partner system as a model, free of I/O and of any clock: what a call meets, and what it effects.

Whoever plays it tells the time, in whole microseconds, and carries out what it says. Every draw comes from
the `Random` that it is handed. Troubles are put on and taken off by the player; several at once compose:
factors multiply, shares add, and what is silent is silent whatever else is wrong with it.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum
from heapq import heapreplace
from random import Random

SECOND = 1_000_000
NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class Nature:
    """What a partner system is like. Times in microseconds, rates a second, shares of one."""

    workers: int = 4  # calls at work at once, of each endpoint or of all together
    shared: bool = False  # its endpoints share the workers
    service: tuple[int, ...] = (
        50_000,
    )  # the median time of a call, by track; the last one for all further ones
    spread: float = 0.3  # sigma of its logarithm
    tail: float = 0.0  # share of calls that take `tail_factor` times as long
    tail_factor: float = 10.0
    samples: tuple[int, ...] = ()  # drawn from these instead
    queue: int = 8  # calls that wait at an endpoint; further ones are answered 'full'
    rate: float = 0.0  # calls a second that its limit allows; 0: no limit
    span: int = 0  # the limit counts calls in spans of this; 0: tokens that flow
    sliding: bool = False  # the span is always the latest one, else one begins as the other ends
    refused_count: bool = False  # refused calls use the limit up
    burst: float = 0.5  # tokens: seconds of the rate that may come at once
    wait: int = 0  # told with an answer above the limit; 0: it says only that it is full
    to_room: bool = False  # told instead: until the limit of a span has room again
    tells: float = 1.0  # the share of such answers that tell a wait at all
    reports: bool = False  # answers tell what is left of the limit, and the limit
    noise: float = 0.0  # sigma of what is told
    late: int = 0  # what is told is as old as this
    connections: int = 0  # that an endpoint holds, idle ones counted; 0: any number
    connect_work: int = 0  # that a new connection adds to its first call
    cold_share: float = 0.2  # of its speed, right after an outage
    ramp: int = 10 * SECOND  # until it has all of it
    fall_multiple: float = 2.0  # cold, more calls than so many times what it can handle,
    fall_time: int = 3 * SECOND  # for so long, push it over,
    fall_down: int = 15 * SECOND  # and it is silent for so long more
    pause_every: int = 0  # it stands still at times, a garbage collection say; 0: never
    pause_for: int = 0
    window: int = 5 * SECOND  # for so long a repeat of a key is recognised
    runs_on: bool = (
        True  # a call whose caller has gone is worked on all the same; else dropped from the queue
    )
    errors: float = 0.0  # share of calls that fail before they had an effect
    errors_after: float = 0.0  # and after it


class Trouble(Enum):
    """What may be wrong with a partner. `amount` says how much, where there is a how much."""

    SILENT = "silent"  # nothing is answered, nothing runs; open connections stay open
    HUNG = "hung"  # calls come in and wait, and run as it ends
    DOWN = "down"  # connections are refused, open ones reset
    SHUT = "shut"  # every call is answered 'full' at once
    SLOW = "slow"  # work takes `amount` times as long
    ERRORS = "errors"  # a share of calls fails fast, before an effect
    ERRORS_AFTER = "errors-after"  # the same behind the effect
    LOST = "lost"  # a share of the answers never comes, though the call ran
    RESETS = "resets"  # a share of the calls is reset, half of them after they ran
    LIMIT = "limit"  # the limit is `amount` times what it was


OUTAGES = (Trouble.SILENT, Trouble.HUNG, Trouble.DOWN, Trouble.SHUT)


class Meets(Enum):
    """What the caller of a call meets in the end."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    RESET = "reset"
    REFUSED = "refused"  # no connection: it never came in
    NOTHING = "nothing"


@dataclass(eq=False, slots=True)
class Call:
    """One call at a partner, and what it meets `after` so long from its arrival; NEVER: nothing comes."""

    meets: Meets
    after: int = 0
    wait: int = 0
    left: float = -1.0  # told of the limit, with `rate`; below 0: nothing is told
    rate: float = 0.0
    begins: int = 0  # when work on it begins
    tally: Tally | None = None
    key: str | None = None
    ran: bool = False  # it had an effect, or will
    fresh_key: bool = False  # and put its key among those remembered


@dataclass(slots=True)
class Tally:
    """What a partner saw of one piece of work, over all envelopes that carried it."""

    calls: int = 0
    effects: int = 0  # runs that were no recognised repeat
    out: int = 0
    doubled: bool = False  # a second call was out beside the first


@dataclass(eq=False, slots=True)
class Site:
    """One endpoint."""

    free: list[int]  # when each worker is free: a heap; shared ones have the same
    begins: deque[int] = field(default_factory=deque)  # of calls that wait; emptied as they begin
    connections: int = 0


class DestinationModel:
    """`keys` is emptied as windows pass, `recent` as calls leave the span they are counted over; `tallies`
    grows with a day's work, as its account needs them, unless `keeps` is off: then with its calls out."""

    def __init__(self, nature: Nature, chance: Random, endpoints: list[str], keeps: bool = True) -> None:
        self.nature, self.chance, self.keeps = nature, chance, keeps
        self.shared = [0] * nature.workers
        self.sites: dict[str, Site] = {}
        for endpoint in endpoints:
            self.add(endpoint)
        self.keys: OrderedDict[str, int] = OrderedDict()  # until when each is remembered
        self.tallies: dict[str, Tally] = {}
        self.troubles: list[tuple[Trouble, float]] = []
        self.silent = self.hung = self.down = self.shut = False
        self.slow = self.limited = 1.0
        self.error = self.error_after = self.lost = self.resets = 0.0
        self.recompute()
        self.back_at = -NEVER  # when the latest outage ended
        self.fallen_until = -NEVER
        self.tokens, self.refilled = max(1.0, nature.burst * nature.rate), 0
        self.recent: deque[int] = deque()  # calls that a span's limit counts
        self.span_from = 0
        self.offered: deque[int] = deque()  # arrivals over the latest fall_time, while cold
        self.history: deque[tuple[int, float]] = deque()  # what was left of the limit, for late reports
        self.falls = 0
        mean = sum(nature.service) / len(nature.service)
        self.capacity = nature.workers * SECOND / mean * (1 if nature.shared else len(endpoints))
        if nature.rate:
            self.capacity = min(self.capacity, nature.rate)

    # Endpoints come and go.

    def add(self, endpoint: str) -> None:
        free = self.shared if self.nature.shared else [0] * self.nature.workers
        self.sites[endpoint] = Site(free)

    def remove(self, endpoint: str) -> None:
        self.sites.pop(endpoint, None)

    # Troubles.

    def put(self, trouble: Trouble, amount: float) -> None:
        self.troubles.append((trouble, amount))
        self.recompute()

    def take_off(self, trouble: Trouble, amount: float, now: int) -> None:
        was = self.out()
        self.troubles.remove((trouble, amount))
        self.recompute()
        if was and not self.out():
            self.back_at = now
            self.offered.clear()

    def recompute(self) -> None:
        nature = self.nature
        kinds = {trouble for trouble, _ in self.troubles}
        self.silent, self.hung = Trouble.SILENT in kinds, Trouble.HUNG in kinds
        self.down, self.shut = Trouble.DOWN in kinds, Trouble.SHUT in kinds
        self.slow = self.limited = 1.0
        self.error, self.error_after, self.lost, self.resets = nature.errors, nature.errors_after, 0.0, 0.0
        for trouble, amount in self.troubles:
            if trouble is Trouble.SLOW:
                self.slow *= amount
            elif trouble is Trouble.LIMIT:
                self.limited *= amount
            elif trouble is Trouble.ERRORS:
                self.error += amount
            elif trouble is Trouble.ERRORS_AFTER:
                self.error_after += amount
            elif trouble is Trouble.LOST:
                self.lost += amount
            elif trouble is Trouble.RESETS:
                self.resets += amount
        self.chancy = self.error + self.error_after + self.lost + self.resets > 0

    def out(self) -> bool:
        return self.silent or self.hung or self.down or self.shut

    def dumb(self, now: int) -> bool:
        """Nothing that was called before is answered now."""
        return self.silent or self.hung or now < self.fallen_until

    def speed(self, now: int) -> float:
        """Its present share of its full speed."""
        since = now - self.back_at
        nature = self.nature
        if since >= nature.ramp:
            return 1.0
        return nature.cold_share + (1 - nature.cold_share) * max(0, since) / nature.ramp

    # Calls.

    def arrive(self, now: int, endpoint: str, work: str, track: int, key: str | None, fresh: bool) -> Call:
        """A call has come in whole. `fresh`: it is the first on its connection."""
        nature, site = self.nature, self.sites.get(endpoint)
        if site is None or self.down:
            return Call(Meets.REFUSED)
        tally = self.tallies.get(work)
        if tally is None:
            tally = self.tallies[work] = Tally()
        tally.calls += 1
        tally.doubled |= tally.out > 0
        tally.out += 1
        call = Call(Meets.NOTHING, NEVER, tally=tally, key=key)
        cold = now < self.back_at + nature.ramp
        if cold and self.offer(now):
            self.fallen_until = now + nature.fall_down
            self.back_at, self.falls = self.fallen_until, self.falls + 1
        if self.silent or now < self.fallen_until:
            return call
        if self.hung:
            self.effect(now, call)  # it runs as the hang ends, and nobody hears of it
            return call
        if self.shut or (nature.rate and not self.allowed(now)):
            call.meets, call.after = Meets.FULL, 0
            call.wait = 0 if self.shut else self.wait(now)
            return self.report(now, call)
        begins = site.begins
        while begins and begins[0] <= now:
            begins.popleft()
        if len(begins) >= nature.queue and site.free[0] > now:
            call.meets, call.after = Meets.FULL, 0
            return self.report(now, call)
        draw = self.chance.random() if self.chancy else 1.0
        if draw < self.error:
            call.meets, call.after = Meets.ERROR, 1000
            return self.report(now, call)
        work_time = self.work(track) * self.slow
        if cold:
            work_time /= self.speed(now)
        if fresh:
            work_time += nature.connect_work
        start = max(now, site.free[0])
        if nature.pause_every:
            start = self.past_pause(start)
        ends = start + max(1, int(work_time))
        heapreplace(site.free, ends)
        if start > now:
            begins.append(start)
        call.begins = start
        self.effect(now, call)
        call.meets, call.after = Meets.OK, ends - now
        if self.chancy:
            self.spoil(draw - self.error, call)
        return self.report(now, call)

    def spoil(self, draw: float, call: Call) -> None:
        """What becomes of a call that ran, by one draw from 0 on."""
        if draw < self.error_after:
            call.meets = Meets.ERROR
        elif draw < self.error_after + self.lost:
            call.meets, call.after = Meets.NOTHING, NEVER
        elif draw < self.error_after + self.lost + self.resets:
            call.meets = Meets.RESET
            if draw < self.error_after + self.lost + self.resets / 2:
                call.after = 0
                self.undo(call)

    def work(self, track: int) -> float:
        nature = self.nature
        if nature.samples:
            return self.chance.choice(nature.samples)
        median = nature.service[min(track, len(nature.service) - 1)]
        took = median * self.chance.lognormvariate(0, nature.spread) if nature.spread else float(median)
        return took * nature.tail_factor if nature.tail and self.chance.random() < nature.tail else took

    def past_pause(self, at: int) -> int:
        nature = self.nature
        into = at % nature.pause_every
        return at + nature.pause_for - into if into < nature.pause_for else at

    def allowed(self, now: int) -> bool:
        """Whether the limit lets one more call in; it is counted."""
        nature, rate = self.nature, self.nature.rate * self.limited
        if not nature.span:
            most = max(1.0, nature.burst * rate)
            self.tokens = min(most, self.tokens + (now - self.refilled) * rate / SECOND)
            self.refilled = now
            let = self.tokens >= 1
            if let or nature.refused_count:
                self.tokens = max(-most, self.tokens - 1)
            self.told_left(now, max(0.0, self.tokens / most))
            return let
        most = max(1.0, rate * nature.span / SECOND)
        if nature.sliding:
            while self.recent and self.recent[0] <= now - nature.span:
                self.recent.popleft()
        elif now >= self.span_from + nature.span:
            self.span_from = now - now % nature.span
            self.recent.clear()
        let = len(self.recent) < most
        if let or nature.refused_count:
            self.recent.append(now)
        self.told_left(now, max(0.0, 1 - len(self.recent) / most))
        return let

    def room(self, now: int) -> float:
        """Calls that its limit would let in just now; for those who may see it as it is."""
        nature, rate = self.nature, self.nature.rate * self.limited
        if not nature.rate:
            return float("inf")
        if not nature.span:
            return min(max(1.0, nature.burst * rate), self.tokens + (now - self.refilled) * rate / SECOND)
        most = max(1.0, rate * nature.span / SECOND)
        if nature.sliding:
            return most - sum(1 for at in self.recent if at > now - nature.span)
        return most - (0 if now >= self.span_from + nature.span else len(self.recent))

    def wait(self, now: int) -> int:
        """What an answer above the limit tells: microseconds, or 0."""
        nature = self.nature
        if nature.tells < 1 and self.chance.random() >= nature.tells:
            return 0
        if not (nature.to_room and nature.span and self.recent):
            return nature.wait
        return max(0, (self.recent[0] if nature.sliding else self.span_from) + nature.span - now)

    def told_left(self, now: int, left: float) -> None:
        """Keeps what a late report will tell."""
        if self.nature.reports:
            self.history.append((now, left))
            while len(self.history) > 1 and self.history[1][0] <= now - self.nature.late:
                self.history.popleft()

    def report(self, now: int, call: Call) -> Call:
        nature = self.nature
        if nature.reports and nature.rate and self.history:
            noise = self.chance.gauss(1, nature.noise) if nature.noise else 1.0
            call.left = min(1.0, max(0.0, self.history[0][1] * noise))
            call.rate = max(0.001, nature.rate * self.limited * (2 - noise))
        return call

    def offer(self, now: int) -> bool:
        """A call while cold: whether it is one too many for too long."""
        nature, offered = self.nature, self.offered
        offered.append(now)
        while offered[0] <= now - nature.fall_time:
            offered.popleft()
        if now - self.back_at < nature.fall_time or now < self.fallen_until:
            return False
        most = nature.fall_multiple * self.capacity * self.speed(now) * nature.fall_time / SECOND
        return len(offered) > most

    def effect(self, now: int, call: Call) -> None:
        """It runs, whether or not anybody waits for the answer, unless its key is still known."""
        keys = self.keys
        while keys and next(iter(keys.values())) <= now:
            keys.popitem(last=False)
        call.ran = call.key is None or call.key not in keys
        if call.ran and call.tally is not None:
            call.tally.effects += 1
            if call.key is not None:
                keys[call.key], call.fresh_key = now + self.nature.window, True

    def undo(self, call: Call) -> None:
        """It will not run after all."""
        if call.ran and call.tally is not None:
            call.ran = False
            call.tally.effects -= 1
            if call.fresh_key and call.key is not None:
                self.keys.pop(call.key, None)

    def ended(self, now: int, call: Call, work: str) -> None:
        """Its answer is written, or its caller has gone."""
        tally = call.tally
        if tally is None:
            return
        tally.out -= 1
        if not self.nature.runs_on and call.begins > now:
            self.undo(call)
        if not self.keeps and not tally.out:
            self.tallies.pop(work, None)
