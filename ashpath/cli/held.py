"""`ashpath held URL`."""

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
    """List the live messages of the standalone sender at URL, in the order in which they were accepted."""
    print_rows(StatusClient(url).live_messages(), as_json=as_json)
    return ExitCode.OK
