"""Exceptions of this package."""

from __future__ import annotations

from collections.abc import Sequence

from ashpath.config.faults import ConfigurationFault


class InvalidAmountError(ValueError):
    """A value is no duration or size with a unit."""

    def __init__(self) -> None:
        super().__init__("expected a number with a unit")


class InvalidAddressError(ValueError):
    """A value is no host with a port."""

    def __init__(self) -> None:
        super().__init__("expected an IPv4 address or a host name with a port")


class InvalidNameError(ValueError):
    """A value cannot be part of a header, a log line and a path."""

    def __init__(self) -> None:
        super().__init__("expected 1 to 64 printable characters without spaces, quotes or slashes")


class InvalidDocumentError(ValueError):
    """The tables of a file do not match the schema; `faults` has every fault that was found."""

    def __init__(self, faults: Sequence[ConfigurationFault]) -> None:
        super().__init__(faults)
        self.faults = list(faults)


class InvalidConfigurationError(ValueError):
    """A file cannot be used; each of `lines` describes one fault, with file, line and key where known."""

    def __init__(self, lines: Sequence[str]) -> None:
        super().__init__(lines)
        self.lines = list(lines)

    def __str__(self) -> str:
        more = len(self.lines) - 1
        return self.lines[0] + (f" (and {more} more)" if more else "")
