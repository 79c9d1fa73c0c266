"""`ashpath completion SHELL`."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class

from ashpath.cli.exit_codes import ExitCode
from ashpath.cli.group import ashpath


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def command(shell: str) -> int:
    """Print the completion script of SHELL: `eval "$(ashpath completion bash)"`."""
    completion = get_completion_class(shell)
    assert completion is not None  # click has a class for each of the choices
    print(completion(ashpath, {}, "ashpath", "_ASHPATH_COMPLETE").source())
    return ExitCode.OK
