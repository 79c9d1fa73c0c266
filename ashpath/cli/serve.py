"""`ashpath serve FILE`."""

from __future__ import annotations

import click

from ashpath.cli.standalone import serve


@click.command()
@click.argument("file")
def command(file: str) -> int:
    """Start a sender from FILE, in the foreground; SIGTERM shuts it down gracefully, SIGHUP reloads FILE."""
    return serve(file)
