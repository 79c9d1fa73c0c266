"""Prints rows as a table on a terminal, as tab-separated fields elsewhere, or as lines of JSON."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Mapping

import orjson

Row = Mapping[str, object]


def print_json(row: Row) -> None:
    """Prints one line of JSON."""
    print(orjson.dumps(row).decode())


def print_rows(rows: Iterable[Row], *, as_json: bool) -> None:
    """Prints rows, all of which have the same keys."""
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
    """Prints rows as a table on a terminal."""
    from rich.console import Console
    from rich.table import Table

    table = Table(*rows[0])
    for row in rows:
        table.add_row(*map(format_cell, row.values()))
    Console().print(table)


def format_cell(value: object) -> str:
    """Formats a value for people.

    >>> format_cell(True), format_cell(None), format_cell(1.25), format_cell("a")
    ('yes', '-', '1.25', 'a')
    """
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value is None else str(value)
