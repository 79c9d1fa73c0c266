"""Units of time in integer microseconds, and conversion of milliseconds, as in settings and on the wire."""

from __future__ import annotations

MILLISECOND = 1_000  # microseconds
SECOND = 1_000_000  # microseconds


def microseconds(milliseconds: float | None) -> int:
    """Returns integer microseconds; 0 for None.

    >>> microseconds(8412.25), microseconds(0.0005), microseconds(None)
    (8412250, 0, 0)
    """
    return round(milliseconds * MILLISECOND) if milliseconds else 0


def milliseconds(microseconds: int) -> float:
    """Returns milliseconds.

    >>> milliseconds(8412250)
    8412.25
    """
    return microseconds / MILLISECOND
