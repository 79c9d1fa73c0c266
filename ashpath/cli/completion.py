"""`ashpath completion SHELL`."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class

from ashpath.cli.group import OK, ashpath


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def command(shell: str) -> int:
    """Print the completion script of SHELL: `eval "$(ashpath completion bash)"`."""
    found = get_completion_class(shell)
    assert found is not None
    print(found(ashpath, {}, "ashpath", "_ASHPATH_COMPLETE").source())
    return OK
