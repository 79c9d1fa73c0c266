"""Formats and levels of log lines."""

from __future__ import annotations

import pytest
import structlog

from ashpath.server.logs import RENDERERS, LogFormat

VALUES = ["plain", b"\xff", object(), "two\nlines", "\ud800", {"a b": 1}]


@pytest.mark.parametrize("form", RENDERERS)
def test_every_renderer_accepts_any_value(form: str) -> None:
    log_format = LogFormat("info", form)
    for value in VALUES:
        assert log_format(None, "info", {"event": "e", "level": "info", "what": value})
    assert log_format(None, "info", {"event": "e", "a b": 1})


def test_lines_below_the_level_are_dropped() -> None:
    log_format = LogFormat("warning")
    assert log_format.filter_by_level(None, "error", {"event": "e"}) == {"event": "e"}
    with pytest.raises(structlog.DropEvent):
        log_format.filter_by_level(None, "info", {"event": "e"})
    log_format.configure("debug", "json")
    assert log_format.filter_by_level(None, "debug", {"event": "e"}) == {"event": "e"}
