"""The monitor of the state directory's disk space."""

from __future__ import annotations

from pathlib import Path
from unittest.mock import Mock

from ashpath.server.directory_monitor import DirectoryMonitor


def test_excess_is_logged_once_with_its_files(tmp_path: Path) -> None:
    """Guards against an excess that no line and no gauge shows, as in a hot upgrade of review/3."""
    logger = Mock()
    monitor = DirectoryMonitor(tmp_path, 2048, 0.25, logger)
    (tmp_path / "journal").write_bytes(b"x" * 1025)  # three blocks
    monitor.measure()
    assert (monitor.bytes, monitor.over_limit) == (1536, False)
    (tmp_path / "journal-7").write_bytes(b"x" * 513)
    monitor.measure()
    monitor.measure()
    logger.error.assert_called_once_with(
        "state directory over its limit", bytes=2560, max_bytes=2048, files="journal:1536,journal-7:1024"
    )
    (tmp_path / "journal").write_bytes(b"")
    monitor.measure()
    logger.info.assert_called_once_with("state directory within its limit", bytes=1024, max_bytes=2048)
    assert monitor.peak_bytes == 2560


def test_directory_that_cannot_be_listed_keeps_its_last_size(tmp_path: Path) -> None:
    (tmp_path / "state").mkdir()
    (tmp_path / "state" / "journal").write_bytes(b"x")
    monitor = DirectoryMonitor(tmp_path / "state", 2048, 0.25, Mock())
    monitor.measure()
    (tmp_path / "state").rename(tmp_path / "gone")
    monitor.measure()
    assert monitor.bytes == 512
