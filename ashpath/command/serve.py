"""`ashpath serve FILE`."""

from __future__ import annotations

from pathlib import Path

import click

from ashpath.command import BAD_INPUT, Failure
from ashpath.command.sender import start
from ashpath.node.folder import NotOurs
from ashpath.plan.read import Unusable


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def command(file: Path) -> int:
    """Start a sender from FILE, in the foreground; SIGTERM ends it in order, SIGHUP rereads FILE."""
    try:
        return start(file)
    except (Unusable, NotOurs) as error:
        raise Failure(str(error), BAD_INPUT) from None
