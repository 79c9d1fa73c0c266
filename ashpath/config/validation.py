"""Makes a `Plan` of what a file says, or says all that is wrong with it at once. No I/O.

The library converts single values; the walk is here, as the library stops at the first fault.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import cache
from types import UnionType
from typing import Annotated, Any, Literal, Union, get_args, get_origin, get_type_hints

import msgspec

from ashpath.config.schema import Configuration, Key, Secret
from ashpath.config.units import READERS, SIZES, TIMES, Address, Duration, Size, Word, written

Path = tuple[str | int, ...]
NUMBER = re.compile(r"0|[1-9][0-9]{0,11}", re.ASCII)
LONGEST = 48  # characters of what was found
MOST = 200  # faults that are said; the rest is counted
WORDS = {
    Duration: 'a duration such as "250ms" or "4s"',
    Size: 'a size such as "64KiB"',
    Address: 'an IPv4 address or a name, with a port, such as "127.0.0.1:7070"',
    Word: "1 to 64 printable characters without spaces, quotes or slashes",
    Secret: '{ env = "NAME" } or { file = "PATH" }',
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    str: "a text",
}


@dataclass(frozen=True, slots=True)
class ConfigurationFault:
    """One thing that is wrong: where, what stands there, and what should."""

    path: Path
    found: str
    expected: str


def named(path: Path) -> str:
    """The path as it is written in a file.

    >>> named(("destinations", "7", "endpoints", 0, "address"))
    'destinations.7.endpoints[0].address'
    """
    text = ""
    for part in path:
        plain = isinstance(part, int) or re.fullmatch(r"[A-Za-z0-9_-]+", part)
        shown = part if plain else shorten(repr(part))
        text += f"[{part}]" if isinstance(part, int) else f".{shown}" if text else str(shown)
    return text


def shorten(text: str) -> str:
    return text if len(text) <= LONGEST else f"{text[: LONGEST - 1]}…"


def shown(value: Any) -> str:
    """What was found, as a line can hold it."""
    if isinstance(value, dict):
        return "a table"
    if isinstance(value, list):
        return f"a list of {len(value)}"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return shorten(ascii(value))
    if isinstance(value, int) and value.bit_length() > 200:
        return "a number of many digits"
    return shorten(str(value))


@cache
def keys(shape: type) -> dict[str, tuple[Any, Key]]:
    """The keys of a table: their types, and what stands beside them."""
    rows = {}
    for name, hint in get_type_hints(shape, include_extras=True).items():
        parts = get_args(hint) if get_origin(hint) is Annotated else (hint, Key(""))
        rows[name] = (parts[0], next(part for part in parts[1:] if isinstance(part, Key)))
    return rows


def alternatives(hint: Any) -> tuple[Any, ...]:
    """The types that a key may have, without the one for being left out."""
    union = get_origin(hint) in (Union, UnionType)
    return tuple(part for part in get_args(hint) if part is not type(None)) if union else (hint,)


def expected(hint: Any, key: Key) -> str:
    """What a key wants, in words."""
    hint = alternatives(hint)[0]
    if get_origin(hint) is Literal:
        return "one of " + ", ".join(f'"{choice}"' for choice in get_args(hint))
    if get_origin(hint) is list:
        return "a list"
    if get_origin(hint) is dict or (isinstance(hint, type) and issubclass(hint, msgspec.Struct)):
        return WORDS.get(hint, "a table")
    return WORDS[hint] + bounds(hint, key)


def bounds(hint: Any, key: Key) -> str:
    """
    >>> bounds(Duration, Key("", 1000, 60_000_000)), bounds(int, Key("", 1)), bounds(str, Key("", 0, 16))
    (', from 1ms to 1min', ', from 1', ', of 0 to 16 characters')
    """
    units = {Duration: TIMES, Size: SIZES}.get(hint)
    least, most = (
        None if bound is None else written(int(bound), units) if units else f"{bound:g}"
        for bound in (key.least, key.most)
    )
    if hint is str and most:
        return f", of {least} to {most} characters"
    return (f", from {least}" if least else "") + (f" to {most}" if most else "")


class Check:
    """One walk over one file."""

    def __init__(self) -> None:
        self.faults: list[ConfigurationFault] = []

    def fault(self, path: Path, found: str, wanted: str) -> None:
        self.faults.append(ConfigurationFault(path, found, wanted))

    def table(self, shape: type, value: Any, path: Path) -> Any:
        if not isinstance(value, dict):
            return self.fault(path, shown(value), "a table")
        rows, told = keys(shape), {}
        for name in value:
            if name not in rows:
                from difflib import get_close_matches  # only where there is a fault

                near = get_close_matches(name, rows, 1, 0.5)
                hint = f"{near[0]!r}" if near else "one of " + ", ".join(rows)
                self.fault((*path, name), "an unknown key", hint)
        needed = {row.name for row in msgspec.structs.fields(shape) if row.required}
        for name, (hint, key) in rows.items():
            if name in value:
                told[name] = self.value(hint, key, value[name], (*path, name))
            elif name in needed:
                self.fault((*path, name), "nothing", expected(hint, key))
        return None if self.faults else shape(**told)

    def value(self, hint: Any, key: Key, value: Any, path: Path) -> Any:
        options = alternatives(hint)
        tables = [one for one in options if isinstance(one, type) and issubclass(one, msgspec.Struct)]
        if options[0] is Secret:
            return self.secret(value, path)
        if tables and (len(options) == 1 or isinstance(value, dict)):
            return self.table(tables[0], value, path)
        origin = get_origin(options[0])
        if origin is dict:
            return self.rows(get_args(options[0]), key, value, path)
        if origin is list:
            return self.items(get_args(options[0])[0], key, value, path)
        return self.leaf(options[0], key, value, path)

    def rows(self, hints: tuple[Any, ...], key: Key, value: Any, path: Path) -> Any:
        if not isinstance(value, dict):
            return self.fault(path, shown(value), "a table of tables")
        self.count(key, value, path, "tables")
        told: dict[Any, Any] = {}
        for name, row in value.items():
            if hints[0] is int:
                if not NUMBER.fullmatch(name):
                    self.fault((*path, name), shown(name), "a whole number as the name of the table")
                    continue
                told[int(name)] = self.value(hints[1], Key(""), row, (*path, name))
            else:
                self.leaf(hints[0], Key(""), name, (*path, name))
                told[name] = self.value(hints[1], Key(""), row, (*path, name))
        return told

    def items(self, hint: Any, key: Key, value: Any, path: Path) -> Any:
        if not isinstance(value, list):
            return self.fault(path, shown(value), "a list")
        self.count(key, value, path, "items")
        return [self.value(hint, Key(""), item, (*path, at)) for at, item in enumerate(value)]

    def count(self, key: Key, value: Any, path: Path, what: str) -> None:
        if not (key.least or 0) <= len(value) <= (key.most or len(value)):
            self.fault(path, f"{len(value)} {what}", f"{key.least:g} to {key.most:g}")

    def leaf(self, hint: Any, key: Key, value: Any, path: Path) -> Any:
        try:
            if hint in READERS:
                found: Any = READERS[hint](value)
            else:
                found = msgspec.convert(value, hint)
        except (msgspec.ValidationError, ValueError):
            return self.fault(path, shown(value), expected(hint, key))
        amount = len(found) if isinstance(found, str) else found
        counted = hint in (int, float, Duration, Size) or (hint is str and key.most is not None)
        least = -float("inf") if key.least is None else key.least
        most = float("inf") if key.most is None else key.most
        # Written so that a NaN, which is neither less nor more, is refused.
        if counted and not least <= amount <= most:
            return self.fault(path, shown(value), expected(hint, key))
        return found

    def secret(self, value: Any, path: Path) -> Any:
        """What was found is not said: it may be the secret itself."""
        try:
            found = msgspec.convert(value, Secret)
        except msgspec.ValidationError:
            found = Secret()
        if bool(found.env) == bool(found.file) or "\0" in found.env + found.file or "=" in found.env:
            return self.fault(path, "something else", WORDS[Secret])
        return found


def make(shape: type, told: Any) -> tuple[Any, list[ConfigurationFault]]:
    """What the tables make, or all that keeps them from being it."""
    check = Check()
    made = check.table(shape, told, ())
    return (None if check.faults else made), check.faults


def plan(told: Any) -> tuple[Configuration | None, list[ConfigurationFault]]:
    """The plan, or all that keeps it from being one."""
    return make(Configuration, told)
