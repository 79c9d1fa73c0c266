"""A sender's TOML file for tests of the configuration, and the errors of changed versions of it."""

from __future__ import annotations

from pathlib import Path

from ashpath.config.errors import InvalidConfigurationError
from ashpath.config.loading import read_configuration
from support.sender_harness import ROOT

EXAMPLE = ROOT / "deploy" / "sender.toml"
TEXT = """[sender]
name = "n0"
listen = "127.0.0.1:7070"
seed = "8c1f"
number = 1
senders = 3

[tracks.check-status]
repeat = "repeatable"
promised = "4s"
cutoff = "16s"
payoff = 3.0

[tracks.check-result]
repeat = "tagged"
window = "5s"
promised = "4s"
cutoff = "20s"
late_share = 0.25
whole_group = false
ordered = true

[kinds.bank]
[kinds.app]
apart = true

[rules]
slots = 8
reports = true
decay = "halves"

[limits]
disk = "3MB"

[destinations.7]
kind = "app"
endpoints = ["10.1.0.18:7070", { address = "10.1.0.19:7070", zone = "b", id = "second", draining = true }]
"""


def write_file(folder: Path, text: str | bytes) -> Path:
    """Writes a sender's file with this text and returns its path."""
    path = folder / "sender.toml"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return path


def fault_lines(folder: Path, text: str | bytes) -> list[str]:
    """Returns the errors of a file with this text, without the file's path; empty if the file is valid."""
    try:
        read_configuration(write_file(folder, text))
    except InvalidConfigurationError as error:
        return [line.removeprefix(f"{folder}/sender.toml") for line in error.lines]
    return []
