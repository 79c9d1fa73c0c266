"""Parses durations and settings in the lines of a scenario."""

from __future__ import annotations


def parse_duration(text: str) -> int:
    """Returns a duration in whole microseconds.

    >>> parse_duration("1.5s"), parse_duration("20ms")
    (1500000, 20000)
    """
    unit = "ms" if text.endswith("ms") else "s"
    return round(float(text.removesuffix(unit)) * {"ms": 1_000, "s": 1_000_000}[unit])


def parse_setting(text: str) -> int | float | tuple[float, ...]:
    """Returns the value of a setting: a duration, a number, or a tuple of numbers.

    >>> parse_setting("2s"), parse_setting("40"), parse_setting("0.04/0.01")
    (2000000, 40, (0.04, 0.01))
    """
    if "/" in text:
        return tuple(float(part) for part in text.split("/"))
    return parse_duration(text) if text.endswith("s") else int(text)
