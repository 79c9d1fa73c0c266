"""Commands of operators at the control address, and their results: types without I/O."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from msgspec import Struct


class Verb(Enum):
    """The first word of a command, as on the wire."""

    PING = "PING"  # check that the sender serves
    DETACH = "DETACH"  # take an endpoint out of service for this sender, whatever the endpoint list says
    ATTACH = "ATTACH"  # undo DETACH
    LAMEDUCK = "LAMEDUCK"  # report not ready and drain clients, but go on serving
    REJOIN = "REJOIN"  # undo LAMEDUCK
    TRACE = "TRACE"  # log each attempt for a minute
    ATTEMPTS = "ATTEMPTS"  # log the latest attempts, once


ENDPOINT_VERBS = frozenset({Verb.DETACH, Verb.ATTACH})  # take an endpoint id as their one argument


class OperatorCommand(Struct, frozen=True):
    """A command; `EndpointCommand` is the type of those that name an endpoint."""

    verb: Verb


class EndpointCommand(OperatorCommand, frozen=True):
    """A command on one endpoint, with a verb of `ENDPOINT_VERBS`."""

    endpoint_id: str


class CommandResult(Struct, frozen=True):
    """The result of a command, as the response reports it."""

    succeeded: bool
    message: str = ""  # the reason of a failure, otherwise what was done; may be empty


class CommandHandler(Protocol):
    """Executes operators' commands."""

    def handle(self, command: OperatorCommand) -> CommandResult:
        """Executes one command. Implementations must not block, as no time limit covers the call."""
        ...
