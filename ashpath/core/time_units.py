"""Conversion between milliseconds, as in settings and on the wire, and integer microseconds elsewhere."""

from __future__ import annotations


def microseconds(milliseconds: float | None) -> int:
    """Returns integer microseconds; 0 for None.

    >>> microseconds(8412.25), microseconds(0.0005), microseconds(None)
    (8412250, 0, 0)
    """
    return round(milliseconds * 1000) if milliseconds else 0


def milliseconds(microseconds: int) -> float:
    """Returns milliseconds.

    >>> milliseconds(8412250)
    8412.25
    """
    return microseconds / 1000
