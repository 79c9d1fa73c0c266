"""Checks a run for requests that took effect more than once at a destination."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ashpath.core.interface import TrafficClassSettings
from ashpath.emulator.destination.model import DestinationModel
from ashpath.emulator.invariant_checker import InvariantChecker


def check_effects(
    checker: InvariantChecker,
    now: int,
    destinations: Iterable[DestinationModel],
    traffic_classes: Sequence[TrafficClassSettings],
) -> None:
    """Reports each request that ran more than once to the checker, with the retry safety of its class.

    The id of a request begins with the number of its traffic class.
    """
    for destination in destinations:
        for request, tally in destination.tallies.items():
            if tally.effects > 1:
                traffic_class = traffic_classes[int(request.split("-")[0])]
                checker.effects_counted(now, request, tally.effects, traffic_class.retry_safety)
