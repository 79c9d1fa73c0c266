"""What commands raise; `group.run` makes one line on standard error and an exit code of it."""

from __future__ import annotations

from typing import ClassVar

import click

from ashpath.cli.exit_codes import ExitCode


class CommandError(click.ClickException):
    """What was asked could not be done.

    Made of what it is about, if anything, and of the problem: `URL: Connection refused`.
    """

    exit_code: ClassVar[int] = ExitCode.FAILED

    def __init__(self, *parts: object) -> None:
        super().__init__(": ".join(map(str, parts)))


class BadInputError(CommandError):
    """What was asked cannot be used; nothing was changed."""

    exit_code: ClassVar[int] = ExitCode.BAD_INPUT


class SenderUnreachableError(CommandError):
    """No response: whether what was asked was done is not known."""
