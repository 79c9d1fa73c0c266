"""Executes the plan of one run with real processes on loopback, and returns the records of the run."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random
from time import monotonic

import gevent
from gevent import Greenlet

from ashpath.core.json_types import JsonObject
from ashpath.emulator.fault_injection.call_faults import FaultyCall
from ashpath.emulator.fault_injection.discovery_agent import DiscoveryAgent
from ashpath.emulator.fault_injection.tcp_proxy import ProxyMode
from ashpath.emulator.soak.clients import SoakClients
from ashpath.emulator.soak.endpoints import SoakEndpoint
from ashpath.emulator.soak.judge import RuleCheckerSettings
from ashpath.emulator.soak.plan import (
    DESTINATIONS,
    SENDERS,
    DrainEvent,
    OutageEvent,
    ProxyEvent,
    RestartEvent,
    SoakPlan,
    StopMethod,
)
from ashpath.emulator.soak.records import Departure, Effect, NetworkFault, Outage, SoakRecords
from ashpath.emulator.soak.sender import SoakSender
from ashpath.emulator.stand_ins import STAND_IN_LIMITS, free_port

NETWORK_CALLS = (FaultyCall.SOCKET, FaultyCall.CONNECT, FaultyCall.RECEIVE)
AGENTS_PER_SENDER = 2  # SIGHUP switches the sender between its agents
RELOAD_INTERVAL_S = 0.3
SILENT_WATCH_TIMEOUT_S = 6.0  # by then a sender has an endpoint list that its open watch did not deliver
RELOAD_TIMEOUT_S = 4.0  # by then a sender has the list of the agent that SIGHUP switched it to
DEDUPLICATION_WINDOW_MS = 5000.0
DRAIN_GRACE_MS = 250.0
COLD_SHARE = 0.3
OVERLOAD_MULTIPLE = 3.0
OVERLOAD_MS = 1000.0
FINAL_WAIT_S = 9.0  # after the last request: covers the longest deadline and a restart
START_TIMEOUT_S = 15.0  # until all senders are ready


def soak_settings() -> JsonObject:
    """Returns the settings of the run in the form that the platform writes."""
    classes = [
        {
            "name": effect.value,
            "deadline": 8000.0,
            "slo": 1000.0,
            "repeat": repeat,
            "window": DEDUPLICATION_WINDOW_MS,
            "importance": 1.0,
            "one-at-a-time": effect is Effect.DEDUPLICATED,
        }
        for effect, repeat in zip(Effect, ("retryable", "dedup", "fragile"), strict=True)
    ]
    return {
        "classes": classes,
        "kinds": ["plain"],
        "zones": ["here"],
        "group-size": SENDERS,
        "limits": {
            "max-open": 200,
            "max-attempts": 6,
            "retry-after": True,
            "max-retry-after": 3000.0,
            "conn-idle": 2000.0,
            "connect-timeout": 500.0,
            "cancelling": True,
        },
        "specifics": {"slots": 48},
        "contract": {
            "drain-grace": DRAIN_GRACE_MS,
            "order-settle": 200.0,
            "cold-from": COLD_SHARE,
            "fall": OVERLOAD_MS,
            "fall-multiple": OVERLOAD_MULTIPLE,
            "ramp-time": 3000.0,
        },
    }


def rule_checker_settings(plan: SoakPlan) -> RuleCheckerSettings:
    """Returns the rule checker's settings, which follow from the settings of the run."""
    capacity = plan.rate * SENDERS / DESTINATIONS
    return RuleCheckerSettings(
        grace_s=DRAIN_GRACE_MS / 1000,
        window_s=DEDUPLICATION_WINDOW_MS / 1000,
        overload_s=OVERLOAD_MS / 1000,
        cold_rate=COLD_SHARE * capacity,
        overload_multiple=OVERLOAD_MULTIPLE,
    )


