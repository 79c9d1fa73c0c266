"""Simulated service discovery: each sender receives changes of endpoints after its own delay."""

from __future__ import annotations

from ashpath.core.interface import EndpointRecord, EndpointStatus
from ashpath.emulator.simulation.calls import EndpointAddress
from ashpath.emulator.simulation.event_queue import EventQueue
from ashpath.emulator.simulation.fleet import Fleet
from ashpath.emulator.simulation.network import Network
from ashpath.emulator.topology import successor_name


class SimulatedDiscovery:
    """Replaces endpoints, and reports the changes to each sender after a delay."""

    def __init__(self, events: EventQueue, network: Network, fleet: Fleet, delays: list[int]) -> None:
        self._events = events
        self._network = network
        self._fleet = fleet
        self._delays = delays  # microseconds, by sender
        self.added_delay = 0  # microseconds that faults add to each delay

    def replace(self, destination: int, max_endpoints: int) -> None:
        """Replaces at most `max_endpoints` endpoints, or all if 0, with new ones at the same addresses."""
        model = self._network.destination(destination)
        changes: list[EndpointRecord] = []
        for name in list(model.endpoints)[: max_endpoints or None]:
            old = self._network.endpoints[name]
            new_name = successor_name(name)
            model.remove_endpoint(name)
            model.add_endpoint(new_name)
            kind = old.record.kind
            zone = old.record.zone
            added = EndpointRecord(new_name, destination, kind, zone, EndpointStatus.ACTIVE)
            removed = EndpointRecord(name, destination, kind, zone, EndpointStatus.REMOVED)
            old.successor = new_name
            self._network.endpoints[new_name] = EndpointAddress(model, added)
            changes += [removed, added]
            for sender in self._fleet.senders:
                sender.idle_connections.discard(name)
        for sender, delay in zip(self._fleet.senders, self._delays, strict=True):
            at = self._events.now + delay + self.added_delay
            self._events.schedule(at, sender.endpoints_changed, changes)
