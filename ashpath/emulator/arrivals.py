"""Arrivals of client requests: a Poisson process of batches, with a rate for each span of the scenario."""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from random import Random
from typing import NamedTuple

from ashpath.core.time_units import SECOND
from ashpath.emulator.scenario.schema import Scenario, Span
from ashpath.emulator.scenario.settings import simulated_length, simulated_span_length


class Arrival(NamedTuple):
    """The properties of one arriving request."""

    traffic_class: int
    destination: int
    ordering_key: int | None


class TimedSpan(NamedTuple):
    """A span of the scenario, with its start and end in microseconds of the run."""

    begins: int
    ends: int
    span: Span


class Arrivals:
    """Draws arrivals from a random number generator of its own."""

    def __init__(self, scenario: Scenario, cumulative_shares: list[float], seed: int) -> None:
        self.end = simulated_length(scenario)
        """Microseconds of the run; no request arrives from this time on."""
        self.rate_factor = 1.0
        """Multiplier of the arrival rate, changed by faults."""
        self._cumulative_shares = cumulative_shares
        self._random = Random(f"{seed} clients")
        self._batch_size = scenario.clients.batch_size
        self._ordering_keys = scenario.clients.ordering_keys
        self._spans: list[TimedSpan] = []
        begins = 0
        for span in scenario.spans:
            ends = begins + simulated_span_length(span)
            self._spans.append(TimedSpan(begins, ends, span))
            begins = ends
        names = list(scenario.traffic_classes)
        self._traffic_classes = [names.index(name) for name in scenario.clients.traffic_class_shares]
        self._cumulative_class_shares = list(accumulate(scenario.clients.traffic_class_shares.values()))

    def span(self, now: int) -> int:
        """Returns the index of the span at time `now`."""
        return min(bisect(self._spans, now, key=lambda row: row.begins) - 1, len(self._spans) - 1)

    def rate(self, now: int) -> float:
        """Returns the arrival rate at time `now`, in requests per second."""
        begins, ends, span = self._spans[self.span(now)]
        end_rate = span.rate if span.end_rate < 0 else span.end_rate
        return (span.rate + (end_rate - span.rate) * (now - begins) / (ends - begins)) * self.rate_factor

    def gap(self, now: int) -> int | None:
        """Draws the microseconds to the next batch; returns None while the arrival rate is zero."""
        rate = self.rate(now)
        if rate <= 0:
            return None
        return max(1, int(self._random.expovariate(rate / self._batch_size) * SECOND))

    def batch(self) -> list[Arrival]:
        """Draws the requests of one batch, which arrive together for one destination."""
        random = self._random
        destination = bisect(self._cumulative_shares, random.random() * self._cumulative_shares[-1])
        return [
            Arrival(
                self._traffic_classes[
                    bisect(self._cumulative_class_shares, random.random() * self._cumulative_class_shares[-1])
                ],
                destination,
                random.randrange(self._ordering_keys) if self._ordering_keys else None,
            )
            for _ in range(self._batch_size)
        ]
