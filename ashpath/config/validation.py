"""Converts the tables of a file to a struct of the schema, or reports all their faults together. No I/O.

Theory of operation: `Validator` walks the tables in parallel with the schema's types and collects faults.
msgspec converts single values only, as it stops at its first fault. After the first fault, tables are still
checked, but each yields None in place of a struct. No caller sees such a None, as `validate` raises if any
fault was found.
"""

from __future__ import annotations

import re
from typing import TypeVar, get_args, get_origin

import msgspec

from ashpath.config.errors import InvalidDocumentError
from ashpath.config.faults import ConfigurationFault, KeyPath, describe_value
from ashpath.config.schema_keys import (
    TYPE_NAMES,
    TableKey,
    alternatives,
    as_table_type,
    describe_expected,
    table_keys,
)
from ashpath.config.schema_types import Key, Secret
from ashpath.config.units import PARSERS, Duration, Size

NUMBER = re.compile(r"0|[1-9][0-9]{0,11}", re.ASCII)
UNBOUNDED = Key("")
NUMERIC_TYPES = (int, float, Duration, Size)

StructType = TypeVar("StructType", bound=msgspec.Struct)


def validate(struct_type: type[StructType], document: object) -> StructType:
    """Returns the struct that the tables describe. Raises InvalidDocumentError with all faults."""
    validator = Validator()
    struct = validator.validate_table(struct_type, document, ())
    if validator.faults or struct is None:
        raise InvalidDocumentError(validator.faults)
    return struct


class Validator:
    """Validates one file and collects its faults."""

    def __init__(self) -> None:
        self.faults: list[ConfigurationFault] = []

    def add_fault(self, path: KeyPath, found: str, expected: str) -> None:
        """Records one fault."""
        self.faults.append(ConfigurationFault(path, found, expected))

    def validate_table(
        self, struct_type: type[StructType], value: object, path: KeyPath
    ) -> StructType | None:
        """Returns the struct of a table, or None if any fault has been found so far."""
        if not isinstance(value, dict):
            self.add_fault(path, describe_value(value), "a table")
            return None
        keys = table_keys(struct_type)
        self.check_unknown_keys(value, keys, path)
        fields: dict[str, object] = {}
        for name, row in keys.items():
            if name in value:
                fields[row.field] = self.validate_value(row.hint, row.key, value[name], (*path, name))
            elif row.required:
                self.add_fault((*path, name), "nothing", describe_expected(row.hint, row.key))
        return None if self.faults else struct_type(**fields)

    def check_unknown_keys(self, value: dict[str, object], keys: dict[str, TableKey], path: KeyPath) -> None:
        """Records a fault for each key that the schema lacks, with the most similar key as a suggestion."""
        for name in value:
            if name not in keys:
                from difflib import get_close_matches  # imported only when there is a fault

                matches = get_close_matches(name, keys, 1, 0.5)
                suggestion = f"{matches[0]!r}" if matches else "one of " + ", ".join(keys)
                self.add_fault((*path, name), "an unknown key", suggestion)

    def validate_value(self, hint: object, key: Key, value: object, path: KeyPath) -> object:
        """Returns the converted value of a key of any type, or None if it has a fault."""
        options = alternatives(hint)
        if options[0] is Secret:
            return self.validate_secret(value, path)
        struct_type = next(filter(None, map(as_table_type, options)), None)
        if struct_type is not None and (len(options) == 1 or isinstance(value, dict)):
            return self.validate_table(struct_type, value, path)
        origin = get_origin(options[0])
        if origin is dict:
            name_hint, table_hint = get_args(options[0])
            return self.validate_named_tables(name_hint, table_hint, key, value, path)
        if origin is list:
            return self.validate_list(get_args(options[0])[0], key, value, path)
        return self.validate_scalar(options[0], key, value, path)

    def validate_named_tables(
        self, name_hint: object, table_hint: object, key: Key, value: object, path: KeyPath
    ) -> dict[object, object] | None:
        """Returns the tables below a table, by name or by number, or None if the value is no table."""
        if not isinstance(value, dict):
            self.add_fault(path, describe_value(value), "a table of tables")
            return None
        self.check_count(key, len(value), path, "tables")
        tables: dict[object, object] = {}
        for name, row in value.items():
            row_path = (*path, name)
            if name_hint is not int:
                self.validate_scalar(name_hint, UNBOUNDED, name, row_path)
                tables[name] = self.validate_value(table_hint, UNBOUNDED, row, row_path)
            elif NUMBER.fullmatch(name):
                tables[int(name)] = self.validate_value(table_hint, UNBOUNDED, row, row_path)
            else:
                self.add_fault(row_path, describe_value(name), "a whole number as the name of the table")
        return tables

    def validate_list(self, hint: object, key: Key, value: object, path: KeyPath) -> list[object] | None:
        """Returns the converted items of a list, or None if the value is no list."""
        if not isinstance(value, list):
            self.add_fault(path, describe_value(value), "a list")
            return None
        self.check_count(key, len(value), path, "items")
        return [
            self.validate_value(hint, UNBOUNDED, item, (*path, index)) for index, item in enumerate(value)
        ]

    def check_count(self, key: Key, count: int, path: KeyPath, noun: str) -> None:
        """Records a fault if a table or list has too few or too many entries."""
        if not (key.minimum or 0) <= count <= (key.maximum or count):
            self.add_fault(path, f"{count} {noun}", f"{key.minimum:g} to {key.maximum:g}")

    def validate_scalar(self, hint: object, key: Key, value: object, path: KeyPath) -> object:
        """Returns a converted value that is no table or list, or None if it is invalid or out of bounds."""
        try:
            converted = convert_value(hint, value)
        except (msgspec.ValidationError, ValueError):
            self.add_fault(path, describe_value(value), describe_expected(hint, key))
            return None
        if not within_bounds(hint, key, converted):
            self.add_fault(path, describe_value(value), describe_expected(hint, key))
            return None
        return converted

    def validate_secret(self, value: object, path: KeyPath) -> Secret | None:
        """Returns the location of a secret, or None if it is invalid.

        The fault does not show the value that was found, as it may be the secret itself.
        """
        try:
            secret = msgspec.convert(value, Secret)
        except msgspec.ValidationError:
            secret = Secret()
        if bool(secret.env) == bool(secret.file) or "\0" in secret.env + secret.file or "=" in secret.env:
            self.add_fault(path, "something else", TYPE_NAMES[Secret])
            return None
        return secret


def convert_value(hint: object, value: object) -> object:
    """Returns the value converted to its type. Raises ValueError or msgspec.ValidationError."""
    if hint in PARSERS:
        return PARSERS[hint](value)
    converted: object = msgspec.convert(value, hint)
    return converted


def within_bounds(hint: object, key: Key, value: object) -> bool:
    """Returns whether a number, or the length of a text, lies within the bounds of its key."""
    if isinstance(value, str):
        if hint is not str or key.maximum is None:
            return True
        amount: float = len(value)
    elif hint in NUMERIC_TYPES and isinstance(value, int | float):
        amount = value
    else:
        return True
    minimum = -float("inf") if key.minimum is None else key.minimum
    maximum = float("inf") if key.maximum is None else key.maximum
    return minimum <= amount <= maximum  # false for a NaN, which is thereby rejected
