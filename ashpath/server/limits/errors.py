"""Errors of the table `own`, which sets limits by name."""

from __future__ import annotations


class UnknownLimitError(TypeError):
    """A key names no field of any structure."""

    reported_as = "TypeError"  # printed in the line of a failed start, which operators match

    def __init__(self, key: str) -> None:
        super().__init__(f"`ServerLimits` has no field '{key}'")
