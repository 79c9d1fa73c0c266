"""Compares the log events of the code with their page."""

from __future__ import annotations

import ast
import re

from support.sender_harness import ROOT

# Events whose text is chosen at run time, by file.
CONDITIONAL_EVENTS = {"admission.py": ["write-ahead log full", "write-ahead log has space"]}


def test_log_lines_page_lists_every_event_with_its_fields() -> None:
    """The page lists every event of the code with its fields, and no other event."""
    page = (ROOT / "docs" / "log-lines.md").read_text()
    documented_events = {
        name: set(re.findall(r"`(\w+)`", fields))
        for name, _, fields in re.findall(r"^\| `([^`]+)` \| (\w+) \| ([^|]*) \|", page, re.M)
    }
    logged_events: dict[str, set[str]] = {}
    for path in [*(ROOT / "ashpath" / "server").rglob("*.py"), *(ROOT / "ashpath" / "cli").rglob("*.py")]:
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            if node.func.attr not in ("debug", "info", "warning", "error", "exception") or not node.args:
                continue
            owner = ast.unparse(node.func.value)
            if not owner.endswith(("log", "logger")):
                continue
            events = (
                [node.args[0].value]
                if isinstance(node.args[0], ast.Constant)
                else CONDITIONAL_EVENTS[path.name]
            )
            fields = {keyword.arg or "" for keyword in node.keywords}
            fields |= {"exception"} if node.func.attr == "exception" else set()
            for event in events:
                assert isinstance(event, str)
                logged_events[event] = logged_events.get(event, set()) | fields
    assert logged_events == documented_events
