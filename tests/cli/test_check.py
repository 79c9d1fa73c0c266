"""`ashpath check`."""

from __future__ import annotations

from pathlib import Path

import pytest
from support.configuration import TEXT, write_file

from ashpath.cli.check import command


def test_valid_file_is_reported_as_sound(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert command.main([str(write_file(tmp_path, TEXT))], standalone_mode=False) == 0
    out, err = capsys.readouterr()
    assert "sound: 2 tracks" in out
    assert not err


def test_invalid_file_prints_fault_and_exits_2(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert command.main([str(write_file(tmp_path, TEXT + "x"))], standalone_mode=False) == 2
    out, err = capsys.readouterr()
    assert not out
    assert len(err.splitlines()) == 1
