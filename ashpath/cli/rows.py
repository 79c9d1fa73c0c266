"""Rows as people and programs want them: a table on a terminal, tabs between fields else, or JSON lines."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import Any

import orjson


def show(rows: Iterable[dict[str, Any]], as_json: bool) -> None:
    """All rows have the same keys."""
    if as_json:
        for row in rows:
            print(orjson.dumps(row).decode())
        return
    found = list(rows)
    if not found:
        return
    if sys.stdout.isatty():
        from rich.console import Console
        from rich.table import Table

        table = Table(*found[0])
        for row in found:
            table.add_row(*(text(value) for value in row.values()))
        Console().print(table)
        return
    print("\t".join(found[0]))
    for row in found:
        print("\t".join(text(value) for value in row.values()))


def text(value: Any) -> str:
    """
    >>> text(True), text(None), text(1.25), text("a")
    ('yes', '-', '1.25', 'a')
    """
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value is None else str(value)
