"""Reads the schema: the keys that a table may have, their types, and how errors and pages name the types."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache
from types import UnionType
from typing import Annotated, Literal, Union, get_args, get_origin

import msgspec

from ashpath.config.schema_types import Key, Secret
from ashpath.config.units import SIZES, TIMES, Address, Duration, Name, Size, format_amount

TYPE_NAMES: dict[object, str] = {
    Duration: 'a duration such as "250ms" or "4s"',
    Size: 'a size such as "64KiB"',
    Address: 'an IPv4 address or a name, with a port, such as "127.0.0.1:7070"',
    Name: "1 to 64 printable characters without spaces, quotes or slashes",
    Secret: '{ env = "NAME" } or { file = "PATH" }',
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    str: "a text",
}
UNITS: dict[object, dict[str, int]] = {Duration: TIMES, Size: SIZES}


@dataclass(frozen=True, slots=True)
class TableKey:
    """One key of a table."""

    field: str
    """The name of the struct's field; the key in the file may have another name."""
    hint: object
    """The type; a union with None if the key may be left out."""
    key: Key
    required: bool
    default: object
    """`msgspec.NODEFAULT` if the key has no default or a factory creates it."""
    has_factory: bool


@cache
def table_keys(struct_type: type[msgspec.Struct]) -> dict[str, TableKey]:
    """Returns the keys of a table by their names in the file, in the order of the schema."""
    keys = {}
    for field in msgspec.structs.fields(struct_type):
        parts = get_args(field.type) if get_origin(field.type) is Annotated else (field.type, Key(""))
        keys[field.encode_name] = TableKey(
            field=field.name,
            hint=parts[0],
            key=next(part for part in parts[1:] if isinstance(part, Key)),
            required=field.required,
            default=field.default,
            has_factory=field.default_factory is not msgspec.NODEFAULT,
        )
    return keys


def alternatives(hint: object) -> tuple[object, ...]:
    """Returns the types that a key may have, without None."""
    if get_origin(hint) not in (Union, UnionType):
        return (hint,)
    return tuple(part for part in get_args(hint) if part is not type(None))


def as_table_type(hint: object) -> type[msgspec.Struct] | None:
    """Returns the type if it is the struct of a table, else None."""
    return hint if isinstance(hint, type) and issubclass(hint, msgspec.Struct) else None


def describe_expected(hint: object, key: Key) -> str:
    """Returns a user-facing description of the values that a key accepts."""
    hint = alternatives(hint)[0]
    origin = get_origin(hint)
    if origin is Literal:
        return "one of " + ", ".join(f'"{choice}"' for choice in get_args(hint))
    if origin is list:
        return "a list"
    if origin is dict or as_table_type(hint):
        return TYPE_NAMES.get(hint, "a table")
    return TYPE_NAMES[hint] + format_bounds(hint, key)


def format_bounds(hint: object, key: Key) -> str:
    """Returns the bounds of a key in the units of the file, or an empty text if the key has none.

    >>> format_bounds(Duration, Key("", 1000, 60_000_000)), format_bounds(int, Key("", 1))
    (', from 1ms to 1min', ', from 1')
    >>> format_bounds(str, Key("", 0, 16))
    ', of 0 to 16 characters'
    """
    minimum = format_bound(hint, key.minimum)
    maximum = format_bound(hint, key.maximum)
    if hint is str and maximum:
        return f", of {minimum} to {maximum} characters"
    return (f", from {minimum}" if minimum else "") + (f" to {maximum}" if maximum else "")


def format_bound(hint: object, bound: float | None) -> str | None:
    """Returns one bound in the unit of its type, or None if there is no bound."""
    if bound is None:
        return None
    units = UNITS.get(hint)
    return format_amount(int(bound), units) if units else f"{bound:g}"
