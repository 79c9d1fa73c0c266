"""Finds the line of a file at which a key is written.

Only error messages need it, so the TOML syntax parser is imported when the first error is reported.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import TYPE_CHECKING

from ashpath.config.faults import KeyPath

if TYPE_CHECKING:
    from tree_sitter import Node


class KeyPositions:
    """The line numbers of the keys of one file."""

    def __init__(self, data: bytes) -> None:
        import tree_sitter
        import tree_sitter_toml

        parser = tree_sitter.Parser(tree_sitter.Language(tree_sitter_toml.language()))
        self._lines: dict[KeyPath, int] = {}
        for path, line in document_keys(parser.parse(data).root_node):
            for depth in range(len(path), 0, -1):  # a table without a header starts at its first key
                self._lines.setdefault(path[:depth], line)

    def line(self, path: KeyPath) -> int:
        """Returns the line of the key, or else of the innermost table around it; lines count from 1.

        Returns 1 if the file has none of these tables.
        """
        while path and path not in self._lines:
            path = path[:-1]
        return self._lines.get(path, 1)


def document_keys(root: Node) -> Iterator[tuple[KeyPath, int]]:
    """Yields the path and line of every key and every list item."""
    table_counts: dict[KeyPath, int] = {}
    for node in root.children:
        if node.type == "pair":
            yield from pair_keys(node, ())
        elif node.type in ("table", "table_array_element"):
            path = next((key_parts(child) for child in node.children if "key" in child.type), ())
            if node.type == "table_array_element":
                table_counts[path] = table_counts.get(path, -1) + 1
                path = (*path, table_counts[path])
            yield path, line_number(node)
            for child in node.children:
                if child.type == "pair":
                    yield from pair_keys(child, path)


def pair_keys(pair: Node, table: KeyPath) -> Iterator[tuple[KeyPath, int]]:
    """Yields the key of a pair, and the keys within its value."""
    names = [child for child in pair.children if "key" in child.type]
    path = (*table, *(key_parts(names[0]) if names else ()))
    yield path, line_number(pair)
    yield from value_keys(pair.children[-1], path)


def value_keys(value: Node, path: KeyPath) -> Iterator[tuple[KeyPath, int]]:
    """Yields the keys and list items within a value."""
    if value.type == "inline_table":
        for child in value.children:
            if child.type == "pair":
                yield from pair_keys(child, path)
    elif value.type == "array":
        items = [child for child in value.children if child.is_named and child.type != "comment"]
        for index, item in enumerate(items):
            yield (*path, index), line_number(item)
            yield from value_keys(item, (*path, index))


def key_parts(node: Node) -> KeyPath:
    """Returns the parts of a key, which may be dotted and quoted."""
    if node.type == "dotted_key":
        return tuple(name for child in node.children if "key" in child.type for name in key_parts(child))
    text = (node.text or b"").decode("utf-8", "replace")
    if node.type == "quoted_key":
        text = re.sub(r"\\(.)", r"\1", text[1:-1]) if text[:1] == '"' else text[1:-1]
    return (text,)


def line_number(node: Node) -> int:
    """Returns the line at which the node starts, counted from 1."""
    return node.start_point[0] + 1


def longest_line(text: str) -> int:
    """Returns the number of the longest line, the likeliest cause of a parser error that names no line."""
    lines = text.split("\n")
    return max(range(len(lines)), key=lambda index: len(lines[index])) + 1
