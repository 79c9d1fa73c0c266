"""The group of all sub-commands, and the one place where their errors become a line and an exit code."""

from __future__ import annotations

import importlib
import sys
from typing import Any

import click

OK, FAILED, BAD_INPUT, BOUNCED, ABORTED = 0, 1, 2, 3, 4
COMMANDS = {
    "serve": "start a sender from a file",
    "check": "say all that is wrong with a file",
    "explain": "the reference of the file's keys",
    "submit": "hand in an envelope, and follow it to its end",
    "held": "list what a standalone sender holds",
    "destinations": "list a standalone sender's destinations",
    "ledger": "read a ledger offline",
    "simulate": "play a day of partners and troubles in virtual time",
    "demo": "watch a sender among stand-in partners",
    "completion": "print the shell's completion script",
}

OLDER_NAMES = {"hand-in": "submit", "rehearse": "simulate"}  # still understood, no longer listed


class Failure(click.ClickException):
    """One line on standard error, and the exit code."""

    def __init__(self, message: str, code: int = FAILED) -> None:
        super().__init__(message)
        self.code = code


class Commands(click.Group):
    """Imports a command's module as it is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        cmd_name = OLDER_NAMES.get(cmd_name, cmd_name)
        if cmd_name not in COMMANDS:
            return None
        module = importlib.import_module(f"ashpath.cli.{cmd_name}")
        command: click.Command = module.command
        return command

    def resolve_command(self, ctx: click.Context, args: list[str]) -> Any:
        if args and args[0] not in COMMANDS and args[0] not in OLDER_NAMES:
            raise click.UsageError(f"no such command {args[0]!r}; there are {', '.join(COMMANDS)}")
        return super().resolve_command(ctx, args)

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Their first lines, without importing one of them."""
        with formatter.section("Commands"):
            formatter.write_dl(list(COMMANDS.items()))


@click.group(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="ashpath", message="%(prog)s %(version)s")
def ashpath() -> None:
    """A relay that hands envelopes on to destinations that nobody here controls."""


def run() -> int:
    """Runs the command of the arguments; its exit code."""
    try:
        return ashpath.main(prog_name="ashpath", standalone_mode=False) or OK
    except click.exceptions.NoArgsIsHelpError as error:
        print(error.format_message(), file=sys.stderr)
        return BAD_INPUT
    except click.ClickException as error:
        code = error.code if isinstance(error, Failure) else BAD_INPUT
        print(f"ashpath: {' '.join(error.format_message().split())}", file=sys.stderr)
        return code
    except (click.Abort, KeyboardInterrupt):
        return 130
    except BrokenPipeError:  # whoever read the output has seen enough
        sys.stderr.close()
        return OK
