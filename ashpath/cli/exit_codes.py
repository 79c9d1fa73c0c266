"""The exit codes of every command; docs/command-line.md explains them to users."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command's end says to the shell."""

    OK = 0
    FAILED = 1
    """It could not be done."""
    BAD_INPUT = 2
    """What was asked cannot be used; nothing was changed."""
    REJECTED = 3
    """`submit`: the message was rejected; it may be submitted again."""
    MESSAGE_FAILED = 4
    """`submit`: the message failed; it may have run."""
    INTERRUPTED = 130
    """By a signal from the terminal."""
