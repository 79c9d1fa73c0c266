"""Simulations with defective policies: the checker detects each broken rule, and a stalled run ends. Scripted
kills of senders.
"""

from __future__ import annotations

import pytest
from support.defective_policies import (
    LongDeduplicationWindowPolicy,
    RemovalIgnoringPolicy,
    RetryAfterIgnoringPolicy,
    TimerRepeatingPolicy,
    UnlimitedPolicy,
    UnorderedPolicy,
    UnreportedFailurePolicy,
)

from ashpath.config.units import Duration
from ashpath.core.interface import PolicyActions, PolicySettings
from ashpath.emulator.errors import SimulationStalledError
from ashpath.emulator.policy_under_test import GlobalView, PolicyUnderTest
from ashpath.emulator.runs import scenario_path
from ashpath.emulator.scenario.loading import read_scenario
from ashpath.emulator.scenario.schema import ScriptedFault
from ashpath.emulator.scoreboard import Scoreboard
from ashpath.emulator.simulation.run import Simulation
from ashpath.policy.delivery_policy import DeliveryPolicy

DEFECTIVE_POLICIES = [
    (UnreportedFailurePolicy, "large-silent", "lost"),
    (LongDeduplicationWindowPolicy, "errors-behind", "doubled"),
    (RemovalIgnoringPolicy, "replaced", "drain"),
    (UnlimitedPolicy, "silent-bank", "returning"),
    (UnorderedPolicy, "in-turn", "order"),
    (RetryAfterIgnoringPolicy, "limit-cut", "wait"),
]


def run(
    name: str, policy: type[DeliveryPolicy] = DeliveryPolicy, faults: list[ScriptedFault] | None = None
) -> Simulation:
    """Runs a scenario with seed 1; `faults` replaces its script."""

    def factory(settings: PolicySettings, actions: PolicyActions, view: GlobalView, /) -> PolicyUnderTest:
        return policy(settings, actions)

    path = scenario_path(name)
    scenario = read_scenario(path)
    scenario.faults = scenario.faults if faults is None else faults
    scoreboard = Scoreboard(list(scenario.traffic_classes), keeps_mode_changes=True)
    simulation = Simulation(scenario, path.parent, 1, factory, scoreboard)
    simulation.run()
    return simulation


@pytest.mark.parametrize(("policy", "name", "rule"), DEFECTIVE_POLICIES)
def test_checker_detects_each_broken_rule(policy: type[DeliveryPolicy], name: str, rule: str) -> None:
    checker = run(name, policy).checker
    assert checker.counts[rule], checker.counts
    assert any(violation.rule == rule for violation in checker.violations)
    if rule not in ("returning", "lost"):
        assert next(violation for violation in checker.violations if violation.rule == rule).events


def test_policy_that_repeats_timers_at_once_stops_simulation() -> None:
    """A policy that schedules each timer again for the current time must not make a run endless."""
    with pytest.raises(SimulationStalledError):
        run("calm", TimerRepeatingPolicy)


@pytest.mark.parametrize(("duration", "alive"), [(Duration(0), False), (Duration(1_000_000), True)])
def test_killed_sender_restarts_only_after_a_duration(duration: Duration, alive: bool) -> None:
    fault = ScriptedFault("kill", at=Duration(1_000_000), duration=duration, targets=["sender/0"])
    simulation = run("kills", faults=[fault])
    assert [sender.alive for sender in simulation.fleet.senders] == [alive, True, True]
