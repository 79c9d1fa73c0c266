"""The file of detached endpoints: it survives the process, and an unreadable one detaches no endpoint."""

from __future__ import annotations

from pathlib import Path

import pytest
from support.loggers import RecordingLogger

from ashpath.server.storage.detached_endpoints import FILE_NAME, DetachedEndpoints

UNREADABLE = [b'{"version": 1, "held": ["e1"', b'{"version": 9, "held": []}', b"\xff", b"[1]"]


def test_detached_endpoints_outlive_the_process(tmp_path: Path) -> None:
    log = RecordingLogger()
    for endpoint_id in ("e1", "e2"):
        DetachedEndpoints(tmp_path, log.logger).change(endpoint_id, detached=True)
    assert DetachedEndpoints(tmp_path, log.logger).read() == {"e1", "e2"}
    assert not log.events
    # No temporary file is left beside the file and its lock.
    assert sorted(path.name for path in tmp_path.iterdir()) == [FILE_NAME, f"{FILE_NAME}.lock"]


@pytest.mark.parametrize("content", UNREADABLE)
def test_unreadable_file_counts_as_no_detached_endpoint(tmp_path: Path, content: bytes) -> None:
    log = RecordingLogger()
    (tmp_path / FILE_NAME).write_bytes(content)
    assert DetachedEndpoints(tmp_path, log.logger).read() == set()
    assert log.events == ["detached endpoints not read, none are detached"]
