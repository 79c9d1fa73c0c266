"""One run of the demonstration, from the start of the sender to the summary of all messages."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random
from time import monotonic
from typing import Protocol

import gevent

from ashpath.core.json_types import JsonObject
from ashpath.core.time_units import SECOND
from ashpath.emulator.demo.clients import DemoClients
from ashpath.emulator.demo.destinations import DemoDestination, plan_destinations, start_destination
from ashpath.emulator.demo.sender_file import sender_file
from ashpath.emulator.destination.faults import Fault
from ashpath.emulator.final_outcomes import FinalOutcome
from ashpath.emulator.run_clock import RunClock
from ashpath.emulator.sender_process import SenderProcess
from ashpath.emulator.stand_ins import LOOPBACK, STAND_IN_LIMITS, free_port

RATE = 40.0  # messages a second
FINAL_WAIT_S = 14.0  # after the last message, for final outcomes; longer than the longest deadline
START_TIMEOUT_S = 15.0
OUTAGE_BEGINS = 3 / 10  # share of the time of arrivals
OUTAGE_ENDS = 11 / 20  # share of the time of arrivals
TABLE_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class Summary:
    """The summary of a run: each message has one final outcome, or is unaccounted for."""

    submitted: int
    ends: Counter[str]
    """Counts of final outcomes, by the state names of the status API."""
    attempts: int
    duplicates: int
    unaccounted: list[str]

    @property
    def is_consistent(self) -> bool:
        """Whether each message has one final outcome, and none was duplicated."""
        return not self.unaccounted and not self.duplicates and self.submitted == sum(self.ends.values())


class TableDisplay(Protocol):
    """A function that displays the table of destinations."""

    def __call__(self, elapsed_s: float, rows: list[JsonObject], /) -> None:
        """Displays the state after `elapsed_s`; `rows` has a row for each destination."""


class Demo:
    """One run. Destination servers and the notice receiver listen from construction until `stop`."""

    def __init__(
        self, folder: Path, seconds: float, seed: int, rate: float = RATE, *, kill: bool = False
    ) -> None:
        self.seconds = seconds
        self.restarts = 0
        self._kill = kill
        self._clock = RunClock()
        random = Random(seed)
        self.destinations: list[DemoDestination] = [
            start_destination(number, plan, random, STAND_IN_LIMITS, self._clock)
            for number, plan in enumerate(plan_destinations(seconds), 1)
        ]
        address = (LOOPBACK, free_port())
        self.clients = DemoClients(address, self.destinations, STAND_IN_LIMITS, random, rate)
        self.file = folder / "sender.toml"
        listen = f"{address[0]}:{address[1]}"
        text = sender_file(listen, self.clients.notice_address, seed, seconds, self.destinations)
        self.file.write_text(text)
        self._sender = SenderProcess(self.file, folder / "log", address, STAND_IN_LIMITS)

    def run(self, display: TableDisplay, interval_s: float = TABLE_INTERVAL_S) -> Summary:
        """Runs the demonstration, and returns its summary. Raises SenderStartError."""
        self._start_sender()
        self._schedule_outage()
        submitting = gevent.spawn(self.clients.submit_for, self.seconds)
        began = monotonic()
        killed = False
        until = began + self.seconds + FINAL_WAIT_S
        while (not submitting.dead or self.clients.open) and monotonic() < until:
            gevent.sleep(interval_s)
            if self._kill and not killed and monotonic() - began > self.seconds / 2:
                killed = True
                self._restart_sender()
            self.clients.poll_open_messages()
            display(monotonic() - began, self.table())
        return self._summary()

    def stop(self) -> None:
        """Stops the sender, the clients and the destination servers."""
        self._sender.stop()
        self.clients.stop()
        for destination in self.destinations:
            for server in destination.servers:
                server.stop()

    def _start_sender(self) -> None:
        self._sender.start()
        self._sender.wait_until_ready(START_TIMEOUT_S)

    def _restart_sender(self) -> None:
        """Kills the sender without a graceful shutdown, and starts it again on its write-ahead log."""
        self._sender.kill()
        self.restarts += 1
        self._start_sender()

    def _schedule_outage(self) -> None:
        """Makes the last destination silent for a quarter of the time of arrivals, before a slow start."""
        model = self.destinations[-1].model
        recovers_at = self._clock.now() + round(self.seconds * SECOND * OUTAGE_ENDS)
        gevent.spawn_later(self.seconds * OUTAGE_BEGINS, model.add_fault, Fault.SILENT, 1.0)
        gevent.spawn_later(self.seconds * OUTAGE_ENDS, model.remove_fault, Fault.SILENT, 1.0, recovers_at)

    def table(self) -> list[JsonObject]:
        """Returns the current row of each destination; the keys are the table's headings."""
        states = self.clients.destination_states()
        return [
            self._row(destination, states.get(destination.number, {})) for destination in self.destinations
        ]

    def _row(self, destination: DemoDestination, state: JsonObject) -> JsonObject:
        model = destination.model
        now = self._clock.now()
        return {
            "destination": destination.name,
            "speed": "silent" if model.is_unresponsive(now) else f"{model.speed(now):.0%}",
            "held": state.get("held"),
            "out": state.get("out"),
            "limit": state.get("limit"),
            "breaker": state.get("breaker"),
            "completed": destination.ends[FinalOutcome.DELIVERED.value],
            "bounced": destination.ends[FinalOutcome.REJECTED.value],
            "aborted": destination.ends[FinalOutcome.FAILED.value],
            "shots": sum(tally.calls for tally in model.tallies.values()),
        }

    def _summary(self) -> Summary:
        ends = sum((destination.ends for destination in self.destinations), Counter[str]())
        attempts = 0
        duplicates = 0
        for destination in self.destinations:
            for message_id, tally in destination.model.tallies.items():
                attempts += tally.calls
                duplicates += tally.overlapped
                duplicates += tally.effects > 1 and message_id in self.clients.deduplicated
        return Summary(self.clients.submitted, ends, attempts, duplicates, list(self.clients.open))
