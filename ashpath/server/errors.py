"""Errors of starting and configuring a sender."""

from __future__ import annotations

from ashpath.core.errors import InvalidSettingError
from ashpath.server.storage.errors import StorageError


class StartupError(ValueError):
    """The sender cannot start; the message is the one line that the operator sees."""


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
