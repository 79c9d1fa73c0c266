"""The exit codes of all commands; docs/command-line.md explains them to users."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """The exit code of a command."""

    OK = 0
    FAILED = 1
    """The command failed."""
    BAD_INPUT = 2
    """The input is invalid; nothing was changed."""
    REJECTED = 3
    """`submit`: the message was rejected; it may be submitted again."""
    MESSAGE_FAILED = 4
    """`submit`: the message failed; a destination may have processed it."""
    INTERRUPTED = 130
    """A signal from the terminal interrupted the command."""
