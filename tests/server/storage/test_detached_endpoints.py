"""Detached endpoints on disk."""

from __future__ import annotations

from pathlib import Path

import pytest

from ashpath.server.storage import detached_endpoints as holds


@pytest.mark.parametrize(
    "spoilt", [b'{"version": 1, "held": ["e1"', b'{"version": 9, "held": []}', b"\xff", b"[1]"]
)
def test_holds_outlive_the_process_and_torn_files_are_nothing(tmp_path: Path, spoilt: bytes) -> None:
    lines: list[str] = []
    log = type("Log", (), {"error": lambda self, event, **_: lines.append(event)})()
    holds.write(tmp_path, {"e1", "e2"})
    assert holds.read(tmp_path, log) == {"e1", "e2"} and not lines
    assert [path.name for path in tmp_path.iterdir()] == [holds.NAME]  # nothing of the process left beside
    (tmp_path / holds.NAME).write_bytes(spoilt)
    assert holds.read(tmp_path, log) == set() and lines == ["detached endpoints not read, none are detached"]
