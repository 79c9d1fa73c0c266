"""At which line of a file a key stands: for error lines only, so nothing is loaded until there is one."""

from __future__ import annotations

import re
from typing import Any

from ashpath.config.validation import Path


class Places:
    """Where the keys of one file are."""

    def __init__(self, data: bytes) -> None:
        import tree_sitter
        import tree_sitter_toml

        parser = tree_sitter.Parser(tree_sitter.Language(tree_sitter_toml.language()))
        self.lines: dict[Path, int] = {}
        for path, line in keys(parser.parse(data).root_node):
            for depth in range(len(path), 0, -1):  # a table without a head stands where its first part does
                self.lines.setdefault(path[:depth], line)

    def line(self, path: Path) -> int:
        """The line of the key, or of the nearest table that should have it, from 1; 1 where none does."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


def keys(root: Any) -> list[tuple[Path, int]]:
    """Every key and every item of a list with its path and line."""
    found: list[tuple[Path, int]] = []
    counts: dict[Path, int] = {}
    for node in root.children:
        if node.type == "pair":
            pair(node, (), found)
        elif node.type in ("table", "table_array_element"):
            head = next((parts(child) for child in node.children if "key" in child.type), ())
            if node.type == "table_array_element":
                counts[head] = counts.get(head, -1) + 1
                head = (*head, counts[head])
            found.append((head, node.start_point[0] + 1))
            for child in node.children:
                if child.type == "pair":
                    pair(child, head, found)
    return found


def pair(node: Any, above: Path, found: list[tuple[Path, int]]) -> None:
    names = [child for child in node.children if "key" in child.type]
    value = node.children[-1]
    path = (*above, *(parts(names[0]) if names else ()))
    found.append((path, node.start_point[0] + 1))
    inside(value, path, found)


def inside(value: Any, path: Path, found: list[tuple[Path, int]]) -> None:
    if value.type == "inline_table":
        for child in value.children:
            if child.type == "pair":
                pair(child, path, found)
    elif value.type == "array":
        items = [child for child in value.children if child.is_named and child.type != "comment"]
        for at, item in enumerate(items):
            found.append(((*path, at), item.start_point[0] + 1))
            inside(item, (*path, at), found)


def parts(node: Any) -> Path:
    """The names of a key, dotted or not, quoted or not."""
    if node.type == "dotted_key":
        return tuple(name for child in node.children if "key" in child.type for name in parts(child))
    text = node.text.decode("utf-8", "replace")
    if node.type == "quoted_key":
        text = re.sub(r"\\(.)", r"\1", text[1:-1]) if text[:1] == '"' else text[1:-1]
    return (text,)


def suspect(text: str) -> int:
    """The line that a parser most likely choked on where it does not say: the longest one."""
    lines = text.split("\n")
    return max(range(len(lines)), key=lambda at: len(lines[at])) + 1
