"""Scripted kills of a run on loopback; the sender processes are replaced by a recorder."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random

from support.sender_harness import wait_until

from ashpath.config.units import Duration
from ashpath.emulator.loopback.faults import LoopbackFaults
from ashpath.emulator.loopback.observations import ObservationLog
from ashpath.emulator.loopback.senders import LoopbackSenders
from ashpath.emulator.run_clock import RunClock
from ashpath.emulator.runs import scenario_path
from ashpath.emulator.scenario.loading import read_scenario
from ashpath.emulator.scenario.schema import ScriptedFault
from ashpath.emulator.scoreboard import Scoreboard
from ashpath.emulator.topology import Topology


class RecordedSenders(LoopbackSenders):
    """Senders without processes, which record what the script does to them."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def start(self, number: int) -> None:
        self.calls.append(f"start {number}")

    def kill(self, number: int) -> None:
        self.calls.append(f"kill {number}")


def apply_faults(faults: list[ScriptedFault], done: Callable[[list[str]], bool]) -> list[str]:
    """Applies a script until the condition holds, and returns the calls that the senders received."""
    scenario = read_scenario(scenario_path("kills"))
    scenario.faults = faults
    topology, senders = Topology(scenario, Path(), 1), RecordedSenders()
    scoreboard = Scoreboard(list(scenario.traffic_classes))
    log = ObservationLog()
    script = LoopbackFaults(
        scenario,
        topology,
        Random(1),
        RunClock(),
        servers={},
        addresses={},
        agents=[],
        agent_delays=[],
        senders=senders,
        log=log,
        scoreboard=scoreboard,
    )
    script.schedule_all()
    wait_until(lambda: done(senders.calls))
    return senders.calls


def test_kill_without_duration_leaves_sender_dead_until_end_of_run() -> None:
    """A later kill with a duration is over before the script is looked at."""
    faults = [
        ScriptedFault("kill", at=Duration(0), targets=["sender/0"]),
        ScriptedFault("kill", at=Duration(1000), duration=Duration(1000), targets=["sender/1"]),
    ]
    calls = apply_faults(faults, lambda calls: "start 1" in calls)
    assert calls == ["kill 0", "kill 1", "start 1"]
