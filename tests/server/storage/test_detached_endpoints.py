"""The file of detached endpoints: it survives the process, and an unreadable one detaches no endpoint."""

from __future__ import annotations

import os
import subprocess
from pathlib import Path

import pytest
from support.loggers import RecordingLogger

from ashpath.server.storage.atomic_file import remove_earlier_temporaries
from ashpath.server.storage.detached_endpoints import FILE_NAME, MAX_FILE_BYTES, DetachedEndpoints
from ashpath.server.storage.directory_lock import LOCK_FILE
from ashpath.server.storage.errors import DetachedEndpointsError

UNREADABLE = [b'{"version": 1, "held": ["e1"', b'{"version": 9, "held": []}', b"\xff", b"[1]"]


def test_detached_endpoints_outlive_the_process(tmp_path: Path) -> None:
    log = RecordingLogger()
    for endpoint_id in ("e1", "e2"):
        DetachedEndpoints(tmp_path, log.logger).change(endpoint_id, detached=True)
    assert DetachedEndpoints(tmp_path, log.logger).read() == {"e1", "e2"}
    assert not log.events
    # No temporary file is left beside the file, its lock, and the lock of the directory.
    assert sorted(path.name for path in tmp_path.iterdir()) == [LOCK_FILE, FILE_NAME, f"{FILE_NAME}.lock"]


def test_file_size_is_bounded(tmp_path: Path) -> None:
    """Guards against ids whose file takes the room of the write-ahead log; the file is left as it was."""
    endpoints = DetachedEndpoints(tmp_path, RecordingLogger().logger)
    ids = [f"endpoint-{number}-" + "x" * 1000 for number in range(15)]
    for endpoint_id in ids:
        endpoints.change(endpoint_id, detached=True)
    with pytest.raises(DetachedEndpointsError, match="bytes"):
        endpoints.change("x" * 2000, detached=True)
    assert endpoints.read() == set(ids)
    assert (tmp_path / FILE_NAME).stat().st_size <= MAX_FILE_BYTES


def test_temporary_files_of_killed_processes_are_removed(tmp_path: Path) -> None:
    """Guards against a file for each kill within a replacement, as earlier releases leave them."""
    ended = subprocess.Popen(["true"])
    ended.wait()
    for name in (f"outages.{ended.pid}", f"clock.{os.getpid()}", f"outages.{ended.pid}x"):
        (tmp_path / name).write_bytes(b"x")
    remove_earlier_temporaries(tmp_path)
    assert sorted(path.name for path in tmp_path.iterdir()) == [
        f"clock.{os.getpid()}",
        f"outages.{ended.pid}x",
    ]


@pytest.mark.parametrize("content", UNREADABLE)
def test_unreadable_file_counts_as_no_detached_endpoint(tmp_path: Path, content: bytes) -> None:
    log = RecordingLogger()
    (tmp_path / FILE_NAME).write_bytes(content)
    assert DetachedEndpoints(tmp_path, log.logger).read() == set()
    assert log.events == ["detached endpoints not read, none are detached"]
