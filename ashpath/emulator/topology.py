"""The destinations and endpoints of a scenario, in simulated time or on loopback."""

from __future__ import annotations

from itertools import accumulate
from pathlib import Path
from random import Random

from ashpath.core.interface import EndpointRecord, EndpointStatus
from ashpath.emulator.destination.model import DestinationModel
from ashpath.emulator.scenario.schema import Scenario, ScriptedFault
from ashpath.emulator.scenario.settings import destination_properties

SENDER_PREFIX = "sender/"


class Topology:
    """Destinations by number: kinds in the order of the file, and the busiest of each kind first."""

    def __init__(self, scenario: Scenario, folder: Path, seed: int) -> None:
        self.destinations: list[DestinationModel] = []
        self.kinds: dict[str, list[int]] = {}
        self.endpoints: list[EndpointRecord] = []
        self._separate_routes: list[bool] = []  # by destination
        shares: list[float] = []
        for kind_index, (kind, group) in enumerate(scenario.destinations.items()):
            self.kinds[kind] = []
            properties = destination_properties(group, folder)
            ranks = [(rank + 1) ** -group.rank_exponent for rank in range(group.count)]
            for rank in range(group.count):
                number = len(self.destinations)
                names = [f"{kind}-{rank}-{at}" for at in range(group.endpoints)]
                random = Random(f"{seed} partner {number}")
                self.destinations.append(DestinationModel(properties, random, names))
                self.endpoints += [
                    EndpointRecord(name, number, kind_index, 0, EndpointStatus.ACTIVE) for name in names
                ]
                self.kinds[kind].append(number)
                self._separate_routes.append(group.limit_per_endpoint)
                shares.append(group.traffic_share * ranks[rank] / sum(ranks))
        self.cumulative_shares = list(accumulate(shares))
        """Cumulative shares of the traffic, by destination."""

    def route(self, endpoint: str, destination: int) -> str:
        """Returns the scope of a Retry-After: the destination, or the endpoint if it is a separate route."""
        return endpoint if self._separate_routes[destination] else str(destination)

    def destination_of(self, endpoint: str) -> int:
        """Returns the number of the destination of an endpoint, including replaced endpoints."""
        kind, rank, _ = endpoint.rsplit("-", 2)
        return self.kinds[kind][int(rank)]

    def destinations_of(self, fault: ScriptedFault, random: Random) -> list[int]:
        """Returns the numbers of a fault's destinations, as its targets and its share select them."""
        found: list[int] = []
        names = [name for name in fault.targets if not name.startswith(SENDER_PREFIX)]
        for name in names:
            kind, _, rank = name.partition("/")
            numbers = self.kinds[kind]
            found += [numbers[int(rank)]] if rank else numbers
        return _drawn(fault, found if names else list(range(len(self.destinations))), random)

    @staticmethod
    def senders_of(fault: ScriptedFault, senders: int, random: Random) -> list[int]:
        """Returns the numbers of a fault's senders, as its targets and its share select them."""
        named = [int(name[len(SENDER_PREFIX) :]) for name in fault.targets if name.startswith(SENDER_PREFIX)]
        return _drawn(fault, named or list(range(senders)), random)


def successor_name(endpoint: str) -> str:
    """Returns the name of the endpoint that replaces another."""
    return f"{endpoint}+"


def _drawn(fault: ScriptedFault, numbers: list[int], random: Random) -> list[int]:
    if fault.target_share < 1:
        return sorted(random.sample(numbers, max(1, round(fault.target_share * len(numbers)))))
    return numbers
