"""`ashpath check FILE`."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from ashpath.command.group import BAD_INPUT, OK
from ashpath.plan.read import Unusable, read, secrets


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def command(file: Path) -> int:
    """Say all that is wrong with FILE, a line each with file, line and key. Exit code 0, or 2."""
    try:
        plan = read(file)
        secrets(file, plan)
    except Unusable as error:
        for line in error.lines:
            print(line, file=sys.stderr)
        return BAD_INPUT
    endpoints = sum(len(one.endpoints) for one in plan.destinations.values())
    source = f"directory {plan.platform.directory}" if plan.platform else f"{endpoints} endpoints"
    print(f"{file}: sound: {len(plan.tracks)} tracks, {len(plan.destinations)} destinations, {source}")
    return OK