class SoakRun:
    """One run. `folder` receives the logs and the state directories of the senders."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self.plan = plan
        self.records = SoakRecords()
        limits = STAND_IN_LIMITS
        random = Random(f"day {plan.seed}")
        self.endpoints = [
            SoakEndpoint(f"e{number}", number % DESTINATIONS, SENDERS, self.records, random, limits)
            for number in range(2 * DESTINATIONS)
        ]
        self.draining: set[str] = set()
        self.senders = []
        self.clients = []
        for number in range(SENDERS):
            agents = [DiscoveryAgent(self.members(number), limits) for _ in range(AGENTS_PER_SENDER)]
            for agent in agents:
                agent.retry_after_s = 2.0
            faults = plan.process_faults[number]
            sender = SoakSender(
                number,
                free_port(),
                folder / f"n{number}",
                soak_settings(),
                agents,
                faults,
                self.records,
                limits,
            )
            self.senders.append(sender)
            self.clients.append(
                SoakClients(number, sender.address, plan.rate, DESTINATIONS, self.records, random, limits)
            )
        self._greenlets: list[Greenlet[..., None]] = []

    def members(self, sender: int) -> list[JsonObject]:
        """Returns the current endpoint list, with the addresses that the sender uses."""
        return [
            endpoint.member(sender, "draining" if endpoint.endpoint_id in self.draining else "up")
            for endpoint in self.endpoints
        ]

    def play(self) -> SoakRecords:
        """Executes the run until every accepted message has passed its deadline, and returns the records."""
        try:
            for sender in self.senders:
                sender.start()
            self._await_start()
            began = monotonic()
            self._schedule(began)
            gevent.sleep(self.plan.duration_s)
            for greenlet in self._greenlets[: len(self.clients)]:
                greenlet.kill()
            gevent.sleep(FINAL_WAIT_S)
            return self._collect()
        finally:
            self.stop()

    def _await_start(self) -> None:
        until = monotonic() + START_TIMEOUT_S
        while monotonic() < until and not all(
            incarnation.ready_at for incarnation in self.records.incarnations
        ):
            gevent.sleep(0.02)

    def _schedule(self, began: float) -> None:
        plan = self.plan
        self._greenlets = [gevent.spawn(clients.run) for clients in self.clients]
        self.clients[0].connect_idle(plan.idle_clients)
        events: list[tuple[float, Callable[[], None]]] = []
        events += [(event.at, lambda event=event: self._restart(event)) for event in plan.restarts]  # type: ignore[misc]  # bound in the loop
        events += [(event.at, lambda event=event: self._drain(event)) for event in plan.drains]  # type: ignore[misc]  # bound in the loop
        events += [(event.at, lambda event=event: self._fail_connections(event)) for event in plan.proxies]  # type: ignore[misc]  # bound in the loop
        events += [(event.at, lambda event=event: self._cause_outage(event)) for event in plan.outages]  # type: ignore[misc]  # bound in the loop
        for at, action in events:
            self._greenlets.append(gevent.spawn_later(began + at - monotonic(), action))

    def _restart(self, event: RestartEvent) -> None:
        sender = self.senders[event.sender]
        if event.how is StopMethod.TERMINATE:
            sender.terminate()
        else:
            sender.kill()
        sender.start()

    def _drain(self, event: DrainEvent) -> None:
        """All agents report an endpoint as draining, and stop answering the watches that are open."""
        endpoint = next(endpoint for endpoint in self.endpoints if endpoint.destination == event.destination)
        self.draining.add(endpoint.endpoint_id)
        for sender in self.senders:
            for agent in sender.agents:
                agent.silence_watches()
                agent.script.extend(event.replies)
                agent.change(self.members(sender.number), revision=5)
        received_by = monotonic() + SILENT_WATCH_TIMEOUT_S
        for move in range(event.moves):
            gevent.sleep(RELOAD_INTERVAL_S)
            for sender in self.senders:
                sender.reload(sender.agents[(move + 1) % AGENTS_PER_SENDER])
        if event.moves:
            received_by = max(received_by, monotonic() + RELOAD_TIMEOUT_S)
        for sender in self.senders:
            self.records.departures.append(Departure(sender.number, endpoint.endpoint_id, received_by))

    def _fail_connections(self, event: ProxyEvent) -> None:
        endpoints = [endpoint for endpoint in self.endpoints if endpoint.destination == event.destination]
        proxies = [proxy for endpoint in endpoints for proxy in endpoint.proxies]
        for endpoint in endpoints:
            endpoint.sends_retry_after = False
        for proxy in proxies:
            proxy.mode = event.mode
            proxy.reset_connections()
        gevent.sleep(event.until - event.at)
        for proxy in proxies:
            proxy.mode = ProxyMode.FORWARD
            proxy.reset_connections()
        for endpoint in endpoints:
            endpoint.sends_retry_after = True

    def _cause_outage(self, event: OutageEvent) -> None:
        endpoints = [endpoint for endpoint in self.endpoints if endpoint.destination == event.destination]
        began_at = monotonic()
        for endpoint in endpoints:
            endpoint.down = True
        gevent.sleep(event.until - event.at)
        for endpoint in endpoints:
            endpoint.down = False
        self.records.outages.append(Outage(event.destination, began_at, monotonic()))

    def _collect(self) -> SoakRecords:
        records = self.records
        records.ended_at = monotonic()
        for incarnation in records.incarnations:
            for fault in self.plan.process_faults[incarnation.sender].calls:
                if fault.call in NETWORK_CALLS:
                    began_at = incarnation.started_at + fault.begin_s
                    ended_at = incarnation.started_at + fault.end_s
                    records.network_faults.append(NetworkFault(incarnation.sender, began_at, ended_at))
        for sender in self.senders:
            for agent in sender.agents:
                for notice, at in agent.notices:
                    records.notices.setdefault(str(notice["id"]), at)
        return records

    def stop(self) -> None:
        """Kills the senders and their agents, clients and endpoints."""
        for greenlet in self._greenlets:
            greenlet.kill(block=False)
        for sender in self.senders:
            sender.kill()
            for agent in sender.agents:
                agent.stop()
        for endpoint in self.endpoints:
            endpoint.stop()
