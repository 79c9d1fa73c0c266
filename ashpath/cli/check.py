"""`ashpath check FILE`."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from ashpath.cli.exit_codes import ExitCode
from ashpath.config.errors import InvalidConfigurationError
from ashpath.config.loading import read_configuration, read_credentials, read_document

SCENARIO_TABLE = "day"


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def command(file: Path) -> int:
    """Report all faults of FILE, a sender's file or a scenario to simulate, each on a line with file, line
    and key. Exit code 0, or 2."""
    try:
        description = describe_scenario(file) if is_scenario(file) else describe_sender(file)
    except InvalidConfigurationError as error:
        for line in error.lines:
            print(line, file=sys.stderr)
        return ExitCode.BAD_INPUT
    print(f"{file}: sound: {description}")
    return ExitCode.OK


def is_scenario(file: Path) -> bool:
    """Returns whether the file is a scenario for `ashpath simulate` rather than a sender's file."""
    return SCENARIO_TABLE in read_document(file)


def describe_scenario(file: Path) -> str:
    """Returns a summary of a valid scenario. Raises InvalidConfigurationError."""
    from dataclasses import asdict

    from ashpath.emulator.scenario.loading import read_scenario, scenario_size

    counts = asdict(scenario_size(read_scenario(file)))
    return "a day of " + ", ".join(f"{value:g} {name}" for name, value in counts.items())


def describe_sender(file: Path) -> str:
    """Returns a summary of a valid sender's file.

    Raises InvalidConfigurationError if the file is not valid or a secret cannot be read.
    """
    configuration = read_configuration(file)
    read_credentials(file, configuration)
    if configuration.platform:
        source = f"directory {configuration.platform.directory}"
    else:
        endpoints = sum(len(destination.endpoints) for destination in configuration.destinations.values())
        source = f"{endpoints} endpoints"
    classes = len(configuration.traffic_classes)
    return f"{classes} tracks, {len(configuration.destinations)} destinations, {source}"
