"""One thing that is wrong with a file, and how it is shown on one line."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_SHOWN_LENGTH = 48  # characters of what was found
MAX_SHOWN_BITS = 200  # of a whole number
BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")

KeyPath = tuple[str | int, ...]
"""Names of tables and keys, and positions in lists, from the top of the file."""


@dataclass(frozen=True, slots=True)
class ConfigurationFault:
    """Where something is wrong, what stands there, and what should."""

    path: KeyPath
    found: str
    expected: str


def format_path(path: KeyPath) -> str:
    """The path as it is written in a file.

    >>> format_path(("destinations", "7", "endpoints", 0, "address"))
    'destinations.7.endpoints[0].address'
    """
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
            continue
        name = part if BARE_KEY.fullmatch(part) else shorten(repr(part))
        text += f".{name}" if text else name
    return text


def shorten(text: str) -> str:
    """The text, cut to what one line has room for."""
    return text if len(text) <= MAX_SHOWN_LENGTH else f"{text[: MAX_SHOWN_LENGTH - 1]}…"


def describe_value(value: object) -> str:
    """What was found, as one line can hold it."""
    if isinstance(value, dict):
        return "a table"
    if isinstance(value, list):
        return f"a list of {len(value)}"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return shorten(ascii(value))
    if isinstance(value, int) and value.bit_length() > MAX_SHOWN_BITS:
        return "a number of many digits"
    return shorten(str(value))
