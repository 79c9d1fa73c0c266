"""Rotating file: rotation by size, reopening, partial writes."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from support.failing_disk import SHORT, FailingDisk, failing_calls

from ashpath.server.delivery.rotating_file import RotatingFile
from ashpath.server.storage.errors import PartialWriteError


def test_full_file_is_rotated_and_oldest_dropped(tmp_path: Path) -> None:
    file = RotatingFile(tmp_path / "n", 100, 2)
    for number in range(30):
        file.append(b"%030d\n" % number)
    assert sorted(path.name for path in tmp_path.iterdir()) == ["n", "n.1", "n.2"]
    assert (tmp_path / "n").read_bytes().endswith(b"29\n")
    assert (tmp_path / "n.2").stat().st_size <= 100


def test_reopened_file_counts_its_existing_bytes(tmp_path: Path) -> None:
    file = RotatingFile(tmp_path / "n", 100, 2)
    for number in range(30):
        file.append(b"%030d\n" % number)
    assert RotatingFile(tmp_path / "n", 100, 2).written == file.written == (tmp_path / "n").stat().st_size


def test_partial_write_leaves_nothing_in_the_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file = RotatingFile(tmp_path / "n", 100, 2)
    file.append(b"whole\n")
    write = os.write
    monkeypatch.setattr(os, "write", lambda descriptor, data: write(descriptor, data[:3]))
    with pytest.raises(PartialWriteError, match="only 3 of 5 bytes written"):
        file.append(b"torn\n")
    assert (tmp_path / "n").read_bytes() == b"whole\n"


def test_partial_write_that_cannot_be_truncated_does_not_join_the_next_line(tmp_path: Path) -> None:
    file = RotatingFile(tmp_path / "n", 100, 2)
    file.append(b"whole\n")
    with (
        failing_calls(FailingDisk("write", SHORT, 0, 1), FailingDisk("ftruncate", "EIO", 0, 1)),
        pytest.raises(OSError, match="injected"),
    ):
        file.append(b"torn\n")
    file.append(b"next\n")
    assert (tmp_path / "n").read_bytes() == b"whole\nnext\n"


def test_line_cut_off_by_a_kill_does_not_join_the_next_line(tmp_path: Path) -> None:
    (tmp_path / "n").write_bytes(b"whole\nto")
    file = RotatingFile(tmp_path / "n", 100, 2)
    file.append(b"next\n")
    file.append(b"last\n")
    assert (tmp_path / "n").read_bytes() == b"whole\nto\nnext\nlast\n"
    assert file.written == (tmp_path / "n").stat().st_size
