"""What this package raises."""

from __future__ import annotations

from collections.abc import Sequence

from ashpath.config.faults import ConfigurationFault


class InvalidAmountError(ValueError):
    """A text that is no duration or size."""

    def __init__(self) -> None:
        super().__init__("no amount with a unit")


class InvalidAddressError(ValueError):
    """A text that is no host and port."""

    def __init__(self) -> None:
        super().__init__("no address")


class InvalidNameError(ValueError):
    """A text that cannot stand in a header, a log line and a path."""

    def __init__(self) -> None:
        super().__init__("no word")


class InvalidDocumentError(ValueError):
    """Tables that do not have the shape they should have, with every fault found in them."""

    def __init__(self, faults: Sequence[ConfigurationFault]) -> None:
        super().__init__(faults)
        self.faults = list(faults)


class InvalidConfigurationError(ValueError):
    """A file that cannot be used; `lines` say what is wrong, each with file, line and key."""

    def __init__(self, lines: Sequence[str]) -> None:
        super().__init__(lines)
        self.lines = list(lines)

    def __str__(self) -> str:
        more = len(self.lines) - 1
        return self.lines[0] + (f" (and {more} more)" if more else "")
