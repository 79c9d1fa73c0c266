"""What an operator may command at the control address, and what comes of it: types only, free of I/O."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from msgspec import Struct


class Verb(Enum):
    """The first word of a command, as on the wire."""

    PING = "PING"  # does the sender serve?
    DETACH = "DETACH"  # take an endpoint out of service for this sender, whatever the endpoint list says
    ATTACH = "ATTACH"  # undo DETACH
    LAMEDUCK = "LAMEDUCK"  # report not ready and drain clients, but go on serving
    REJOIN = "REJOIN"  # undo LAMEDUCK


ENDPOINT_VERBS = frozenset({Verb.DETACH, Verb.ATTACH})  # take an endpoint id as their one argument


class OperatorCommand(Struct, frozen=True):
    """A command; one that names an endpoint is an `EndpointCommand`."""

    verb: Verb


class EndpointCommand(OperatorCommand, frozen=True):
    """A command on one endpoint: its verb is one of `ENDPOINT_VERBS`."""

    endpoint_id: str


class CommandResult(Struct, frozen=True):
    """What the answer to a command says."""

    succeeded: bool
    message: str = ""  # the reason where it did not succeed, else what was done; may be empty


class CommandHandler(Protocol):
    """Carries out operators' commands."""

    def handle(self, command: OperatorCommand) -> CommandResult:
        """Carries out one command. It must not wait: no time limit covers it."""
        ...
