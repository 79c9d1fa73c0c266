"""Where a measurement's figures go."""

from __future__ import annotations

import os
import platform
import subprocess
from pathlib import Path
from typing import Any

import orjson

ROOT = Path(__file__).parent.parent
FIGURES = Path(__file__).parent / "figures"


def commit() -> str:
    """The commit that was measured; a + behind it where the work tree differs."""
    words = ["git", "-C", str(ROOT), "describe", "--always", "--dirty=+", "--exclude=*"]
    return subprocess.run(words, capture_output=True, text=True, check=True).stdout.strip()


def keep(name: str, command: str, figures: dict[str, Any]) -> None:
    """Prints the figures and writes them beside the others."""
    machine = f"{os.cpu_count()} cores, Python {platform.python_version()}"
    told = {"command": command, "commit": commit(), "machine": machine, **figures}
    text = orjson.dumps(told, option=orjson.OPT_INDENT_2).decode()
    (FIGURES / f"{name}.json").write_text(text + "\n")
    print(text)
