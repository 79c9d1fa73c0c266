"""`ashpath destinations URL`."""

from __future__ import annotations

import click

from ashpath.cli.exit_codes import ExitCode
from ashpath.cli.options import json_rows_option, url_argument
from ashpath.cli.output import print_rows
from ashpath.cli.status_client import StatusClient


@click.command()
@url_argument
@json_rows_option
def command(url: str, as_json: bool) -> int:
    """List the destinations of the standalone sender at URL: concurrency limits, circuit breakers, and the
    numbers of messages queued and in flight."""
    print_rows(StatusClient(url).destinations(), as_json=as_json)
    return ExitCode.OK
