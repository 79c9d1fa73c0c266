"""`ashpath check`."""

from __future__ import annotations

from pathlib import Path

import pytest
from support.configuration import TEXT, write_file

from ashpath.cli.check import command


def test_a_sound_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert command.main([str(write_file(tmp_path, TEXT))], standalone_mode=False) == 0
    out, err = capsys.readouterr()
    assert "sound: 2 tracks" in out
    assert not err


def test_a_faulty_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert command.main([str(write_file(tmp_path, TEXT + "x"))], standalone_mode=False) == 2
    out, err = capsys.readouterr()
    assert not out
    assert len(err.splitlines()) == 1
