"""Milliseconds of the settings and the wires, and the whole microseconds that everything inside counts in."""

from __future__ import annotations


def microseconds(milliseconds: float | None) -> int:
    """Whole microseconds; an absent value counts as none.

    >>> microseconds(8412.25), microseconds(0.0005), microseconds(None)
    (8412250, 0, 0)
    """
    return round(milliseconds * 1000) if milliseconds else 0


def milliseconds(microseconds: int) -> float:
    """Milliseconds as settings and wires have them.

    >>> milliseconds(8412250)
    8412.25
    """
    return microseconds / 1000
