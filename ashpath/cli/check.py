"""`ashpath check FILE`."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from ashpath.cli.group import BAD_INPUT, OK
from ashpath.config.errors import InvalidConfigurationError
from ashpath.config.loading import read_configuration, read_credentials, read_document


def is_day(file: Path) -> bool:
    """Whether it is a day for `ashpath rehearse`, which has its lesson, and not a sender's file."""
    return "day" in read_document(file)


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def command(file: Path) -> int:
    """Say all that is wrong with FILE, a sender's file or a day to rehearse, a line each with file, line and
    key. Exit code 0, or 2."""
    try:
        if is_day(file):
            from ashpath.emulator.scenario import read_scenario, summary

            told = summary(read_scenario(file))
            print(
                f"{file}: sound: a day of " + ", ".join(f"{value:g} {name}" for name, value in told.items())
            )
            return OK
        plan = read_configuration(file)
        read_credentials(file, plan)
    except InvalidConfigurationError as error:
        for line in error.lines:
            print(line, file=sys.stderr)
        return BAD_INPUT
    endpoints = sum(len(one.endpoints) for one in plan.destinations.values())
    source = f"directory {plan.platform.directory}" if plan.platform else f"{endpoints} endpoints"
    print(
        f"{file}: sound: {len(plan.traffic_classes)} tracks, {len(plan.destinations)} destinations, {source}"
    )
    return OK
