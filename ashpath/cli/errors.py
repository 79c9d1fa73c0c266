"""Exceptions of commands; `group.run` turns each into one line on standard error and an exit code."""

from __future__ import annotations

from typing import ClassVar

import click

from ashpath.cli.exit_codes import ExitCode


class CommandError(click.ClickException):
    """A command failed.

    The message joins the subject, if any, and the problem: `URL: Connection refused`.
    """

    exit_code: ClassVar[int] = ExitCode.FAILED

    def __init__(self, *parts: object) -> None:
        super().__init__(": ".join(map(str, parts)))


class BadInputError(CommandError):
    """The input of a command is invalid; nothing was changed."""

    exit_code: ClassVar[int] = ExitCode.BAD_INPUT


class SenderUnreachableError(CommandError):
    """The sender did not respond; it is unknown whether it carried out the request."""
