"""`ashpath destinations URL`."""

from __future__ import annotations

import click

from ashpath.cli.group import OK
from ashpath.cli.rows import show
from ashpath.cli.status_client import Client


@click.command()
@click.argument("url", envvar="ASHPATH_URL")
@click.option("--json", "as_json", is_flag=True, help="A line of JSON for each.")
def command(url: str, as_json: bool) -> int:
    """List the destinations of the standalone sender at URL: gates, limits, breakers, what is held."""
    show(Client(url).destinations(), as_json)
    return OK
