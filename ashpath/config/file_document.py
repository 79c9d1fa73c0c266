"""Converts a configuration, or a table of it, back to the form of the sender's own file."""

from __future__ import annotations

import msgspec

from ashpath.config.units import SIZES, TIMES, Duration, Size, format_amount
from ashpath.core.json_types import JsonObject


def file_document(table: msgspec.Struct) -> JsonObject:
    """Returns a configuration, or a table of it, in the form of the sender's own file.

    Defaults are included; fields that are None are left out.
    """
    values = {field.encode_name: getattr(table, field.name) for field in msgspec.structs.fields(table)}
    return {name: file_value(value) for name, value in values.items() if value is not None}


def file_value(value: object) -> object:
    """Returns a value as TOML and JSON represent it; durations and sizes become texts with units."""
    if isinstance(value, msgspec.Struct):
        return file_document(value)
    if isinstance(value, dict):
        return {str(name): file_value(item) for name, item in value.items()}
    if isinstance(value, list):
        return [file_value(item) for item in value]
    if isinstance(value, Duration):
        return format_amount(value, TIMES)
    return format_amount(value, SIZES) if isinstance(value, Size) else value
