"""Executes the plan of one run with real processes on loopback, and returns the records of the run."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from time import monotonic

import gevent
from gevent import Greenlet, subprocess

from ashpath.core.json_types import JsonObject
from ashpath.emulator.fault_injection.call_faults import FaultyCall
from ashpath.emulator.fault_injection.discovery_agent import DiscoveryAgent
from ashpath.emulator.fault_injection.tcp_proxy import ProxyMode
from ashpath.emulator.soak.clients import SoakClients
from ashpath.emulator.soak.endpoints import SoakEndpoint
from ashpath.emulator.soak.paths import ClientPath, NoticePath, create_injector
from ashpath.emulator.soak.plan import (
    DESTINATIONS,
    SENDERS,
    ClientFaultEvent,
    CrowdEvent,
    DrainEvent,
    MessageFaults,
    NoticeFaultEvent,
    OutageEvent,
    ProxyEvent,
    RestartEvent,
    SoakPlan,
    StopMethod,
    UpgradeEvent,
)
from ashpath.emulator.soak.records import (
    Departure,
    DiskFault,
    Incarnation,
    LatePath,
    NetworkFault,
    Outage,
    SoakRecords,
)
from ashpath.emulator.soak.sender import SenderOptions, SoakSender
from ashpath.emulator.soak.settings import soak_settings
from ashpath.emulator.stand_ins import STAND_IN_LIMITS, free_port

NETWORK_CALLS = (FaultyCall.SOCKET, FaultyCall.CONNECT, FaultyCall.RECEIVE)
DISK_CALLS = (FaultyCall.WRITE, FaultyCall.TRUNCATE, FaultyCall.RENAME, FaultyCall.OPEN)
AGENTS_PER_SENDER = 2  # SIGHUP switches the sender between its agents
RELOAD_INTERVAL_S = 0.3
SILENT_WATCH_TIMEOUT_S = 6.0  # by then a sender has an endpoint list that its open watch did not deliver
RELOAD_TIMEOUT_S = 4.0  # by then a sender has the list of the agent that SIGHUP switched it to
FINAL_WAIT_S = 9.0  # after the last request: covers the longest deadline and a restart
PAUSE_PROBE_S = 0.01
DISK_PROBE_S = 0.01
MEMORY_PROBE_S = 0.02
SOCKETS_PROBE_S = 0.05
BYTES_PER_MB = 1_000_000
UNKNOWN_CLASS = "crowd"  # no sender has it: the records know the messages of the run's own clients alone
FILLING_BODY_BYTES = 4000  # with it, logs of busy runs come near the disk limit, and are rewritten
START_TIMEOUT_S = 15.0  # until all senders are ready


class SoakRun:
    """One run. `folder` receives the logs and the state directories of the senders.

    `fills_disk`: bodies are large, and the state directories are measured all the time. A process with
    several runs leaves it out, as its stand-ins would be late."""

    def __init__(self, plan: SoakPlan, folder: Path, *, fills_disk: bool = False) -> None:
        self.plan = plan
        self.fills_disk = fills_disk
        self.records = SoakRecords()
        limits = STAND_IN_LIMITS
        random = Random(f"day {plan.seed}")
        self.endpoints = [
            SoakEndpoint(
                f"e{number}",
                number % DESTINATIONS,
                SENDERS,
                self.records,
                random,
                limits,
                plan.endpoint_behaviour,
            )
            for number in range(2 * DESTINATIONS)
        ]
        self.draining: set[str] = set()
        self.senders = []
        self.clients = []
        self.client_paths = []
        self.notice_paths = []
        for number in range(SENDERS):
            agents = [DiscoveryAgent(self.members(number), limits) for _ in range(AGENTS_PER_SENDER)]
            for agent in agents:
                agent.retry_after_s = 2.0
            notice_path = NoticePath(number, [agent.address for agent in agents], self.records)
            self.notice_paths.append(notice_path)
            sender = SoakSender(
                number,
                free_port(),
                folder / f"n{number}",
                soak_settings(),
                agents,
                notice_path.addresses,
                self._sender_options(number),
                self.records,
                limits,
            )
            self.senders.append(sender)
            path = ClientPath(number, sender.address, self.records)
            self.client_paths.append(path)
            self.clients.append(
                SoakClients(
                    number,
                    path.address,
                    plan.rate,
                    DESTINATIONS,
                    self.records,
                    random,
                    limits,
                    FILLING_BODY_BYTES if fills_disk else 0,
                )
            )
        self._greenlets: list[Greenlet[..., None]] = []
        self._crowds: list[subprocess.Popen[bytes]] = []
        self._inject_message_faults(plan.message_faults)

    def _inject_message_faults(self, faults: MessageFaults) -> None:
        for endpoint in self.endpoints:
            for number, proxy in enumerate(endpoint.proxies):
                seed = f"{self.plan.seed} {endpoint.endpoint_id} {number}"
                proxy.response_faults = create_injector(
                    faults.endpoint_responses, seed, faults.retry_after_responses
                )
        for sender, path, client_path in zip(self.senders, self.notice_paths, self.client_paths, strict=True):
            seed = f"{self.plan.seed} {sender.number}"
            client_path.proxy.request_faults = create_injector(faults.client_requests, seed)
            for proxy in path.proxies:
                proxy.response_faults = create_injector(faults.notice_responses, seed)
                proxy.spared_response_faults = create_injector(faults.poll_responses, seed)
            for agent in sender.agents:
                agent.reject_notices_every = faults.reject_notices_every

    def injected_message_faults(self) -> int:
        """Returns how many messages have been affected by the plan's message faults so far."""
        proxies = [proxy for endpoint in self.endpoints for proxy in endpoint.proxies]
        proxies += [path.proxy for path in self.client_paths]
        proxies += [proxy for path in self.notice_paths for proxy in path.proxies]
        injectors = (
            injector
            for proxy in proxies
            for injector in (proxy.response_faults, proxy.spared_response_faults, proxy.request_faults)
        )
        return sum(injector.injected for injector in injectors if injector is not None)

    def _sender_options(self, sender: int) -> SenderOptions:
        limits = {limit.sender: limit.descriptors for limit in self.plan.descriptor_limits}
        upgrades = sum(event.sender == sender for event in self.plan.upgrades)
        return SenderOptions(self.plan.process_faults[sender], limits.get(sender), upgrades)

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
        self._greenlets.append(gevent.spawn(self._measure_pauses))
        if self.fills_disk:
            self._greenlets.append(gevent.spawn(self._measure_disk))
        self._greenlets.append(gevent.spawn(self._measure_memory))
        self._greenlets.append(gevent.spawn(self._measure_sockets))
        self.clients[0].connect_idle(plan.idle_clients)
        for limit in plan.descriptor_limits:
            self._greenlets.append(gevent.spawn(self.clients[limit.sender].crowd, limit.idle_clients))
        events: list[tuple[float, Callable[[], None]]] = []
        events += [(event.at, partial(self._restart, event)) for event in plan.restarts]
        events += [(event.at, partial(self._drain, event)) for event in plan.drains]
        events += [(event.at, partial(self._fail_connections, event)) for event in plan.proxies]
        events += [(event.at, partial(self._cause_outage, event)) for event in plan.outages]
        events += [(event.at, partial(self._fail_client_path, event)) for event in plan.client_faults]
        events += [(event.at, partial(self._fail_notices, event)) for event in plan.notice_faults]
        events += [(event.at, partial(self._upgrade, event)) for event in plan.upgrades]
        events += [(event.at, partial(self._crowd, event)) for event in plan.crowds]
        for at, action in events:
            self._greenlets.append(gevent.spawn_later(began + at - monotonic(), action))

    def _measure_pauses(self) -> None:
        """Records how late this process wakes up. Never returns."""
        while True:
            due = monotonic() + PAUSE_PROBE_S
            gevent.sleep(PAUSE_PROBE_S)
            self.records.longest_pause_s = max(self.records.longest_pause_s, monotonic() - due)

    def _measure_memory(self) -> None:
        """Records the largest resident size of each sender. Never returns."""
        most = self.records.most_resident_bytes
        while True:
            for sender in self.senders:
                self.records.memory_bytes[sender.number] = sender.memory_mb * BYTES_PER_MB
                most[sender.number] = max(most.get(sender.number, 0), sender.resident_bytes())
            gevent.sleep(MEMORY_PROBE_S)

    def _measure_sockets(self) -> None:
        """Records the most sockets of each sender. Never returns."""
        most = self.records.most_sockets
        while True:
            for sender in self.senders:
                self.records.max_sockets[sender.number] = sender.max_sockets
                most[sender.number] = max(most.get(sender.number, 0), sender.sockets())
            gevent.sleep(SOCKETS_PROBE_S)

    def _crowd(self, event: CrowdEvent) -> None:
        """Plays a crowd in a process of its own, past the proxy of the clients."""
        port = str(self.senders[event.sender].address[1])
        arguments = [port, event.shape.value, str(event.clients), str(event.duration_s), UNKNOWN_CLASS]
        with Path(os.devnull).open("wb") as output:
            command = [sys.executable, "-m", "ashpath.emulator.crowd.process", *arguments]
            self._crowds.append(subprocess.Popen(command, stdout=output))

    def _measure_disk(self) -> None:
        """Records the most bytes of each state directory. Never returns."""
        most = self.records.most_disk_bytes
        while True:
            for sender in self.senders:
                most[sender.number] = max(most.get(sender.number, 0), sender.disk_bytes())
            gevent.sleep(DISK_PROBE_S)

    def _restart(self, event: RestartEvent) -> None:
        sender = self.senders[event.sender]
        if event.how is StopMethod.TERMINATE:
            sender.terminate()
        else:
            sender.kill()
        sender.start()

    def _upgrade(self, event: UpgradeEvent) -> None:
        self.senders[event.sender].upgrade(event.how)

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
                sender.reload((move + 1) % AGENTS_PER_SENDER)
        if event.moves:
            received_by = max(received_by, monotonic() + RELOAD_TIMEOUT_S)
        for sender in self.senders:
            self.records.departures.append(Departure(sender.number, endpoint.endpoint_id, received_by))

    def _fail_connections(self, event: ProxyEvent) -> None:
        endpoints = [endpoint for endpoint in self.endpoints if endpoint.destination == event.destination]
        proxies = [proxy for endpoint in endpoints for proxy in endpoint.proxies]
        for proxy in proxies:
            proxy.mode = event.mode
            proxy.reset_connections()
        began_at = monotonic()
        gevent.sleep(event.until - event.at)
        for proxy in proxies:
            proxy.mode = ProxyMode.FORWARD
            proxy.reset_connections()
        if event.mode is ProxyMode.LATE:
            late_s = max(proxy.late_s for proxy in proxies)
            self.records.late_paths.append(LatePath(event.destination, began_at, monotonic(), late_s))

    def _fail_client_path(self, event: ClientFaultEvent) -> None:
        self.client_paths[event.sender].fail(event.mode, event.until - event.at)

    def _fail_notices(self, event: NoticeFaultEvent) -> None:
        self.notice_paths[event.sender].fail(event.mode, event.until - event.at)

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
            self._record_process_faults(incarnation)
        for sender in self.senders:
            for agent in sender.agents:
                for notice, at in agent.notices:
                    records.record_notice(sender.number, str(notice["id"]), at)
        return records

    def _record_process_faults(self, incarnation: Incarnation) -> None:
        sender = incarnation.sender
        for fault in self.plan.process_faults[sender].calls:
            began_at = incarnation.started_at + fault.begin_s
            ended_at = incarnation.started_at + fault.end_s
            if fault.call in NETWORK_CALLS:
                loses_data = fault.call is FaultyCall.RECEIVE
                self.records.network_faults.append(NetworkFault(sender, began_at, ended_at, loses_data))
            elif fault.call in DISK_CALLS and began_at < incarnation.exited_at:
                ended_at = min(ended_at, incarnation.exited_at)
                self.records.disk_faults.append(DiskFault(sender, began_at, ended_at))

    def stop(self) -> None:
        """Kills the senders and their agents, clients, crowds and endpoints."""
        for crowd in self._crowds:
            crowd.kill()
            crowd.wait()
        for greenlet in self._greenlets:
            greenlet.kill(block=False)
        for sender in self.senders:
            sender.close()
            for agent in sender.agents:
                agent.stop()
        for client_path, notice_path in zip(self.client_paths, self.notice_paths, strict=True):
            client_path.stop()
            notice_path.stop()
        for endpoint in self.endpoints:
            endpoint.stop()
