"""What a day's file makes, whichever clock plays it: partners, endpoints, and who hands in what."""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from pathlib import Path
from random import Random

from ashpath.core.interface import EndpointRecord, EndpointStatus
from ashpath.emulator.destination_model import SECOND, DestinationModel
from ashpath.emulator.scenario import Scenario, Span, Trouble, nature, played


class Topology:
    """The partners of a day, by destination number, kinds in the order of the file, the busiest first."""

    def __init__(self, day: Scenario, folder: Path, seed: int) -> None:
        self.partners: list[DestinationModel] = []
        self.kinds: dict[str, list[int]] = {}
        self.apart: list[bool] = []
        self.listings: list[EndpointRecord] = []
        shares: list[float] = []
        for index, (kind, row) in enumerate(day.partners.items()):
            self.kinds[kind] = []
            made, ranks = nature(row, folder), [(rank + 1) ** -row.busiest for rank in range(row.count)]
            for rank in range(row.count):
                number = len(self.partners)
                names = [f"{kind}-{rank}-{at}" for at in range(row.endpoints)]
                self.partners.append(DestinationModel(made, Random(f"{seed} partner {number}"), names))
                self.listings += [
                    EndpointRecord(name, number, index, 0, EndpointStatus.ACTIVE) for name in names
                ]
                self.kinds[kind].append(number)
                self.apart.append(row.apart)
                shares.append(row.share * ranks[rank] / sum(ranks))
        self.shares = list(accumulate(shares))

    def named(self, scripted: Trouble, senders: int, chance: Random) -> list[int]:
        """Whom a trouble is for, as drawn: so many senders, or destinations where that is 0."""
        found: list[int] = []
        mine = [name for name in scripted.to if name.startswith("sender/") is (senders > 0)]
        for name in mine:
            kind, _, rank = name.partition("/")
            rows = list(range(senders)) if senders else self.kinds[kind]
            found += [rows[int(rank)]] if rank else rows
        if not mine:
            found = list(range(senders or len(self.partners)))
        if scripted.share < 1:
            found = sorted(chance.sample(found, max(1, round(scripted.share * len(found)))))
        return found


class Arrivals:
    """Who hands in what and when: a Poisson process of clumps, by spans, with a chance of its own."""

    def __init__(self, day: Scenario, shares: list[float], seed: int) -> None:
        self.day, self.shares, self.chance = day, shares, Random(f"{seed} clients")
        self.factor = 1.0  # of the traffic
        self.spans: list[tuple[int, int, Span]] = []
        at = 0
        for span in day.spans:
            self.spans.append((at, at + played(span), span))
            at += played(span)
        names = list(day.tracks)
        self.track_of = [names.index(name) for name in day.clients.mix]
        self.mix = list(accumulate(day.clients.mix.values()))

    def span(self, now: int) -> int:
        return min(bisect(self.spans, now, key=lambda row: row[0]) - 1, len(self.spans) - 1)

    def rate(self, now: int) -> float:
        """Envelopes a second."""
        begins, ends, span = self.spans[self.span(now)]
        to = span.rate if span.to < 0 else span.to
        return (span.rate + (to - span.rate) * (now - begins) / (ends - begins)) * self.factor

    def gap(self, now: int) -> int | None:
        """Microseconds to the next clump; None: nothing comes just now."""
        rate = self.rate(now)
        if rate <= 0:
            return None
        return max(1, int(self.chance.expovariate(rate / self.day.clients.clump) * SECOND))

    def clump(self) -> list[tuple[int, int, int | None]]:
        """Track, destination and order key of each of its envelopes."""
        clients, chance = self.day.clients, self.chance
        destination = bisect(self.shares, chance.random() * self.shares[-1])
        return [
            (
                self.track_of[bisect(self.mix, chance.random() * self.mix[-1])],
                destination,
                chance.randrange(clients.keys) if clients.keys else None,
            )
            for _ in range(clients.clump)
        ]
