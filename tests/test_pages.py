"""Checks that the files that the pages name exist, and the tests that docs/endings.md names for each path."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LIVING = (
    "README.md",
    "architecture",
    "command-line",
    "design",
    "endings",
    "frame",
    "log-lines",
    "migration",
    "on-call",
)
PAGES = [ROOT / (name if name.endswith(".md") else f"docs/{name}.md") for name in LIVING]
FILE = re.compile(r"`((?:ashpath|benchmarks|deploy|docs|tests)/[\w/.-]+\.(?:py|md|toml|txt))")
MODULE = re.compile(r"`((?:bench_adapter|cli|config|core|emulator|policy|server)/[\w/]+\.py)`")
TEST = re.compile(r"`(tests/[\w/]+\.py)::(test_\w+)`")
LINK = re.compile(r"\]\(([\w/.-]+\.md)\)")


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_files_that_a_page_names_exist(page: Path) -> None:
    text = page.read_text()
    files = {ROOT / name for name in FILE.findall(text)}
    files |= {ROOT / "ashpath" / name for name in MODULE.findall(text)}
    files |= {page.parent / name for name in LINK.findall(text)}
    assert [str(file) for file in sorted(files) if not file.exists()] == []


def test_tests_that_the_page_of_endings_names_exist() -> None:
    named = TEST.findall((ROOT / "docs" / "endings.md").read_text())
    missing = [(file, name) for file, name in named if name not in functions(ROOT / file)]
    assert len(named) > 40
    assert missing == []


def functions(file: Path) -> set[str]:
    tree = ast.parse(file.read_text()) if file.exists() else ast.Module([], [])
    return {node.name for node in ast.walk(tree) if isinstance(node, ast.FunctionDef)}
