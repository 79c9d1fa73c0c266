"""The group of all sub-commands; `run` turns their errors into one line and an exit code."""

from __future__ import annotations

import importlib
import sys

import click

from ashpath.cli.errors import CommandError
from ashpath.cli.exit_codes import ExitCode

COMMANDS = {
    "serve": "start a sender from a file",
    "check": "report all faults of a file",
    "explain": "print the reference of the file's keys",
    "submit": "submit a message, and follow it to its outcome",
    "held": "list the live messages of a standalone sender",
    "destinations": "list a standalone sender's destinations",
    "ledger": "read a write-ahead log offline",
    "simulate": "run a scenario of destinations and faults in virtual time",
    "demo": "run a sender against simulated destinations",
    "completion": "print the shell's completion script",
}
"""The help line of each command; the command's name is that of its module in this package."""

ALIASES = {"hand-in": "submit", "rehearse": "simulate"}
"""Former names of commands, which are still accepted but not listed."""


class LazyGroup(click.Group):
    """A group that imports the module of a command when the command is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands, in the order of the help text."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Returns the command of a name or an alias, or None if there is none."""
        name = ALIASES.get(cmd_name, cmd_name)
        if name not in COMMANDS:
            return None
        command: click.Command = importlib.import_module(f"ashpath.cli.{name}").command
        return command

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Returns the command of the arguments.

        Raises UsageError, which names all commands, if there is none of that name.
        """
        if args and args[0] not in COMMANDS and args[0] not in ALIASES:
            problem = f"no such command {args[0]!r}; there are {', '.join(COMMANDS)}"
            raise click.UsageError(problem)
        return super().resolve_command(ctx, args)

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Writes the help lines of all commands without importing their modules."""
        with formatter.section("Commands"):
            formatter.write_dl(list(COMMANDS.items()))


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="ashpath", message="%(prog)s %(version)s")
def ashpath() -> None:
    """A relay that delivers messages to destinations outside the control of its operators."""


def run() -> int:
    """Runs the command that the arguments name, and returns its exit code."""
    try:
        return ashpath.main(prog_name="ashpath", standalone_mode=False) or ExitCode.OK
    except click.exceptions.NoArgsIsHelpError as error:
        print(error.format_message(), file=sys.stderr)
        return ExitCode.BAD_INPUT
    except click.ClickException as error:
        print(f"ashpath: {' '.join(error.format_message().split())}", file=sys.stderr)
        return error.exit_code if isinstance(error, CommandError) else ExitCode.BAD_INPUT
    except (click.Abort, KeyboardInterrupt):
        return ExitCode.INTERRUPTED
    except BrokenPipeError:  # the reader of the output closed the pipe, as `head` does
        sys.stderr.close()
        return ExitCode.OK
