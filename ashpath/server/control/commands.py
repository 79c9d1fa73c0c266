"""What an operator may command at the control address, and what comes of it: types only, free of I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ashpath.server.control.protocol import OperatorCommand


@dataclass(frozen=True, slots=True)
class CommandResult:
    """What the answer to a command says."""

    succeeded: bool
    message: str = ""  # the reason where it did not succeed, else what was done; may be empty


class CommandHandler(Protocol):
    """Carries out operators' commands."""

    def handle(self, command: OperatorCommand) -> CommandResult:
        """Carries out one command. It must not wait: the caller's greenlet is within its time limit."""
        ...
