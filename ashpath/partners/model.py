"""A partner system as a model, free of I/O and of any clock: what a call meets, and what it effects.

Times are whole microseconds. Every draw comes from the `Random` that it is handed.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

SECOND = 1_000_000
RETRY = SECOND // 5  # told with an answer above the limit


@dataclass(frozen=True, slots=True)
class Silence:
    """From when to when nothing is answered; afterwards it is cold."""

    begins: int
    ends: int


@dataclass(frozen=True, slots=True)
class Nature:
    """What a partner system is like."""

    workers: int  # calls at work at once
    service: int  # the median time of one
    spread: float = 0.3  # sigma of its logarithm
    queue: int = 8  # calls that wait; further ones are answered 'full'
    rate: float = 0.0  # calls a second that its limit allows; 0: none
    cold_share: float = 0.2  # of its workers, right after a silence
    ramp: int = 10 * SECOND  # until all of them work
    window: int = 5 * SECOND  # for so long a repeat of a key is recognised
    silences: tuple[Silence, ...] = ()


@dataclass(frozen=True, slots=True)
class Meets:
    """What a call meets. `after`: when the answer comes, from its arrival; None: never."""

    status: int
    after: int | None
    wait: int = 0
    report: str = ""


@dataclass(slots=True)
class Tally:
    """What a partner saw of one envelope."""

    calls: int = 0
    effects: int = 0  # runs that were no recognised repeat
    out: int = 0
    doubled: bool = False  # a second call was out beside the first


@dataclass(eq=False)
class Partner:
    """`busy` is emptied as calls end, `keys` as their window passes; `tallies` grows with a day's envelopes,
    as the day's account needs them all."""

    nature: Nature
    chance: Random
    busy: list[int] = field(default_factory=list)  # when each call at work or in the queue ends
    keys: OrderedDict[str, int] = field(default_factory=OrderedDict)  # seen, and until when
    tokens: float = 1.0
    refilled: int = 0
    tallies: dict[str, Tally] = field(default_factory=dict)
    refused: int = 0

    def silent(self, now: int) -> bool:
        return any(span.begins <= now < span.ends for span in self.nature.silences)

    def workers(self, now: int) -> int:
        """As many as work just now: fewer while it is cold."""
        nature = self.nature
        back = max((span.ends for span in nature.silences if span.ends <= now), default=None)
        if back is None or now >= back + nature.ramp:
            return nature.workers
        share = nature.cold_share + (1 - nature.cold_share) * (now - back) / nature.ramp
        return max(1, int(nature.workers * share))

    def arrive(self, now: int, envelope: str, key: str | None) -> Meets:
        """A call has come in whole."""
        tally = self.tallies.setdefault(envelope, Tally())
        tally.calls += 1
        tally.doubled |= tally.out > 0
        tally.out += 1
        if self.silent(now):
            return Meets(0, None)
        nature, report = self.nature, ""
        if nature.rate:
            burst = max(1.0, nature.rate / 2)
            grown = (now - self.refilled) * nature.rate / SECOND
            self.tokens, self.refilled = min(burst, self.tokens + grown), now
            report = f"TEXT x0={max(0.0, self.tokens / burst):.3f}, x1={nature.rate:g}"
            if self.tokens < 1:
                self.refused += 1
                return Meets(429, 0, RETRY, report)
            self.tokens -= 1
        while self.busy and self.busy[0] <= now:
            heappop(self.busy)
        workers = self.workers(now)
        if len(self.busy) >= workers + nature.queue:
            self.refused += 1
            return Meets(503, 0, 0, report)
        # It begins as a worker is free: when all but `workers - 1` of those ahead of it have ended.
        ahead = sorted(self.busy)
        begins = now if len(ahead) < workers else ahead[len(ahead) - workers]
        ends = begins + round(nature.service * self.chance.lognormvariate(0, nature.spread))
        heappush(self.busy, ends)
        self.effect(now, tally, key)
        return Meets(200, ends - now, 0, report)

    def effect(self, now: int, tally: Tally, key: str | None) -> None:
        """It runs, whether or not anybody waits for the answer, unless its key is still known."""
        while self.keys and next(iter(self.keys.values())) <= now:
            self.keys.popitem(last=False)
        if key is not None and key in self.keys:
            return
        tally.effects += 1
        if key is not None:
            self.keys[key] = now + self.nature.window

    def left(self, envelope: str) -> None:
        """Its answer is written, or its caller has gone."""
        self.tallies[envelope].out -= 1
