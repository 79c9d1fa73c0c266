"""Errors of starting and configuring a sender."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from ashpath.core.errors import InvalidSettingError
from ashpath.server.storage.errors import StorageError

if TYPE_CHECKING:
    from ashpath.server.addresses import Address


class StartupError(ValueError):
    """The sender cannot start; the message is the one line that the operator sees."""


class MissingVariableError(StartupError):
    """The environment lacks a variable that a sender cannot do without."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} is not set")


class InheritedSocketError(StartupError):
    """What RELAY_ACCEPT_FD names is not an open socket."""

    def __init__(self, text: str) -> None:
        super().__init__(f"RELAY_ACCEPT_FD is no open socket: {text!r}")


class ControlAddressError(StartupError):
    """What RELAY_CONTROL has is not an address with a port."""

    def __init__(self, reason: ValueError) -> None:
        super().__init__(f"RELAY_CONTROL: {reason}")


class ListenAddressError(StartupError):
    """A table of the configuration lacks an address to listen on."""

    def __init__(self, table: str, found: object) -> None:
        super().__init__(f"{table}.listen: found {found!r:.60}, expected an address with a port")


class MetricsAddressError(StartupError):
    """The address for metrics cannot be listened on."""

    def __init__(self, address: Address | None, reason: OSError) -> None:
        text = ":".join(map(str, address or ()))
        super().__init__(f"metrics.listen: {text}: {reason.strerror or reason}")


class UnusableConfigurationError(StartupError):
    """No sender can be put together from the configuration file, or from the state directory beside it."""

    def __init__(self, path: Path, reason: Exception) -> None:
        super().__init__(f"cannot start from {path}: {error_text(reason)}")


class ConfigurationError(ValueError):
    """A configuration cannot be used, because it is cut short, say; the message says why."""


class InvalidAddressError(ValueError):
    """A text that is no host with a port."""

    reported_as = "ValueError"  # in the line that a failed start prints: operators know that line

    def __init__(self, text: str) -> None:
        super().__init__(f"{text!r} is no address with a port")


# What parsing a configuration of the wrong shape raises, and putting a sender together from one.
UNUSABLE_CONFIGURATION_ERRORS = (OSError, ValueError, KeyError, TypeError, AttributeError)


def error_text(error: BaseException) -> str:
    """One line for operators: messages that were written for them as they are, others with their type."""
    if isinstance(error, StartupError | InvalidSettingError):
        return str(error)
    kind = (
        error.reported_as if isinstance(error, StorageError | InvalidAddressError) else type(error).__name__
    )
    return f"{kind} {error}"
