"""Reads a scenario from its file, and validates each key and the constraints between keys."""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from ashpath.config.constraints import time_conflicts
from ashpath.config.faults import ConfigurationFault
from ashpath.config.loading import read_and_validate
from ashpath.core.time_units import SECOND
from ashpath.emulator.scenario.conditions import SIGNALS, parse_condition
from ashpath.emulator.scenario.schema import DESTINATION_FAULTS, Scenario, ScriptedFault
from ashpath.emulator.scenario.settings import sender_configuration, simulated_length


def read_scenario(path: Path) -> Scenario:
    """Returns the scenario in a file. Raises InvalidConfigurationError."""
    scenario: Scenario = read_and_validate(path, Scenario, invalid_settings)
    return scenario


def invalid_settings(scenario: Scenario) -> list[ConfigurationFault]:
    """Returns the faults in combinations of keys, in the order of the file's sections."""
    return [
        *time_conflicts(sender_configuration(scenario)),
        *_traffic_faults(scenario),
        *_script_faults(scenario),
        *(
            ConfigurationFault(("spans", index, "played"), "more than lasts", "at most lasts")
            for index, span in enumerate(scenario.spans)
            if span.simulated_length > span.length
        ),
    ]


def _traffic_faults(scenario: Scenario) -> Iterator[ConfigurationFault]:
    mix = scenario.clients.traffic_class_shares
    for name in mix:
        if name not in scenario.traffic_classes:
            expected = "one of " + ", ".join(scenario.traffic_classes)
            yield ConfigurationFault(("clients", "mix", name), "an undefined track", expected)
    if sum(mix.values()) <= 0 or min(mix.values()) < 0:
        yield ConfigurationFault(
            ("clients", "mix"), "invalid shares", "none below 0, and at least one above 0"
        )
    if sum(group.traffic_share for group in scenario.destinations.values()) <= 0:
        expected = "at least one kind with a share above 0"
        yield ConfigurationFault(("partners",), "no share above 0", expected)


def _script_faults(scenario: Scenario) -> Iterator[ConfigurationFault]:
    single_destinations = {
        f"{kind}/{rank}" for kind, group in scenario.destinations.items() for rank in range(group.count)
    }
    destinations = set(scenario.destinations) | single_destinations
    senders = {f"sender/{number}" for number in range(scenario.fleet.senders)}
    for index, fault in enumerate(scenario.faults):
        yield from _start_faults(index, fault)
        allowed = destinations if fault.kind in DESTINATION_FAULTS else senders | destinations
        for name in fault.targets:
            if name not in allowed:
                expected = "a kind, kind/RANK below count, or sender/N"
                yield ConfigurationFault(("troubles", index, "to"), repr(name), expected)


def _start_faults(index: int, fault: ScriptedFault) -> Iterator[ConfigurationFault]:
    if (fault.at is None) == (not fault.condition):
        yield ConfigurationFault(("troubles", index, "at"), "both or neither of at and when", "exactly one")
    if fault.condition and parse_condition(fault.condition) is None:
        expected = f"SIGNAL > N or SIGNAL < N; signals: {', '.join(SIGNALS)}"
        yield ConfigurationFault(("troubles", index, "when"), repr(fault.condition), expected)


@dataclass(frozen=True, slots=True)
class ScenarioSize:
    """The size of a scenario: its senders, its destinations and its simulated length in seconds."""

    senders: int
    destinations: int
    seconds: float


def scenario_size(scenario: Scenario) -> ScenarioSize:
    """Returns the size of a scenario."""
    destinations = sum(group.count for group in scenario.destinations.values())
    return ScenarioSize(scenario.fleet.senders, destinations, simulated_length(scenario) / SECOND)
