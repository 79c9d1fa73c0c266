"""Generates the reference of every key from the schema, for `ashpath explain` and docs/configuration.md."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import get_args, get_origin

import msgspec

from ashpath.config.schema import Configuration
from ashpath.config.schema_keys import TableKey, alternatives, as_table_type, describe_expected, table_keys
from ashpath.config.schema_types import Secret
from ashpath.config.units import SIZES, TIMES, Duration, Size, format_amount

PAGE_HEADER = """# The sender's file

`ashpath explain --markdown` generates this page from `ashpath/config/schema.py`; a test fails if it is stale.

The file is TOML. `ashpath check FILE` reports all errors in it at once, each with its line, and
`ashpath serve FILE` starts a sender from it. Durations are written as `250ms`, `4s` or `1.5h`, sizes as
`64KiB` or `3MB`. Unknown keys are errors. The file never contains a secret: `{ env = "NAME" }` names an
environment variable that holds it, `{ file = "PATH" }` a file whose content it is. The column *applied* says
whether a change of the key is applied by a reload (SIGHUP) or at the next start; the log names the changed
keys of both groups.
"""


@dataclass(frozen=True, slots=True)
class ReferenceKey:
    """The entry of one key in the reference."""

    path: str
    expected: str
    default: str
    """Empty if the key is required."""
    reloadable: bool
    doc: str

    @property
    def name(self) -> str:
        """Returns the last part of the path."""
        return self.path.rsplit(".", 1)[-1]


@dataclass(frozen=True, slots=True)
class ReferenceTable:
    """The section of one table in the reference."""

    path: str
    doc: str
    keys: list[ReferenceKey]


@dataclass(frozen=True, slots=True)
class InnerTable:
    """A table nested in another one."""

    struct_type: type[msgspec.Struct]
    path: str
    reloadable: bool


def reference_tables(
    struct_type: type[msgspec.Struct] = Configuration, path: str = "", *, reloadable: bool = False
) -> Iterator[ReferenceTable]:
    """Yields each table of the file that has keys of its own, before the tables nested in it."""
    keys: list[ReferenceKey] = []
    inner_tables: list[InnerTable] = []
    for name, row in table_keys(struct_type).items():
        row_path = f"{path}.{name}" if path else name
        inner = inner_table(row, row_path, reloadable=reloadable or row.key.reloadable)
        if inner is not None:
            inner_tables.append(inner)
        if inner is None or inner.path.endswith("[]"):
            keys.append(reference_key(row, row_path, reloadable=reloadable or row.key.reloadable))
    if keys:
        yield ReferenceTable(path, struct_type.__doc__ or "", keys)
    for table in inner_tables:
        yield from reference_tables(table.struct_type, table.path, reloadable=table.reloadable)


def inner_table(row: TableKey, path: str, *, reloadable: bool) -> InnerTable | None:
    """Returns the table that a key holds, by name, in a list, or alone; None if the key holds no table."""
    hint = alternatives(row.hint)[0]
    if get_origin(hint) is dict:
        name_hint, inner = get_args(hint)
        path += ".NUMBER" if name_hint is int else ".NAME"
    elif get_origin(hint) is list:
        inner = alternatives(get_args(hint)[0])[-1]
        path += "[]"
    else:
        inner = hint
    struct_type = as_table_type(inner)
    return None if struct_type is None or struct_type is Secret else InnerTable(struct_type, path, reloadable)


def reference_key(row: TableKey, path: str, *, reloadable: bool) -> ReferenceKey:
    """Returns the entry of one key."""
    if row.required:
        default = ""
    elif row.has_factory or row.default in (None, ""):
        default = "none"
    else:
        default = format_value(row.default)
    return ReferenceKey(path, describe_expected(row.hint, row.key), default, reloadable, row.key.doc)


def format_value(value: object) -> str:
    """Returns a value as the file represents it."""
    if isinstance(value, Duration):
        return f'"{format_amount(value, TIMES)}"'
    if isinstance(value, Size):
        return f'"{format_amount(value, SIZES)}"'
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:g}"
    return f'"{value}"' if isinstance(value, str) else str(value)


def markdown_page() -> str:
    """Returns the text of docs/configuration.md."""
    text = PAGE_HEADER
    for table in reference_tables():
        text += f"\n## `[{table.path}]`\n\n{' '.join(table.doc.split())}\n\n"
        text += "| key | value | default | applied | description |\n| --- | --- | --- | --- | --- |\n"
        for key in table.keys:
            default = f"`{key.default}`" if key.default else "required"
            when = "by SIGHUP" if key.reloadable else "at the next start"
            text += f"| `{key.name}` | {key.expected} | {default} | {when} | {key.doc} |\n"
    return text


def terminal_lines(key_path: str | None) -> list[str]:
    """Returns the entries of a key and of all keys below it, or of all keys if the path is None.

    The list is empty if no key has this path.
    """
    lines = []
    for key in reference_keys():
        if key_path is None or key.path == key_path or key.path.startswith((f"{key_path}.", f"{key_path}[")):
            default = f"default {key.default}" if key.default else "required"
            when = "applied by SIGHUP" if key.reloadable else "applied at the next start"
            lines.append(f"{key.path}\n    {key.doc}\n    {key.expected}; {default}; {when}")
    return lines


def key_paths() -> list[str]:
    """Returns the path of every key."""
    return [key.path for key in reference_keys()]


def reference_keys() -> Iterator[ReferenceKey]:
    """Yields the entry of every key, table by table."""
    for table in reference_tables():
        yield from table.keys
