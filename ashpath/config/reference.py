"""The reference of every key, for `ashpath explain` and docs/configuration.md: both are made of `shape`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, get_args, get_origin

import msgspec

from ashpath.config.rules import display
from ashpath.config.schema import Configuration, Key, Secret
from ashpath.config.validation import alternatives, expected, keys

HEAD = """# The sender's file

Made by `ashpath explain --markdown` of `ashpath/config/schema.py`; a test fails where this page is stale.

The file is TOML. `ashpath check FILE` says all that is wrong with it at once, each with its line, and
`ashpath serve FILE` starts a sender from it. Durations are written `250ms`, `4s`, `1.5h`, sizes `64KiB`,
`3MB`. Unknown keys are errors. A secret never stands in the file: `{ env = "NAME" }` names a variable,
`{ file = "PATH" }` a file whose text it is. *SIGHUP* says whether a reread takes a change, or the next start
does; the log names both by key.
"""


@dataclass(frozen=True, slots=True)
class Row:
    """One key of the reference."""

    path: str
    wants: str
    default: str  # empty: it must be given
    now: bool
    doc: str


def rows(
    shape: type = Configuration, above: str = "", now: bool = False
) -> Iterator[tuple[str, str, list[Row]]]:
    """Each table: its path, what it is for, and its keys."""
    found, deeper = [], []
    defaults = {row.name: row for row in msgspec.structs.fields(shape)}
    for name, (hint, key) in keys(shape).items():
        path = f"{above}.{name}" if above else name
        inner = alternatives(hint)[0]
        if get_origin(inner) is dict:
            word = "NUMBER" if get_args(inner)[0] is int else "NAME"
            deeper.append((get_args(inner)[1], f"{path}.{word}", now or key.now))
        elif isinstance(inner, type) and issubclass(inner, msgspec.Struct) and inner is not Secret:
            deeper.append((inner, path, now or key.now))
        else:
            found.append(row(path, hint, key, defaults[name], now))
            if get_origin(inner) is list:
                table = alternatives(get_args(inner)[0])[-1]
                if issubclass(table, msgspec.Struct):
                    deeper.append((table, f"{path}[]", now or key.now))
    if found:
        yield above, shape.__doc__ or "", found
    for inner, path, taken in deeper:
        yield from rows(inner, path, taken)


def row(path: str, hint: Any, key: Key, default: Any, now: bool) -> Row:
    if default.required:
        text = ""
    elif default.default_factory is not msgspec.NODEFAULT or default.default in (None, ""):
        text = "none"
    else:
        text = display(default.default)
    return Row(path, expected(hint, key), text, now or key.now, key.doc)


def markdown() -> str:
    """The whole page."""
    text = HEAD
    for path, doc, found in rows():
        text += f"\n## `[{path}]`\n\n{' '.join(doc.split())}\n\n"
        text += "| key | wants | default | SIGHUP | what it is for |\n| --- | --- | --- | --- | --- |\n"
        for one in found:
            name, default = (
                one.path.rsplit(".", 1)[-1],
                f"`{one.default}`" if one.default else "must be given",
            )
            when = "taken" if one.now else "next start"
            text += f"| `{name}` | {one.wants} | {default} | {when} | {one.doc} |\n"
    return text


def plain(wanted: str | None) -> list[str]:
    """Lines for a terminal; of one key, or of all below it. None found: no lines."""
    lines = []
    for _, _, found in rows():
        for one in found:
            if wanted is None or one.path == wanted or one.path.startswith((f"{wanted}.", f"{wanted}[")):
                default = f"default {one.default}" if one.default else "must be given"
                when = "SIGHUP takes it" if one.now else "waits for the next start"
                lines.append(f"{one.path}\n    {one.doc}\n    {one.wants}; {default}; {when}")
    return lines


def paths() -> list[str]:
    """Every key's path."""
    return [one.path for _, _, found in rows() for one in found]
