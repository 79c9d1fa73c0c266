"""One fault of a file, and the texts that show it on one line."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_SHOWN_LENGTH = 48  # characters of the value that was found
MAX_SHOWN_BITS = 200  # of a whole number; `str` raises ValueError for a number of more than 4300 digits
BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")

KeyPath = tuple[str | int, ...]
"""Names of tables and keys, and indexes of list items, from the top of the file."""


@dataclass(frozen=True, slots=True)
class ConfigurationFault:
    """The path of a faulty key, a description of the value found there, and of the values expected."""

    path: KeyPath
    found: str
    expected: str


def format_path(path: KeyPath) -> str:
    """Returns the path in the notation of a TOML file, with list indexes in brackets.

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
    """Returns the text, truncated to MAX_SHOWN_LENGTH characters."""
    return text if len(text) <= MAX_SHOWN_LENGTH else f"{text[: MAX_SHOWN_LENGTH - 1]}…"


def describe_value(value: object) -> str:
    """Returns a short description of a value, which fits on one line."""
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
