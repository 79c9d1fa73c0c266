"""Errors of starting and configuring a sender."""

from __future__ import annotations

from math import ceil
from pathlib import Path
from typing import TYPE_CHECKING

from ashpath.core.errors import InvalidSettingError
from ashpath.server.limits.errors import UnknownLimitError
from ashpath.server.storage.errors import StorageError

if TYPE_CHECKING:
    from ashpath.server.addresses import Address


class StartupError(ValueError):
    """The sender cannot start. The message is the single line that the operator sees."""


class MissingVariableError(StartupError):
    """The environment lacks a required variable."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} is not set")


class InheritedSocketError(StartupError):
    """The descriptor in RELAY_ACCEPT_FD is not an open socket."""

    def __init__(self, text: str) -> None:
        super().__init__(f"RELAY_ACCEPT_FD is no open socket: {text!r}")


class ControlAddressError(StartupError):
    """The value of RELAY_CONTROL is not an address with a port."""

    def __init__(self, reason: ValueError) -> None:
        super().__init__(f"RELAY_CONTROL: {reason}")


class ListenAddressError(StartupError):
    """A table of the configuration lacks a valid address to listen on."""

    def __init__(self, table: str, found: object) -> None:
        super().__init__(f"{table}.listen: found {found!r:.60}, expected an address with a port")


class MetricsAddressError(StartupError):
    """The address for metrics cannot be listened on."""

    def __init__(self, address: Address | None, reason: OSError) -> None:
        text = ":".join(map(str, address or ()))
        super().__init__(f"metrics.listen: {text}: {reason.strerror or reason}")


class MemoryLimitError(StartupError):
    """The memory limit is too small for a sender."""

    def __init__(self, limit_bytes: int, least_bytes: int) -> None:
        found, least = limit_bytes / 1e6, ceil(least_bytes / 1e6)
        super().__init__(f"memory limit of {found:g} MB is too small, a sender needs at least {least} MB")


class UnusableConfigurationError(StartupError):
    """A sender cannot be created from the configuration file, or from its state directory."""

    def __init__(self, path: Path, reason: Exception) -> None:
        super().__init__(f"cannot start from {path}: {error_text(reason)}")


class ConfigurationError(ValueError):
    """A configuration cannot be used, for example because it is truncated. The message states the reason."""


class InvalidAddressError(ValueError):
    """A text is not a host with a port."""

    reported_as = "ValueError"  # printed in the line of a failed start, which operators match

    def __init__(self, text: str) -> None:
        super().__init__(f"{text!r} is no address with a port")


# Errors that parsing a configuration of the wrong shape raises, or creating a sender from it.
UNUSABLE_CONFIGURATION_ERRORS = (OSError, ValueError, KeyError, TypeError, AttributeError)


def error_text(error: BaseException) -> str:
    """Returns one line for operators. Messages that are written for operators are returned unchanged, others
    are prefixed with the type of the error."""
    if isinstance(error, StartupError | InvalidSettingError):
        return str(error)
    if isinstance(error, StorageError | InvalidAddressError | UnknownLimitError):
        return f"{error.reported_as} {error}"
    return f"{type(error).__name__} {error}"
