"""Files of the state directory whose writes may have failed."""

from __future__ import annotations

from typing import Protocol


class Repairable(Protocol):
    """A file whose writes may have failed."""

    @property
    def needs_repair(self) -> bool:
        """Whether data is still to be written."""

    def repair(self) -> bool:
        """Writes the outstanding data. Returns False if the disk does not accept it yet."""
