"""Makes a struct of the schema out of a file's tables, or finds all that is wrong with them at once. No I/O.

Theory of operation: `Validator` walks the tables beside the schema's types and collects faults. msgspec
converts single values only, as it stops at its first fault. A table with a fault anywhere before it makes no
struct, and its place holds None; that never leaves here, as `validate` raises where there is a fault.
"""

from __future__ import annotations

import re
from typing import TypeVar, get_args, get_origin

import msgspec

from ashpath.config.errors import InvalidDocumentError
from ashpath.config.faults import ConfigurationFault, KeyPath, describe
from ashpath.config.schema_keys import TYPE_NAMES, TableKey, alternatives, expected, table_keys, table_type
from ashpath.config.schema_types import Key, Secret
from ashpath.config.units import READERS, Duration, Size

NUMBER = re.compile(r"0|[1-9][0-9]{0,11}", re.ASCII)
UNBOUNDED = Key("")
NUMERIC_TYPES = (int, float, Duration, Size)

Shape = TypeVar("Shape", bound=msgspec.Struct)


def validate(shape: type[Shape], document: object) -> Shape:
    """The struct that the tables make. Raises InvalidDocumentError, with all that keeps them from it."""
    validator = Validator()
    made = validator.table(shape, document, ())
    if validator.faults or made is None:
        raise InvalidDocumentError(validator.faults)
    return made


class Validator:
    """One walk over one file."""

    def __init__(self) -> None:
        self.faults: list[ConfigurationFault] = []

    def fault(self, path: KeyPath, found: str, wanted: str) -> None:
        """Notes one fault."""
        self.faults.append(ConfigurationFault(path, found, wanted))

    def table(self, shape: type[Shape], value: object, path: KeyPath) -> Shape | None:
        """A struct of a table; None where a fault was found so far."""
        if not isinstance(value, dict):
            self.fault(path, describe(value), "a table")
            return None
        keys = table_keys(shape)
        self.unknown_keys(value, keys, path)
        fields: dict[str, object] = {}
        for name, row in keys.items():
            if name in value:
                fields[row.field] = self.value(row.hint, row.key, value[name], (*path, name))
            elif row.required:
                self.fault((*path, name), "nothing", expected(row.hint, row.key))
        return None if self.faults else shape(**fields)

    def unknown_keys(self, value: dict[str, object], keys: dict[str, TableKey], path: KeyPath) -> None:
        """A fault for each key that the schema lacks, with the name that was probably meant."""
        for name in value:
            if name not in keys:
                from difflib import get_close_matches  # only where there is a fault

                near = get_close_matches(name, keys, 1, 0.5)
                hint = f"{near[0]!r}" if near else "one of " + ", ".join(keys)
                self.fault((*path, name), "an unknown key", hint)

    def value(self, hint: object, key: Key, value: object, path: KeyPath) -> object:
        """A value of any type."""
        options = alternatives(hint)
        if options[0] is Secret:
            return self.secret(value, path)
        shape = next(filter(None, map(table_type, options)), None)
        if shape is not None and (len(options) == 1 or isinstance(value, dict)):
            return self.table(shape, value, path)
        origin = get_origin(options[0])
        if origin is dict:
            name_hint, table_hint = get_args(options[0])
            return self.named_tables(name_hint, table_hint, key, value, path)
        if origin is list:
            return self.items(get_args(options[0])[0], key, value, path)
        return self.leaf(options[0], key, value, path)

    def named_tables(
        self, name_hint: object, table_hint: object, key: Key, value: object, path: KeyPath
    ) -> dict[object, object] | None:
        """A table of tables, by names or by numbers."""
        if not isinstance(value, dict):
            self.fault(path, describe(value), "a table of tables")
            return None
        self.count(key, len(value), path, "tables")
        tables: dict[object, object] = {}
        for name, row in value.items():
            row_path = (*path, name)
            if name_hint is not int:
                self.leaf(name_hint, UNBOUNDED, name, row_path)
                tables[name] = self.value(table_hint, UNBOUNDED, row, row_path)
            elif NUMBER.fullmatch(name):
                tables[int(name)] = self.value(table_hint, UNBOUNDED, row, row_path)
            else:
                self.fault(row_path, describe(name), "a whole number as the name of the table")
        return tables

    def items(self, hint: object, key: Key, value: object, path: KeyPath) -> list[object] | None:
        """A list."""
        if not isinstance(value, list):
            self.fault(path, describe(value), "a list")
            return None
        self.count(key, len(value), path, "items")
        return [self.value(hint, UNBOUNDED, item, (*path, at)) for at, item in enumerate(value)]

    def count(self, key: Key, count: int, path: KeyPath, what: str) -> None:
        """A fault where there are too few or too many rows."""
        if not (key.least or 0) <= count <= (key.most or count):
            self.fault(path, f"{count} {what}", f"{key.least:g} to {key.most:g}")

    def leaf(self, hint: object, key: Key, value: object, path: KeyPath) -> object:
        """A single value within its bounds."""
        try:
            found = convert_value(hint, value)
        except (msgspec.ValidationError, ValueError):
            self.fault(path, describe(value), expected(hint, key))
            return None
        if not within_bounds(hint, key, found):
            self.fault(path, describe(value), expected(hint, key))
            return None
        return found

    def secret(self, value: object, path: KeyPath) -> Secret | None:
        """Where a secret is. What was found is not said: it may be the secret itself."""
        try:
            found = msgspec.convert(value, Secret)
        except msgspec.ValidationError:
            found = Secret()
        if bool(found.env) == bool(found.file) or "\0" in found.env + found.file or "=" in found.env:
            self.fault(path, "something else", TYPE_NAMES[Secret])
            return None
        return found


def convert_value(hint: object, value: object) -> object:
    """The value as its type; ValueError or msgspec.ValidationError where it is none."""
    if hint in READERS:
        return READERS[hint](value)
    converted: object = msgspec.convert(value, hint)
    return converted


def within_bounds(hint: object, key: Key, value: object) -> bool:
    """Whether a number, or the length of a text that has bounds, lies within them."""
    if isinstance(value, str):
        if hint is not str or key.most is None:
            return True
        amount: float = len(value)
    elif hint in NUMERIC_TYPES and isinstance(value, int | float):
        amount = value
    else:
        return True
    least = -float("inf") if key.least is None else key.least
    most = float("inf") if key.most is None else key.most
    return least <= amount <= most  # so that a NaN, which is neither less nor more, is refused
