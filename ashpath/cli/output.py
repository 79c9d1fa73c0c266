"""Rows as people and programs want them: a table on a terminal, tabs between fields else, or JSON lines."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Mapping

import orjson

Row = Mapping[str, object]


def print_json(row: Row) -> None:
    """One line."""
    print(orjson.dumps(row).decode())


def print_rows(rows: Iterable[Row], *, as_json: bool) -> None:
    """All rows have the same keys."""
    if as_json:
        for row in rows:
            print_json(row)
        return
    row_list = list(rows)
    if not row_list:
        return
    if sys.stdout.isatty():
        print_table(row_list)
        return
    print("\t".join(row_list[0]))
    for row in row_list:
        print("\t".join(map(format_cell, row.values())))


def print_table(rows: list[Row]) -> None:
    """On a terminal."""
    from rich.console import Console
    from rich.table import Table

    table = Table(*rows[0])
    for row in rows:
        table.add_row(*map(format_cell, row.values()))
    Console().print(table)


def format_cell(value: object) -> str:
    """A value for people.

    >>> format_cell(True), format_cell(None), format_cell(1.25), format_cell("a")
    ('yes', '-', '1.25', 'a')
    """
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value is None else str(value)
