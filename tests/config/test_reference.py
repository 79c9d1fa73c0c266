"""The generated reference of every key."""

from __future__ import annotations

from support.sender_harness import ROOT

from ashpath.config.reference import markdown_page, terminal_lines


def test_configuration_page_matches_schema() -> None:
    page = (ROOT / "docs" / "configuration.md").read_text()
    assert page == markdown_page(), "run: ashpath explain --markdown"


def test_terminal_lines_cover_key_or_table() -> None:
    assert len(terminal_lines("rules.slots")) == 1
    assert len(terminal_lines("rules")) > 10
    assert not terminal_lines("rules.slot")
