"""Stores the figures of a benchmark."""

from __future__ import annotations

import os
import platform
import subprocess
from collections.abc import Mapping
from pathlib import Path

import orjson

ROOT = Path(__file__).parent.parent
FIGURES = Path(__file__).parent / "figures"


def measured_commit() -> str:
    """Returns the measured commit, followed by + if the work tree differs from the commit."""
    command = ["git", "-C", str(ROOT), "describe", "--always", "--dirty=+", "--exclude=*"]
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout.strip()


def store_figures(name: str, command: str, figures: Mapping[str, object]) -> None:
    """Prints the figures and writes them to `figures`, with the command, the commit and the machine."""
    machine = f"{os.cpu_count()} cores, Python {platform.python_version()}"
    row = {"command": command, "commit": measured_commit(), "machine": machine, **figures}
    text = orjson.dumps(row, option=orjson.OPT_INDENT_2).decode()
    (FIGURES / f"{name}.json").write_text(text + "\n")
    print(text)
