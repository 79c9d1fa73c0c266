"""The destinations of the demonstration, whose figures are set so that each shows its fault."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from ashpath.core.time_units import SECOND
from ashpath.emulator.destination.model import DestinationModel
from ashpath.emulator.destination.properties import DestinationProperties
from ashpath.emulator.destination.server import DestinationServer
from ashpath.emulator.run_clock import RunClock
from ashpath.server.limits.http import HttpLimits

SLOW_START_SHARE = 1 / 4  # share of the time of arrivals


@dataclass(frozen=True, slots=True)
class DestinationPlan:
    """The properties of a destination."""

    name: str
    traffic_share: float
    endpoints: int
    properties: DestinationProperties


@dataclass(eq=False)
class DemoDestination:
    """One destination, and the counts of its messages by final outcome."""

    number: int
    name: str
    traffic_share: float
    model: DestinationModel
    servers: list[DestinationServer]
    ends: Counter[str] = field(default_factory=Counter)


def plan_destinations(seconds: float) -> list[DestinationPlan]:
    """Plans a bank with a rate limit, a slow letting office, and a landlord app that recovers slowly."""
    limited = DestinationProperties(
        workers=16,
        shares_workers=True,
        service_times=(60_000,),
        rate_limit=14.0,
        retry_after=SECOND // 5,
        sends_load_reports=True,
    )
    slow = DestinationProperties(workers=5, service_times=(400_000,), service_time_sigma=0.5)
    cold = DestinationProperties(
        workers=4, service_times=(80_000,), slow_start_time=round(seconds * SECOND * SLOW_START_SHARE)
    )
    return [
        DestinationPlan("bank", 0.45, 2, limited),
        DestinationPlan("letting-office", 0.25, 1, slow),
        DestinationPlan("landlord-app", 0.3, 1, cold),
    ]


def start_destination(
    number: int, plan: DestinationPlan, random: Random, limits: HttpLimits, clock: RunClock
) -> DemoDestination:
    """Draws the seed of the destination, and starts a server for each of its endpoints."""
    endpoints = [f"{plan.name}-{at}" for at in range(plan.endpoints)]
    model = DestinationModel(plan.properties, Random(random.getrandbits(32)), endpoints)
    servers = [DestinationServer(model, endpoint, limits, clock) for endpoint in endpoints]
    return DemoDestination(number, plan.name, plan.traffic_share, model, servers)
