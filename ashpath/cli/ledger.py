"""`ashpath ledger show|verify|stats FOLDER`: reads the write-ahead log of a running or stopped sender."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from ashpath.cli.errors import BadInputError
from ashpath.cli.exit_codes import ExitCode
from ashpath.cli.output import print_json, print_rows
from ashpath.server.storage.log_report import (
    LogContents,
    log_path,
    message_rows,
    read_log,
    statistics,
    verification,
    verification_summary,
)

folder_argument = click.argument("folder", type=click.Path(path_type=Path))
json_option = click.option("--json", "as_json", is_flag=True, help="Print lines of JSON.")


@click.group()
def command() -> None:
    """Read the write-ahead log in FOLDER, a sender's state directory or its journal, without changing it."""


@command.command()
@folder_argument
@json_option
def show(folder: Path, as_json: bool) -> int:
    """List its live messages, in the order in which they were accepted."""
    contents = read_contents(folder)
    print_rows(message_rows(contents), as_json=as_json)
    warn_if_damaged(contents)
    return ExitCode.OK


@command.command()
@folder_argument
@json_option
def verify(folder: Path, as_json: bool) -> int:
    """Report whether every record is complete, or the byte offset of the first one that is not. Exit code 0,
    or 1."""
    contents = read_contents(folder)
    if as_json:
        print_json(verification(contents))
    else:
        print(verification_summary(contents))
    return ExitCode.FAILED if contents.fault else ExitCode.OK


@command.command()
@folder_argument
@json_option
def stats(folder: Path, as_json: bool) -> int:
    """Count its records, and its live messages by traffic class and destination."""
    contents = read_contents(folder)
    counts = statistics(contents)
    if as_json:
        print_json(counts)
    else:
        for name, value in counts.items():
            print(f"{name}\t{format_count(value)}")
    warn_if_damaged(contents)
    return ExitCode.OK


def read_contents(folder: Path) -> LogContents:
    """Returns the contents of the log. Raises BadInputError if it cannot be opened."""
    path = log_path(folder)
    try:
        return read_log(path)
    except OSError as error:
        raise BadInputError(path, error.strerror) from error


def warn_if_damaged(contents: LogContents) -> None:
    """Prints the fault of a damaged log on standard error."""
    if contents.fault:
        print(f"ashpath: {verification_summary(contents)}", file=sys.stderr)


def format_count(value: object) -> str:
    """Formats a count, or a table of counts.

    >>> format_count(3), format_count({"free": 2, "tag": 1})
    ('3', 'free 2, tag 1')
    """
    if isinstance(value, dict):
        return ", ".join(f"{name} {count}" for name, count in value.items())
    return str(value)
