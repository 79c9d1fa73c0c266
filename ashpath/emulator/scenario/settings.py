"""Conversion of a scenario to the settings of its senders, the properties of its destinations and the lengths
of its spans, and the random delays of service discovery."""

from dataclasses import fields
from pathlib import Path
from random import Random
from typing import Any

from msgspec.structs import replace

from ashpath.config.platform_document import platform_document
from ashpath.config.schema import Configuration, DestinationKind, Limits, Sender
from ashpath.config.units import TIMES, Duration, Name, parse_amount
from ashpath.core.interface import PolicySettings
from ashpath.core.policy_settings import policy_settings
from ashpath.emulator.destination.properties import DestinationProperties
from ashpath.emulator.scenario.schema import DestinationGroup, DiscoveryDelay, Scenario, Span

UNLIMITED_QUEUE_CAPACITY = 10_000_000  # messages; in effect no limit
COPIED_PROPERTIES = [
    attribute.name
    for attribute in fields(DestinationProperties)
    if attribute.name in DestinationGroup.__struct_fields__
]
"""Attributes of a destination group that are copied to the properties of its destinations, by name."""


def sender_configuration(scenario: Scenario) -> Configuration:
    """Returns the configuration of the scenario's senders, without their destinations."""
    kinds = {
        Name(name): DestinationKind(limit_per_endpoint=group.limit_per_endpoint)
        for name, group in scenario.destinations.items()
    }
    limits = Limits(queue_capacity=scenario.fleet.queue_capacity or UNLIMITED_QUEUE_CAPACITY)
    traffic_classes = {Name(name): settings for name, settings in scenario.traffic_classes.items()}
    sender = Sender(Name("day"))
    return Configuration(sender, traffic_classes, kinds=kinds, rules=scenario.rules, limits=limits)


def sender_settings(scenario: Scenario, seed: int, number: int) -> PolicySettings:
    """Returns the policy settings of one sender."""
    configuration = sender_configuration(scenario)
    configuration.sender.number = number
    configuration.sender.senders = scenario.fleet.senders
    settings = policy_settings(seed, platform_document(configuration, "0")["settings"])
    # A sender on sockets reports full connection tables too.
    return replace(settings, reports_full_connection_table=True)


def destination_properties(group: DestinationGroup, folder: Path) -> DestinationProperties:
    """Returns the properties of a kind of destination. The file with the samples is read from the folder.

    Raises ValueError or OSError if the samples cannot be read.
    """
    samples: tuple[int, ...] = ()
    if group.samples:
        lines = (folder / group.samples).read_text().split()
        samples = tuple(parse_amount(line, TIMES) for line in lines)
    values: dict[str, Any] = {}  # by the name of the property; each value has its type
    for key in COPIED_PROPERTIES:
        value = getattr(group, key)
        values[key] = int(value) if isinstance(value, Duration) else value
    values["service_times"] = tuple(int(median) for median in group.service_times)
    values["samples"] = samples
    return DestinationProperties(**values)


def simulated_span_length(span: Span) -> int:
    """Returns the simulated length of a span in microseconds."""
    return int(span.simulated_length or span.length)


def span_weight(span: Span) -> float:
    """Returns the weight of each request of a span; above 1 if only a part of the span is simulated."""
    return span.length / simulated_span_length(span)


def simulated_length(scenario: Scenario) -> int:
    """Returns the simulated length of the scenario in microseconds."""
    return sum(simulated_span_length(span) for span in scenario.spans)


def draw_discovery_delay(discovery_delay: DiscoveryDelay, random: Random) -> int:
    """Returns the random delay in microseconds from a change of endpoints to the update of one sender."""
    spread = int(discovery_delay.spread)
    return int(discovery_delay.delay) + (random.randrange(spread) if spread else 0)
